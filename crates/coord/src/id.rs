//! Typed names and quantities.
//!
//! A name is 1 to 128 ASCII letters, digits, `.`, `_`, `:` or `-`, so that it can be part of a URL,
//! an object name or a log line without quoting.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Longest name, in bytes.
pub const NAME_LIMIT: usize = 128;

/// Number of shards in a region.
pub const SHARDS: u16 = 256;

/// Error for a text that isn't a valid name or quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// What was expected.
    pub expected: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed {}", self.expected)
    }
}

impl std::error::Error for Malformed {}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:-".contains(&b);
    !text.is_empty() && text.len() <= NAME_LIMIT && text.bytes().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        pub struct $name(CompactString);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Malformed;

            fn from_str(text: &str) -> Result<Self, Malformed> {
                match is_name(text) {
                    true => Ok(Self(CompactString::from(text))),
                    false => Err(Malformed { expected: $expected }),
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = CompactString::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name!(/// A node: one entry process under one lease.
    Node, "node name");
name!(/// A data centre.
    DataCentre, "data centre name");
name!(/// A customer.
    Customer, "customer name");
name!(/// The public part of a customer's key.
    Key, "key name");
name!(/// A model engine or plain service.
    Target, "target name");
name!(/// A model.
    Model, "model name");
name!(/// A route to plain services.
    Route, "route name");
name!(/// A caller's name for one request; unique within a customer.
    Request, "request name");
name!(/// One dispatch of a request to a target.
    Attempt, "attempt name");
name!(/// A program; a child's name is its parent's followed by `.` and a number.
    Program, "program name");

/// Longest software version, in bytes.
const SOFTWARE_VERSION_LIMIT: usize = 128;

/// Version of a target's software, as its operators name it; unrelated to the version of a model's
/// weights. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct SoftwareVersion(CompactString);

impl SoftwareVersion {
    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let is_valid = !text.is_empty()
            && text.len() <= SOFTWARE_VERSION_LIMIT
            && !text.chars().any(char::is_control);
        match is_valid {
            true => Ok(Self(CompactString::from(text))),
            false => Err(Malformed {
                expected: "software version",
            }),
        }
    }
}

impl<'de> Deserialize<'de> for SoftwareVersion {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl Program {
    /// Name of the root program, which determines the shard.
    pub fn root(&self) -> &str {
        self.0.split('.').next().unwrap_or(&self.0)
    }

    /// Name of the child with this number.
    pub fn child(&self, number: u32) -> Result<Program, Malformed> {
        format!("{}.{number}", self.0).parse()
    }

    /// Name of the parent; none for a root program.
    pub fn parent(&self) -> Option<Program> {
        let (parent, _) = self.0.rsplit_once('.')?;
        Some(Program(CompactString::from(parent)))
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Malformed;

            fn from_str(text: &str) -> Result<Self, Malformed> {
                let number = text.parse().map_err(|_| Malformed { expected: $expected })?;
                Ok(Self(number))
            }
        }
    };
}

number!(/// Generation of a shard's ownership; a higher one supersedes.
    Epoch, u64, "epoch");
number!(/// Number of a change ticket; a higher one supersedes.
    Ticket, u64, "ticket number");
number!(/// Version of an object in the platform.
    Version, u64, "version");
number!(/// A count of model tokens.
    Tokens, u64, "token count");
number!(/// Number of a program's turn, from 1.
    Step, u32, "step number");
number!(/// Largest number of requests in a bucket.
    Burst, u32, "burst");
number!(/// A shard of customers and programs.
    Shard, u16, "shard number");

impl Shard {
    /// Shard that keeps a customer's rate bucket.
    pub fn of_customer(customer: &Customer) -> Shard {
        Shard::of(customer.as_str())
    }

    /// Shard of a program and all its children.
    pub fn of_program(program: &Program) -> Shard {
        Shard::of(program.root())
    }

    /// Shard of a request outside any program.
    pub fn of_request(customer: &Customer, request: &Request) -> Shard {
        Shard::of(&format!("{customer}/{request}"))
    }

    fn of(text: &str) -> Shard {
        let hash = fingerprint(&[text.as_bytes()]);
        Shard((hash % u64::from(SHARDS)) as u16)
    }
}

/// Hash of `parts` in order; the same on every host and in every release.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let (head, _) = digest.split_at(8);
    head.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Requests per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = Malformed;

    fn try_from(rate: f64) -> Result<Self, Malformed> {
        match rate.is_finite() && rate >= 0.0 {
            true => Ok(Self(rate)),
            false => Err(Malformed { expected: "rate" }),
        }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let rate: f64 = digits.parse().map_err(|_| Malformed { expected: "rate" })?;
        Rate::try_from(rate)
    }
}
