//! Who a caller is: the key that it presents, checked against the configuration in force.
//!
//! A presented key reads `tk.<key name>.<secret>`. Only the key's name goes further than this
//! module.

use coord::config;
use coord::config::Config;
use coord::id;
use coord::refusal::Code;
use http::HeaderMap;
use http::header;
use wire::Refusal;

use crate::refusal;
use crate::request;
use crate::trial;

/// Customer of requests without a key on public routes.
pub const PUBLIC: &str = "public";

const STEP: &str = "authenticate";
/// When to come back to a node without a lease, in milliseconds.
const RETRY_AFTER: u64 = 1000;
const SCHEME: &str = "Bearer ";
const PREFIX: &str = "tk.";

/// A caller whose key was found in force.
#[derive(Debug, Clone)]
pub struct Caller {
    pub customer: id::Customer,
    /// None: no key, on a public route.
    pub key: Option<id::Key>,
    presented: String,
}

impl Caller {
    /// A caller without a key.
    pub fn public() -> Option<Caller> {
        let customer = PUBLIC.parse().ok()?;
        Some(Caller {
            customer,
            key: None,
            presented: String::new(),
        })
    }

    /// Name of the key, empty for none.
    pub fn key_id(&self) -> &str {
        self.key.as_ref().map_or("", id::Key::as_str)
    }

    /// Whether some bytes for a target hold the presented key.
    pub fn leaks(&self, bytes: &[u8]) -> bool {
        let key = self.presented.as_bytes();
        !key.is_empty() && bytes.windows(key.len()).any(|window| window == key)
    }
}

/// The caller behind the `authorization` header.
pub fn authenticate(config: &Config, headers: &HeaderMap) -> Result<Caller, Refusal> {
    let presented = bearer(headers).ok_or_else(|| unauthorized("a key is needed"))?;
    let unknown = || unauthorized("the key isn't in force");
    let name = key_name(presented).ok_or_else(unknown)?;
    let key = config
        .key(&name)
        .ok_or_else(|| match was_given(config, &name) {
            true => withdrawn(headers),
            false => unknown(),
        })?;
    match coord::key::verify(presented, key) && config.customer(&key.customer).is_some() {
        true => Ok(Caller {
            customer: key.customer.clone(),
            key: Some(name),
            presented: presented.to_string(),
        }),
        false => Err(unknown()),
    }
}

/// Whether a key that was presented earlier is still its customer's.
pub fn in_force(config: &Config, customer: &id::Customer, key: &id::Key) -> bool {
    let owner = config.key(key).map(|key| &key.customer);
    owner == Some(customer) && config.customer(customer).is_some()
}

/// Whether a key was in force once.
fn was_given(config: &Config, name: &id::Key) -> bool {
    config.revision(&config::Name::Key(name.clone())).is_some()
}

/// Refusal for a withdrawn key.
fn withdrawn(headers: &HeaderMap) -> Refusal {
    unasked(unauthorized("the key isn't in force"), headers)
}

/// Refusal by a node that can't know whether its configuration is recent.
pub fn stale(headers: &HeaderMap) -> Refusal {
    let message = "this node's configuration may be old";
    let refusal = refusal::not_run(Code::Unavailable, STEP, message);
    unasked(refusal::retry_after(refusal, RETRY_AFTER), headers)
}

/// A refusal that no ledger was asked for: a request that has a name may have run before.
fn unasked(refusal: Refusal, headers: &HeaderMap) -> Refusal {
    let names = [request::IDEMPOTENCY_KEY, request::PROGRAM];
    match names.iter().any(|name| headers.contains_key(*name)) {
        true => trial::ran_when(refusal),
        false => refusal,
    }
}

/// Refusal for a missing, unknown or withdrawn key.
pub fn unauthorized(message: &str) -> Refusal {
    refusal::not_run(Code::Unauthorized, STEP, message)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(SCHEME).map(str::trim)
}

fn key_name(presented: &str) -> Option<id::Key> {
    let (name, _secret) = presented.strip_prefix(PREFIX)?.rsplit_once('.')?;
    name.parse().ok()
}
