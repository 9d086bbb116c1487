//! Deserializes one chunk of a streamed chat-completions answer. The visitors are written by hand
//! and skip unused fields, because an engine sends one chunk for every few tokens.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeSeed;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub completion_tokens: u64,
}

/// The fields of a chunk that the sidecar uses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Part {
    /// Id of the request that the chunk answers.
    pub request_id: String,
    pub content: String,
    pub finish_reason: Option<String>,
    pub usage: Option<Usage>,
}

impl<'de> Deserialize<'de> for Part {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Part, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

/// Reads the top-level object.
struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Part;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat completion chunk")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Part, A::Error> {
        let mut part = Part::default();
        while let Some(key) = map.next_key::<CompactString>()? {
            match key.as_str() {
                "id" => part.request_id = map.next_value()?,
                "choices" => map.next_value_seed(ChoicesVisitor(&mut part))?,
                "usage" => part.usage = map.next_value()?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(part)
    }
}

/// Reads the first choice and ignores the others.
struct ChoicesVisitor<'a>(&'a mut Part);

impl<'de> DeserializeSeed<'de> for ChoicesVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for ChoicesVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        list.next_element_seed(ChoiceVisitor(self.0))?;
        while list.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }
}

struct ChoiceVisitor<'a>(&'a mut Part);

impl<'de> DeserializeSeed<'de> for ChoiceVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ChoiceVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<CompactString>()? {
            match key.as_str() {
                "delta" => map.next_value_seed(DeltaVisitor(&mut *self.0))?,
                "finish_reason" => self.0.finish_reason = map.next_value()?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

struct DeltaVisitor<'a>(&'a mut Part);

impl<'de> DeserializeSeed<'de> for DeltaVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for DeltaVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a delta")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<CompactString>()? {
            match key.as_str() {
                "content" => {
                    let content: Option<String> = map.next_value()?;
                    self.0.content = content.unwrap_or_default();
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}
