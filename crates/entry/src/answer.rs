//! Answers to callers, made from the frames of a call: event streams, JSON and plain bodies.
//!
//! An event stream ends in `[DONE]` only when the answer is whole; a broken one ends in an error
//! event.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use coord::id;
use coord::refusal::Code;
use dropshot::Body;
use futures::StreamExt;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde_json::Value;
use serde_json::json;
use wire::Done;
use wire::Refusal;
use wire::call_frame::Frame;

use crate::message::Text;
use crate::plain;
use crate::refusal;
use crate::request::Chat;
use crate::stream;
use crate::stream::Broken;
use crate::stream::Frames;

const STEP: &str = "answer";
const JSON: &str = "application/json";
const EVENTS: &str = "text/event-stream";
const CHUNK: &str = "chat.completion.chunk";
const COMPLETION: &str = "chat.completion";
const END: &str = "data: [DONE]\n\n";

/// How a chat's answer is to look.
#[derive(Debug, Clone)]
pub struct Form {
    id: String,
    model: id::Model,
    /// Unix seconds.
    created: u64,
    stream: bool,
}

impl Form {
    /// The form that a request asks for.
    pub fn new(chat: &Chat) -> Form {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Form {
            id: format!("chat-{}", uuid::Uuid::now_v7().simple()),
            model: chat.model.clone(),
            created: now.unwrap_or_default().as_secs(),
            stream: chat.stream,
        }
    }

    fn object(&self, kind: &str, choice: Value) -> Value {
        json!({
            "id": self.id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn event(&self, delta: Value, finish: Option<&str>, usage: Option<Value>) -> Bytes {
        let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
        let mut object = self.object(CHUNK, choice);
        if let Some(usage) = usage {
            object["usage"] = usage;
        }
        Bytes::from(format!("data: {object}\n\n"))
    }
}

/// A chat's answer in the form asked for.
pub async fn chat(frames: Frames, form: Form) -> Result<Response<Body>, Refusal> {
    match form.stream {
        true => Ok(events(frames, form)),
        false => completion(frames, form).await,
    }
}

fn events(mut frames: Frames, form: Form) -> Response<Body> {
    let parts = async_stream::stream! {
        let mut text = Text::default();
        yield Ok(form.event(json!({ "role": "assistant" }), None, None));
        while let Some(frame) = frames.next().await {
            match frame {
                Frame::Chunk(chunk) => {
                    if let Some(delta) = text.push(&chunk) {
                        yield Ok(form.event(delta, None, None));
                    }
                }
                Frame::Done(done) => {
                    let finish = Some(done.finish.as_str());
                    yield Ok(form.event(json!({}), finish, Some(usage(&done))));
                    yield Ok(Bytes::from_static(END.as_bytes()));
                    return;
                }
                Frame::Refusal(refusal) => {
                    yield Ok(error_event(&refusal));
                    return;
                }
                Frame::Head(_) => {}
                Frame::Moved(_) | Frame::Reply(_) => break,
            }
        }
        yield Ok(error_event(&stream::broken()));
    };
    let body = stream::Body::stream(parts.boxed());
    with_type(StatusCode::OK, EVENTS, body)
}

async fn completion(mut frames: Frames, form: Form) -> Result<Response<Body>, Refusal> {
    let mut text = Text::default();
    while let Some(frame) = frames.next().await {
        match frame {
            Frame::Head(_) => {}
            Frame::Chunk(chunk) => {
                text.push(&chunk);
            }
            Frame::Done(done) => return Ok(whole_chat(&form, &text, &done)),
            Frame::Refusal(refusal) => return Err(refusal),
            Frame::Moved(_) | Frame::Reply(_) => break,
        }
    }
    Err(stream::broken())
}

fn whole_chat(form: &Form, text: &Text, done: &Done) -> Response<Body> {
    let choice = json!({
        "index": 0,
        "message": text.message(),
        "finish_reason": done.finish,
    });
    let mut object = form.object(COMPLETION, choice);
    object["usage"] = usage(done);
    with_type(StatusCode::OK, JSON, Body::from(object.to_string()))
}

fn usage(done: &Done) -> Value {
    json!({
        "prompt_tokens": done.prompt_tokens,
        "completion_tokens": done.completion_tokens,
        "total_tokens": done.prompt_tokens + done.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": done.cached_tokens },
    })
}

fn error_event(refusal: &Refusal) -> Bytes {
    Bytes::from(format!(
        "event: error\ndata: {}\n\n",
        refusal::json(refusal)
    ))
}

/// A plain service's answer, streamed.
pub async fn plain(mut frames: Frames) -> Result<Response<Body>, Refusal> {
    let head = match frames.next().await {
        Some(Frame::Head(head)) => head,
        Some(Frame::Refusal(refusal)) => return Err(refusal),
        _ => return Err(stream::broken()),
    };
    let parts = async_stream::stream! {
        while let Some(frame) = frames.next().await {
            match frame {
                Frame::Chunk(chunk) => yield Ok(chunk),
                Frame::Done(_) => return,
                _ => break,
            }
        }
        yield Err(Broken);
    };
    let mut response = Response::new(stream::Body::stream(parts.boxed()));
    let status = u16::try_from(head.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &head.headers {
        let name = HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::from_bytes(&header.value);
        match (name, value) {
            (Ok(name), Ok(value)) if plain::answers(&name) => {
                response.headers_mut().append(name, value);
            }
            _ => {}
        }
    }
    Ok(response)
}

/// A whole JSON reply.
pub async fn whole(mut frames: Frames) -> Result<Response<Body>, Refusal> {
    match frames.next().await {
        Some(Frame::Reply(reply)) => Ok(with_type(StatusCode::OK, JSON, Body::from(reply))),
        Some(Frame::Refusal(refusal)) => Err(refusal),
        _ => Err(refusal::unknown(Code::Broken, STEP, "the reply broke off")),
    }
}

/// The list of models.
pub fn models(names: &[id::Model]) -> Response<Body> {
    let data: Vec<Value> = names
        .iter()
        .map(|name| json!({ "id": name, "object": "model", "owned_by": "teasellever" }))
        .collect();
    let list = json!({ "object": "list", "data": data });
    with_type(StatusCode::OK, JSON, Body::from(list.to_string()))
}

fn with_type(status: StatusCode, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
