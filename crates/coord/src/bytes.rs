//! Byte strings as one run in place of a sequence of numbers; for `#[serde(with)]`.
//!
//! Postcard writes both alike, but a run is copied at once. Histories are long, so this is where
//! encoding a shard's state spends its time.

use std::fmt;

use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Bytes set aside at most before any have arrived.
const HINT_LIMIT: usize = 1 << 16;

/// Writes bytes as one run.
pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(bytes)
}

/// Reads bytes from a run or a sequence.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    from.deserialize_byte_buf(Bytes)
}

struct Bytes;

impl<'de> Visitor<'de> for Bytes {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Vec<u8>, A::Error> {
        let hint = from.size_hint().unwrap_or(0).min(HINT_LIMIT);
        let mut bytes = Vec::with_capacity(hint);
        while let Some(byte) = from.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
