//! Names of attempts: unique, and with the incarnation of the sidecar that they are meant for.
//!
//! A sidecar's word that an attempt never started counts only from the incarnation that could have
//! started it. The name carries that incarnation, so that a new owner of the shard knows it too.

use coord::id::Attempt;

const SEPARATOR: char = ':';

/// A new name.
pub fn fresh(incarnation: Option<&str>) -> Attempt {
    let unique = uuid::Uuid::now_v7().simple().to_string();
    let named = format!("{unique}{SEPARATOR}{}", incarnation.unwrap_or_default());
    let name = named.parse().or_else(|_| unique.parse());
    name.unwrap_or_else(|_| unreachable!("a UUID is a valid name"))
}

/// The incarnation that an attempt was meant for.
pub fn incarnation(attempt: &Attempt) -> Option<&str> {
    let (_, incarnation) = attempt.as_str().split_once(SEPARATOR)?;
    Some(incarnation).filter(|incarnation| !incarnation.is_empty())
}
