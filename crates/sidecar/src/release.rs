//! Drops histories that nobody holds from the engine's cache, by the engine's own listing.

use coord::Set;
use coord::id::Tokens;

use crate::state::State;
use crate::upstream;
use crate::upstream::CacheListing;

/// Goes through the engine's listing once and drops what may be dropped.
///
/// Errors: the engine gave no listing.
pub async fn pass(state: &State) -> Result<(), upstream::Error> {
    let listing = state.upstream.cache().await?;
    note(state, &listing);
    for entry in &listing.entries {
        drop_unheld(state, &entry.program).await;
    }
    Ok(())
}

/// Which of these programs the engine no longer lists, after a pass.
///
/// Errors: the engine gave no listing.
pub async fn confirm(state: &State, programs: Vec<String>) -> Result<Vec<String>, upstream::Error> {
    pass(state).await?;
    let listing = state.upstream.cache().await?;
    let listed = names(&listing);
    let gone = programs
        .into_iter()
        .filter(|program| !listed.contains(program.as_str()) && !state.is_program_running(program));
    Ok(gone.collect())
}

fn note(state: &State, listing: &CacheListing) {
    let listed = names(listing);
    let now = state.clock.now();
    let mut leases = state.leases.lock();
    for entry in &listing.entries {
        leases.listed(&entry.program, Tokens(entry.tokens));
    }
    leases.sweep(|program| listed.contains(program), now);
}

async fn drop_unheld(state: &State, program: &str) {
    let now = state.clock.now();
    if !state.leases.lock().may_drop(program, now) {
        return;
    }
    match state.upstream.drop_cache(program).await {
        Ok(()) => state.metrics.released(),
        Err(error) => state.record_failure("release", &error),
    }
}

fn names(listing: &CacheListing) -> Set<&str> {
    let entries = listing.entries.iter();
    entries.map(|entry| entry.program.as_str()).collect()
}
