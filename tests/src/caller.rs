//! A caller and an operator over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use crate::fleet::MODEL;

/// Longest wait for an answer; a frozen process gives none.
const PATIENCE: Duration = Duration::from_secs(20);

/// A pooled HTTP client.
#[derive(Debug, Clone)]
pub struct Http(Client<HttpConnector, Full<Bytes>>);

impl Default for Http {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(Client::builder(TokioExecutor::new()).build(connector))
    }
}

impl Http {
    /// Sends one request; the answer's body is not read yet.
    ///
    /// Errors: no connection, or broken before the status line.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> eyre::Result<Response<Incoming>> {
        Ok(self.0.request(request).await?)
    }

    /// Sends JSON and reads a JSON reply; `null` sends no body.
    ///
    /// Errors: no reply or a broken one.
    pub async fn json(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        key: &str,
        body: &Value,
    ) -> eyre::Result<(u16, Value)> {
        let body = match body {
            Value::Null => Bytes::new(),
            body => Bytes::from(body.to_string()),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let reply = self.send(request).await?;
        let status = reply.status().as_u16();
        let body = reply.into_body().collect().await?.to_bytes();
        let value = serde_json::from_slice(&body)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&body).into_owned()));
        Ok((status, value))
    }
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status; 0 when the connection broke before it came.
    pub status: u16,
    /// The reply's JSON, or of a stream the last event's.
    pub body: Value,
    /// The text that was streamed.
    pub text: String,
    /// Whether the answer ended as it should.
    pub whole: bool,
    /// Seconds until coming back makes sense.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// What the refusal says of the request: `no`, `yes` or `unknown`; empty for an answer.
    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or_default()
    }

    /// The refusal's code; empty for an answer.
    pub fn code(&self) -> &str {
        self.body["code"].as_str().unwrap_or_default()
    }

    /// Whether the whole answer came.
    pub fn ok(&self) -> bool {
        (200..300).contains(&self.status) && self.whole
    }

    fn broken() -> Answer {
        let body = Value::Null;
        Answer {
            status: 0,
            body,
            text: String::new(),
            whole: false,
            retry_after: None,
        }
    }
}

/// A customer's program at one entry.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Http,
    pub entry: SocketAddr,
    key: String,
    headers: Vec<(String, String)>,
    patience: Duration,
}

impl Caller {
    /// A caller with this key.
    pub fn new(http: Http, entry: SocketAddr, key: &str) -> Caller {
        Caller {
            http,
            entry,
            key: key.to_owned(),
            headers: Vec::new(),
            patience: PATIENCE,
        }
    }

    /// The same caller, who leaves a request that has no answer after this time.
    pub fn leaving_after(&self, patience: Duration) -> Caller {
        Caller {
            patience,
            ..self.clone()
        }
    }

    /// The same caller at another entry.
    pub fn at(&self, entry: SocketAddr) -> Caller {
        Caller {
            entry,
            ..self.clone()
        }
    }

    /// The same caller with one more header on every request.
    pub fn with(&self, name: &str, value: &str) -> Caller {
        let mut caller = self.clone();
        caller.headers.push((name.to_owned(), value.to_owned()));
        caller
    }

    /// Sends any request and reads its whole answer.
    pub async fn call(&self, method: Method, path: &str, body: impl Into<Bytes>) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header(CONTENT_TYPE, "application/json");
        if !self.key.is_empty() {
            request = request.header(AUTHORIZATION, format!("Bearer {}", self.key));
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(body.into()))
            .expect("a sound request");
        let answer = async {
            match self.http.send(request).await {
                Ok(reply) => read(reply).await,
                Err(_) => Answer::broken(),
            }
        };
        let answer = tokio::time::timeout(self.patience, answer).await;
        answer.unwrap_or_else(|_| Answer::broken())
    }

    /// Opens a program; returns its name.
    ///
    /// Errors: refused.
    pub async fn open(&self, budget: Value) -> eyre::Result<String> {
        let answer = self
            .call(Method::POST, "/v1/programs", budget.to_string())
            .await;
        let program = answer.body["program"].as_str().map(str::to_owned);
        program.ok_or_else(|| eyre::eyre!("open: {answer:?}"))
    }

    /// Opens a child of a program; returns its name.
    ///
    /// Errors: refused.
    pub async fn child(&self, parent: &str, budget: Value) -> eyre::Result<String> {
        let path = format!("/v1/programs/{parent}/children");
        let answer = self.call(Method::POST, &path, budget.to_string()).await;
        let program = answer.body["program"].as_str().map(str::to_owned);
        program.ok_or_else(|| eyre::eyre!("child: {answer:?}"))
    }

    /// Runs one turn of a program as a stream.
    pub async fn turn(&self, program: &str, step: u32, content: &str, max_tokens: u32) -> Answer {
        let caller = self
            .with("teasellever-program", program)
            .with("teasellever-step", &step.to_string());
        caller.chat(content, max_tokens).await
    }

    /// Sends one user message as a stream.
    pub async fn chat(&self, content: &str, max_tokens: u32) -> Answer {
        let body = json!({
            "model": MODEL,
            "messages": [{ "role": "user", "content": content }],
            "max_tokens": max_tokens,
            "stream": true,
        });
        self.call(Method::POST, "/v1/chat/completions", body.to_string())
            .await
    }

    /// Ends a program.
    pub async fn end(&self, program: &str) -> Answer {
        self.call(Method::POST, &format!("/v1/programs/{program}/end"), "{}")
            .await
    }

    /// The whole history of a program.
    pub async fn history(&self, program: &str) -> Answer {
        self.call(Method::GET, &format!("/v1/programs/{program}/history"), "")
            .await
    }

    /// Calls a plain route under a request name, which also ends the path that the target sees.
    pub async fn plain(&self, route: &str, request: &str, body: &str) -> Answer {
        let caller = self.with("idempotency-key", request);
        caller
            .call(
                Method::POST,
                &format!("/r/{route}/do/{request}"),
                body.to_owned(),
            )
            .await
    }
}

async fn read(reply: Response<Incoming>) -> Answer {
    let status = reply.status().as_u16();
    let header = |name| {
        reply
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let retry_after = header("retry-after").and_then(|value| value.parse().ok());
    let stream = header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    let mut body = reply.into_body();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let raw = String::from_utf8_lossy(&bytes).into_owned();
    match stream {
        true => events(status, &raw, whole, retry_after),
        false => {
            let body = serde_json::from_str(&raw).unwrap_or(Value::String(raw.clone()));
            Answer {
                status,
                body,
                text: raw,
                whole,
                retry_after,
            }
        }
    }
}

fn events(status: u16, raw: &str, whole: bool, retry_after: Option<u64>) -> Answer {
    let lines = raw.lines().filter_map(|line| line.strip_prefix("data: "));
    let done = lines.clone().any(|data| data == "[DONE]");
    let values: Vec<Value> = lines
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let text = values
        .iter()
        .filter_map(|value| value["choices"][0]["delta"]["content"].as_str())
        .collect();
    let body = values.last().cloned().unwrap_or(Value::Null);
    Answer {
        status,
        body,
        text,
        whole: whole && done,
        retry_after,
    }
}
