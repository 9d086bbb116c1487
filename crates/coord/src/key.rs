//! Callers' keys of the form `tk.<name>.<secret>`; only a salted hash of the secret is stored.
//!
//! The secret is random and long, so a plain salted SHA-256 is enough. It is compared in constant
//! time and never printed.

use std::fmt;

use rand::Rng;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::config;
use crate::id;

const PREFIX: &str = "tk.";
const SECRET_BYTES: usize = 32;
const SALT_BYTES: usize = 16;

/// A key presented by a caller.
pub struct Credential<'a> {
    /// Public part of the key.
    pub name: id::Key,
    secret: &'a str,
}

impl fmt::Debug for Credential<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Credential({})", self.name)
    }
}

impl<'a> Credential<'a> {
    /// Splits a presented key into its parts; none if it is malformed.
    pub fn parse(text: &'a str) -> Option<Credential<'a>> {
        let (name, secret) = text.strip_prefix(PREFIX)?.rsplit_once('.')?;
        let name = name.parse().ok()?;
        Some(Credential { name, secret })
    }

    /// Whether name and secret are those of the stored key.
    pub fn matches(&self, key: &config::Key) -> bool {
        let hash = hash(&key.salt, self.secret);
        let same: bool = hash.as_bytes().ct_eq(key.hash.as_bytes()).into();
        same && self.name == key.id
    }
}

/// Generates a key; returns the text for the customer, which is shown once, and the stored form.
pub fn generate(
    name: id::Key,
    customer: id::Customer,
    rng: &mut impl Rng,
) -> (String, config::Key) {
    let salt = random_hex(SALT_BYTES, rng);
    let secret = random_hex(SECRET_BYTES, rng);
    let presented = format!("{PREFIX}{name}.{secret}");
    let hash = hash(&salt, &secret);
    let key = config::Key {
        id: name,
        customer,
        salt,
        hash,
    };
    (presented, key)
}

/// Whether a presented text is the stored key.
pub fn verify(presented: &str, key: &config::Key) -> bool {
    Credential::parse(presented).is_some_and(|credential| credential.matches(key))
}

fn hash(salt: &str, secret: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(salt.as_bytes());
    hash.update(secret.as_bytes());
    hex(&hash.finalize())
}

fn random_hex(length: usize, rng: &mut impl Rng) -> String {
    let mut bytes = vec![0; length];
    rng.fill_bytes(&mut bytes);
    hex(&bytes)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
