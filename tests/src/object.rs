//! Objects of the configuration and the secrets behind its keys.

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

/// The operator's key of every process.
pub const OPERATOR: &str = "tests-operator";

const SALT: &str = "00ff";

/// A customer of the configuration.
pub fn customer_object(customer: &str, rate: f64, burst: u32) -> Value {
    json!({ "customer": { "id": customer, "rate": rate, "burst": burst } })
}

/// The key of a customer that [`presented`] gives.
pub fn key_object(customer: &str) -> Value {
    named_key_object(customer, &format!("{customer}-key"))
}

/// A further key of a customer.
pub fn named_key_object(customer: &str, key: &str) -> Value {
    let hash = hash(SALT, &secret(key));
    json!({ "key": { "id": key, "customer": customer, "salt": SALT, "hash": hash } })
}

/// The text that a caller presents for a key.
pub fn presented(key: &str) -> String {
    format!("tk.{key}.{}", secret(key))
}

/// The operator's key as settings hold it.
pub fn operator_hash() -> String {
    format!("{SALT}:{}", hash(SALT, OPERATOR))
}

/// As long and random as the secrets that the command line makes.
fn secret(key: &str) -> String {
    hash("secret", key)
}

fn hash(salt: &str, secret: &str) -> String {
    let digest = Sha256::new()
        .chain_update(salt)
        .chain_update(secret)
        .finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
