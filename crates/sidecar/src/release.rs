//! Drops histories without a lease from the engine's cache, based on the engine's own listing.

use coord::Set;
use coord::id::Tokens;

use crate::state::State;
use crate::upstream;
use crate::upstream::CacheListing;

/// Fetches the engine's listing and drops every history whose lease has ended.
///
/// Errors: the engine returned no listing.
pub async fn drop_expired(state: &State) -> Result<(), upstream::Error> {
    let listing = state.upstream.cache().await?;
    record_listing(state, &listing);
    for entry in &listing.entries {
        drop_if_expired(state, &entry.program).await;
    }
    Ok(())
}

/// Drops expired histories and returns those of `programs` that the engine no longer lists and
/// that don't run here.
///
/// Errors: the engine returned no listing.
pub async fn drop_and_confirm(
    state: &State,
    programs: Vec<String>,
) -> Result<Vec<String>, upstream::Error> {
    drop_expired(state).await?;
    let listing = state.upstream.cache().await?;
    let listed = listed_programs(&listing);
    let dropped = programs
        .into_iter()
        .filter(|program| !listed.contains(program.as_str()) && !state.is_program_running(program));
    Ok(dropped.collect())
}

fn record_listing(state: &State, listing: &CacheListing) {
    let listed = listed_programs(listing);
    let now = state.clock.now();
    let mut leases = state.leases.lock();
    for entry in &listing.entries {
        leases.record_cached_tokens(&entry.program, Tokens(entry.tokens));
    }
    leases.sweep(|program| listed.contains(program), now);
}

async fn drop_if_expired(state: &State, program: &str) {
    let now = state.clock.now();
    if !state.leases.lock().may_drop(program, now) {
        return;
    }
    match state.upstream.drop_cache(program).await {
        Ok(()) => state.metrics.count_released(),
        Err(error) => state.record_failure("release", &error),
    }
}

fn listed_programs(listing: &CacheListing) -> Set<&str> {
    let entries = listing.entries.iter();
    entries.map(|entry| entry.program.as_str()).collect()
}
