//! The assistant's message, put together from the pieces of a token stream.

use serde_json::Value;
use serde_json::json;

/// Text received so far; pieces may be cut within a character.
#[derive(Debug, Default)]
pub struct Text {
    text: String,
    partial: Vec<u8>,
}

impl Text {
    /// Adds a piece; returns the delta that it completes.
    pub fn push(&mut self, piece: &[u8]) -> Option<Value> {
        self.partial.extend_from_slice(piece);
        let whole = match std::str::from_utf8(&self.partial) {
            Ok(text) => text.len(),
            Err(error) if error.error_len().is_none() => error.valid_up_to(),
            Err(_) => self.partial.len(),
        };
        let rest = self.partial.split_off(whole);
        let done = std::mem::replace(&mut self.partial, rest);
        let text = String::from_utf8_lossy(&done);
        self.text.push_str(&text);
        match text.is_empty() {
            true => None,
            false => Some(json!({ "content": text })),
        }
    }

    /// The whole message.
    pub fn message(&self) -> Value {
        json!({ "role": "assistant", "content": self.text })
    }
}
