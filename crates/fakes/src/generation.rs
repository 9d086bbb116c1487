//! One generation: its deterministic text, its progress, and the streams that follow it.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::prefix::Block;

/// Bytes of text to a token.
const TOKEN_BYTES: u64 = 4;

/// Shortest answer, in tokens.
const SHORTEST: u64 = 8;

/// Answers are this much longer at most, in tokens.
const SPREAD: u64 = 24;

/// Stable hash of some bytes (FNV-1a).
pub fn hash(bytes: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325;
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(start, step)
}

/// Name of a list of messages: the same for the same JSON values.
pub fn name(messages: &Value) -> String {
    format!("{:016x}", hash(messages.to_string().as_bytes()))
}

/// The words of the answer to a list of messages; the first one is the list's name.
pub fn answer(messages: &Value, max_tokens: u64) -> Vec<String> {
    let name = name(messages);
    let length = SHORTEST + hash(name.as_bytes()) % SPREAD;
    let words = (1..length.min(max_tokens.max(1))).map(|n| format!(" w{n}"));
    std::iter::once(name.clone()).chain(words).collect()
}

/// The whole answer to a list of messages.
pub fn text(messages: &Value, max_tokens: u64) -> String {
    answer(messages, max_tokens).concat()
}

/// The messages as cache blocks.
pub fn blocks(messages: &Value) -> Vec<Block> {
    let list = messages.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(block).collect()
}

/// One message as a cache block.
pub fn block(message: &Value) -> Block {
    let text = message.to_string();
    Block {
        hash: hash(text.as_bytes()),
        tokens: (text.len() as u64).div_ceil(TOKEN_BYTES),
    }
}

/// Token counts of a generation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub prompt: u64,
    pub cached: u64,
    pub completion: u64,
}

/// How far a generation is.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    pub text: String,
    pub usage: Usage,
    /// Set at the end.
    pub finish: Option<&'static str>,
}

/// A generation that streams can follow from any offset.
#[derive(Debug)]
pub struct Generation {
    pub request: String,
    progress: Mutex<Progress>,
    changes: watch::Sender<u64>,
    cancel: watch::Sender<bool>,
}

impl Generation {
    /// A generation that hasn't begun.
    pub fn new(request: &str) -> Arc<Generation> {
        Arc::new(Generation {
            request: request.to_owned(),
            progress: Mutex::default(),
            changes: watch::channel(0).0,
            cancel: watch::channel(false).0,
        })
    }

    /// Changes the progress and wakes the streams.
    pub fn advance(&self, change: impl FnOnce(&mut Progress)) {
        change(&mut self.progress.lock());
        self.changes.send_modify(|count| *count += 1);
    }

    /// Asks for an early end.
    pub fn cancel(&self) {
        self.cancel.send_replace(true);
    }

    /// Resolves when an early end was asked for.
    pub async fn cancelled(&self) {
        let _ = self.cancel.subscribe().wait_for(|cancel| *cancel).await;
    }

    /// How the generation ended, if it did.
    pub fn finish(&self) -> Option<&'static str> {
        self.progress.lock().finish
    }

    fn beyond(&self, offset: usize) -> (String, Usage, Option<&'static str>) {
        let progress = self.progress.lock();
        let fresh = progress.text.get(offset..).unwrap_or_default();
        (fresh.to_owned(), progress.usage, progress.finish)
    }
}

/// What a stream does wrong.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flaw {
    /// Ends after the first chunk.
    pub cuts: bool,
    /// Breaks after the first chunk.
    pub breaks: bool,
    /// Sends a chunk of another request first.
    pub crosses: bool,
}

/// The events of a generation's text from an offset in bytes.
pub fn follow(
    generation: Arc<Generation>,
    offset: usize,
    flaw: Flaw,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    async_stream::stream! {
        let mut changes = generation.changes.subscribe();
        let mut offset = offset;
        if flaw.crosses {
            yield Ok(chunk("another-request", "crossed"));
        }
        loop {
            changes.borrow_and_update();
            let (fresh, usage, finish) = generation.beyond(offset);
            if !fresh.is_empty() {
                offset += fresh.len();
                yield Ok(chunk(&generation.request, &fresh));
                if flaw.cuts {
                    return;
                }
                if flaw.breaks {
                    yield Err(io::Error::from(io::ErrorKind::ConnectionReset));
                    return;
                }
            }
            if let Some(finish) = finish {
                yield Ok(last(&generation.request, usage, finish));
                yield Ok(Bytes::from_static(b"data: [DONE]\n\n"));
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

fn chunk(request: &str, text: &str) -> Bytes {
    event(&json!({
        "id": request,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
    }))
}

fn last(request: &str, usage: Usage, finish: &str) -> Bytes {
    event(&json!({
        "id": request,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish }],
        "usage": {
            "prompt_tokens": usage.prompt,
            "cached_tokens": usage.cached,
            "completion_tokens": usage.completion,
        },
    }))
}

fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
