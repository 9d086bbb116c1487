//! One streamed call, timed to its first token, and what the rate entitled it to.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use holds::fleet::MODEL;
use holds::object::presented;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;

use super::Run;

/// Refusal of a call over its customer's rate.
const RATE_LIMITED: &str = "rate-limited";

/// Refusals that end a program or can't be helped by coming back.
const FINAL: [&str; 6] = [
    "looped",
    "budget",
    "ended",
    "bad-request",
    "not-found",
    "quarantined",
];

/// A call to send.
pub struct Call<'a> {
    pub run: &'a Run,
    pub customer: usize,
    pub entry: usize,
    pub program: &'a str,
    pub step: usize,
    pub messages: Vec<Value>,
    pub max_tokens: u32,
}

/// What came back.
#[derive(Debug, Default)]
pub struct Reply {
    /// The refusal's code; empty for an answer.
    pub code: String,
    /// Tokens of the answer.
    pub tokens: u64,
    /// After which to send it again; none: it is final.
    pub wait: Option<Duration>,
}

/// What a customer's rate entitles it to, as seen from outside.
#[derive(Debug)]
pub struct Gauge {
    rate: f64,
    burst: f64,
    level: Mutex<(f64, Instant)>,
}

impl Gauge {
    /// A full one.
    pub fn new(rate: f64, burst: u32) -> Gauge {
        let burst = f64::from(burst);
        Gauge {
            rate,
            burst,
            level: Mutex::new((burst, Instant::now())),
        }
    }

    /// Whether a call sent now is within the rate.
    pub fn look(&self) -> bool {
        let mut level = self.level.lock();
        let now = Instant::now();
        let gained = now.duration_since(level.1).as_secs_f64() * self.rate;
        *level = ((level.0 + gained).min(self.burst), now);
        level.0 >= 1.0
    }

    /// Counts a call that was granted.
    pub fn granted(&self) {
        self.look();
        self.level.lock().0 -= 1.0;
    }
}

/// Sends a call and reads its answer.
pub async fn send(call: &Call<'_>) -> Reply {
    let within = call.run.gauges[call.customer].look();
    let start = Instant::now();
    let reply = match exchange(call, start).await {
        Ok(reply) => reply,
        // A turn may be sent again under its number: what ran is answered from the record.
        Err(_) => Reply {
            wait: Some(Duration::ZERO),
            ..Reply::default()
        },
    };
    note(call.run, call.customer, &reply.code, within);
    reply
}

/// Counts a call's answer or refusal.
pub fn note(run: &Run, customer: usize, code: &str, within: bool) {
    let mut tally = run.tally.lock();
    match code {
        "" => {
            tally.calls += 1;
            run.gauges[customer].granted();
        }
        // The end of a program isn't a refusal of its call.
        code if FINAL.contains(&code) => {}
        _ => tally.refused += 1,
    }
    if code == RATE_LIMITED && within {
        tally.refused_within += 1;
    }
}

async fn exchange(call: &Call<'_>, start: Instant) -> eyre::Result<Reply> {
    let run = call.run;
    let name = run.trace.head.customers[call.customer].name.as_str();
    let entry = &run.fleet.entries[call.entry % run.fleet.entries.len()];
    let body = json!({
        "model": MODEL,
        "messages": call.messages,
        "max_tokens": call.max_tokens,
        "stream": true,
    });
    let key = presented(&format!("{name}-key"));
    let request = Request::post(format!("http://{}/v1/chat/completions", entry.callers))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .header("teasellever-program", call.program)
        .header("teasellever-step", call.step)
        .body(Full::new(Bytes::from(body.to_string())))?;
    let reply = run.http.send(request).await?;
    let status = reply.status();
    let after = reply.headers().get("retry-after");
    let after = after.and_then(|after| after.to_str().ok()?.parse().ok());
    let after = after.map(Duration::from_secs);
    let mut body = reply.into_body();
    let mut text = Vec::new();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            first = first.or_else(|| Some(start.elapsed()));
            text.extend_from_slice(&data);
        }
    }
    let text = String::from_utf8_lossy(&text);
    if !status.is_success() {
        return Ok(refusal(serde_json::from_str(&text)?, after));
    }
    let events: Vec<Value> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .collect();
    let refused = events.iter().find(|event| event["code"].is_string());
    if let Some(refused) = refused {
        return Ok(refusal(refused.clone(), after));
    }
    eyre::ensure!(text.contains("data: [DONE]"), "the stream broke off");
    let first = run.recorded(first.unwrap_or_default());
    run.tally.lock().first_tokens.push(first);
    let words = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect::<String>();
    Ok(Reply {
        tokens: words.split(' ').count() as u64,
        ..Reply::default()
    })
}

fn refusal(body: Value, after: Option<Duration>) -> Reply {
    let code = body["code"].as_str().unwrap_or("unreadable").to_owned();
    let wait = match FINAL.contains(&code.as_str()) {
        true => None,
        false => Some(after.unwrap_or_default()),
    };
    Reply {
        code,
        tokens: 0,
        wait,
    }
}
