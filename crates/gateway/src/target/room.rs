//! Whether a target of a service with limited targets has room for a request.
//!
//! A limit must allow the request, and a cold target must bear it. What limits keep from their targets comes to the others of the
//! service; a request isn't sent to one that is so full that the request would wait there until its
//! deadline.

use coord::time::Time;

use crate::target::departure::Incarnation;
use crate::target::directory::Candidate;
use crate::target::limits::Limits;

/// Requests that a target without a limit may have, in multiples of its slots, so that a first turn is
/// added; fewer than for programs under way, which go first.
const FIRST_TURN_LOAD: f64 = 3.0;

/// The same for all other requests. Engines refuse requests themselves soon above it.
const UNDER_WAY_LOAD: f64 = 4.0;

/// Returns whether a target of a service has room for a request; all warm ones have if none has a limit.
/// The last requests that limits allow are kept for programs under way.
pub fn has_room<'a>(
    limits: &'a Limits,
    targets: &[Candidate],
    is_first_turn: bool,
    now: Time,
) -> impl Fn(&Candidate) -> bool + use<'a> {
    let mut incarnations = targets
        .iter()
        .map(|candidate| Incarnation::of(&candidate.target));
    let any_limit = !limits.is_empty()
        && incarnations
            .clone()
            .any(|incarnation| limits.limit(incarnation).is_some());
    let may_use_limited = !any_limit || !is_first_turn || limits.has_spare(&mut incarnations, now);
    let load_limit = match is_first_turn {
        true => FIRST_TURN_LOAD,
        false => UNDER_WAY_LOAD,
    };
    move |candidate: &Candidate| {
        let incarnation = Incarnation::of(&candidate.target);
        if !any_limit {
            return limits.cold.is_open(incarnation.target, now);
        }
        match limits.limit(incarnation) {
            Some(_) => may_use_limited && limits.is_open(incarnation, now),
            None => {
                limits.cold.is_open(incarnation.target, now)
                    && f64::from(candidate.running())
                        < f64::from(candidate.target.slots.max(1)) * load_limit
            }
        }
    }
}
