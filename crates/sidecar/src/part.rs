//! A part of an answer in the chat-completions dialect, read by hand: one comes for every few
//! tokens.

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

/// What an event says of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Part {
    /// The request that it belongs to.
    pub request: String,
    pub content: String,
    pub finish: Option<String>,
    pub usage: Option<Usage>,
}

impl<'de> Deserialize<'de> for Part {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Part, D::Error> {
        from.deserialize_map(Chunk)
    }
}

/// The whole event.
struct Chunk;

impl<'de> Visitor<'de> for Chunk {
    type Value = Part;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat completion chunk")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Part, A::Error> {
        let mut part = Part::default();
        while let Some(key) = map.next_key::<CompactString>()? {
            match key.as_str() {
                "id" => part.request = map.next_value()?,
                "choices" => map.next_value_seed(Choices(&mut part))?,
                "usage" => part.usage = map.next_value()?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(part)
    }
}

/// The list of choices, of which the first counts.
struct Choices<'a>(&'a mut Part);

impl<'de> DeserializeSeed<'de> for Choices<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Choices<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        list.next_element_seed(Choice(self.0))?;
        while list.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }
}

struct Choice<'a>(&'a mut Part);

impl<'de> DeserializeSeed<'de> for Choice<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Choice<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<CompactString>()? {
            match key.as_str() {
                "delta" => map.next_value_seed(Delta(&mut *self.0))?,
                "finish_reason" => self.0.finish = map.next_value()?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

struct Delta<'a>(&'a mut Part);

impl<'de> DeserializeSeed<'de> for Delta<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Delta<'_> {
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
