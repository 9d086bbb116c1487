//! Operators' keys, separate from callers' keys; settings hold them as salted hashes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The hash of one operator's key, written `salt:sha256(salt + key)` in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Operator {
    salt: String,
    hash: String,
}

impl Operator {
    /// Hashes a key with a salt.
    pub fn new(salt: &str, key: &str) -> Operator {
        let salt = salt.to_owned();
        let hash = hash(&salt, key);
        Operator { salt, hash }
    }

    /// Whether `key` is the operator's key. Takes the same time for all keys of the same length.
    pub fn verify(&self, key: &str) -> bool {
        let hash = hash(&self.salt, key);
        hash.as_bytes().ct_eq(self.hash.as_bytes()).into()
    }
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.salt, self.hash)
    }
}

impl FromStr for Operator {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let is_hex = |part: &str| part.bytes().all(|b| b.is_ascii_hexdigit());
        match text.split_once(':') {
            Some((salt, hash)) if hash.len() == 64 && is_hex(salt) && is_hex(hash) => {
                Ok(Operator {
                    salt: salt.to_owned(),
                    hash: hash.to_ascii_lowercase(),
                })
            }
            _ => Err("an operator's key is written salt:hash in hexadecimal".to_owned()),
        }
    }
}

impl TryFrom<String> for Operator {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<Operator> for String {
    fn from(operator: Operator) -> String {
        operator.to_string()
    }
}

fn hash(salt: &str, key: &str) -> String {
    let digest = Sha256::new()
        .chain_update(salt)
        .chain_update(key)
        .finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
