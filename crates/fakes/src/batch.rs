//! Requests that an engine runs together, in limited places.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::Map;
use crate::engine;
use crate::engine::State;
use crate::fault;
use crate::generation;
use crate::generation::Flaw;
use crate::generation::Generation;
use crate::generation::Usage;
use crate::server;
use crate::server::Reply;

/// Time between two steps of a running generation.
const TICK: Duration = Duration::from_millis(5);

/// Finished generations kept for resuming.
const KEPT: usize = 4096;

/// Longest answer when the request doesn't say, in tokens.
const MAX_TOKENS: u64 = 64;

#[derive(Debug, Default)]
pub(crate) struct Requests {
    pub(crate) known: Map<String, Arc<Generation>>,
    order: VecDeque<String>,
}

impl Requests {
    fn insert(&mut self, generation: Arc<Generation>) {
        self.order.push_back(generation.request.clone());
        self.known.insert(generation.request.clone(), generation);
        if self.order.len() > KEPT {
            let oldest = self.order.pop_front().unwrap_or_default();
            self.known.remove(&oldest);
        }
    }
}

/// A request for an answer.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Chat {
    model: String,
    pub(crate) messages: Value,
    #[serde(default = "default_max_tokens")]
    max_tokens: u64,
    #[serde(default)]
    pub(crate) request_id: String,
    #[serde(default)]
    priority: i64,
    /// Tag under which the prefix is cached; empty: not cached.
    #[serde(default)]
    program: String,
}

fn default_max_tokens() -> u64 {
    MAX_TOKENS
}

impl State {
    pub(crate) async fn chat(self: Arc<Self>, body: Bytes) -> Reply {
        let chat: Chat = match engine::parse(&body) {
            Ok(chat) => chat,
            Err(message) => return server::error(StatusCode::BAD_REQUEST, &message),
        };
        if !self.models.lock().names.contains(&chat.model) {
            return server::error(StatusCode::NOT_FOUND, "model not loaded");
        }
        let flaw = self.flaw();
        let request = match chat.request_id.is_empty() {
            true => format!("r{:x}", rand::random::<u64>()),
            false => chat.request_id.clone(),
        };
        let generation = Generation::new(&request);
        self.requests.lock().insert(generation.clone());
        let running = self.clone().run(chat, generation.clone());
        let switch = self.switch.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = running => {}
                () = switch.downed() => {}
            }
        });
        let events = generation::follow(generation, 0, flaw);
        server::stream(StatusCode::OK, "text/event-stream", events)
    }

    pub(crate) fn flaw(&self) -> Flaw {
        let mut faults = self.faults.lock();
        Flaw {
            cuts: fault::spend(&mut faults.cut_streams),
            breaks: fault::spend(&mut faults.break_streams),
            crosses: fault::spend(&mut faults.cross_streams),
        }
    }

    async fn run(self: Arc<Self>, chat: Chat, generation: Arc<Generation>) {
        let slot = tokio::select! {
            slot = self.slots.take(chat.priority) => slot,
            () = generation.cancelled() => {
                self.stats.change(|counts| counts.cancelled += 1);
                generation.advance(|progress| progress.finish = Some("cancelled"));
                return;
            }
        };
        self.stats
            .started(&generation.request, &generation::name(&chat.messages));
        let finish = tokio::select! {
            () = self.generate(&chat, &generation) => "stop",
            () = generation.cancelled() => "cancelled",
        };
        if finish == "cancelled" {
            self.stats.change(|counts| counts.cancelled += 1);
        }
        self.stats.ended();
        drop(slot);
        generation.advance(|progress| progress.finish = Some(finish));
    }

    async fn generate(&self, chat: &Chat, generation: &Generation) {
        let mut blocks = generation::blocks(&chat.messages);
        let prompt: u64 = blocks.iter().map(|block| block.tokens).sum();
        let cached = self.cache.lock().hit(&chat.program, &blocks);
        let slow = u64::from(self.faults.lock().slowness());
        let fresh = prompt - cached;
        let usage = Usage {
            prompt,
            cached,
            completion: 0,
        };
        generation.advance(|progress| progress.usage = usage);
        tokio::time::sleep(duration(fresh * slow, self.settings.prefill_rate)).await;
        self.stats.change(|counts| {
            counts.prefilled_tokens += fresh;
            counts.cached_tokens += cached;
        });
        let words = generation::answer(&chat.messages, chat.max_tokens);
        self.decode(&words, slow, generation).await;
        let answer = json!({ "role": "assistant", "content": words.concat() });
        blocks.push(generation::block(&answer));
        match chat.program.is_empty() {
            true => {}
            false => self.cache.lock().store(&chat.program, blocks),
        }
    }

    async fn decode(&self, words: &[String], slow: u64, generation: &Generation) {
        let begun = Instant::now();
        let mut done = 0;
        while done < words.len() {
            tokio::time::sleep(TICK).await;
            let elapsed = begun.elapsed().as_micros() as u64;
            let due = (elapsed * self.settings.decode_rate / slow / 1_000_000) as usize;
            let due = due.clamp(done, words.len());
            let text = words[done..due].concat();
            let count = (due - done) as u64;
            done = due;
            self.stats
                .change(|counts| counts.completion_tokens += count);
            generation.advance(|progress| {
                progress.text.push_str(&text);
                progress.usage.completion += count;
            });
        }
    }
}

fn duration(tokens: u64, rate: u64) -> Duration {
    Duration::from_micros(tokens * 1_000_000 / rate.max(1))
}
