//! Checks of change tickets against the current configuration.
//!
//! Tickets are merged per object, so one that arrives late still sets those of its objects that no
//! ticket with a higher number has changed.

use crate::config::Change;
use crate::config::Config;
use crate::config::Name;
use crate::config::Object;

/// Result of checking a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// At least one of its objects takes, or already has, the ticket's state.
    Accepted,
    /// All its objects have a newer state.
    Superseded,
    /// Its number was used for other content, or it names an object twice.
    Conflict,
}

/// Checks a ticket against the current configuration.
pub fn evaluate(config: &Config, change: &Change) -> Verdict {
    let touched = touched(change);
    let mut superseded = touched
        .iter()
        .map(|(name, _)| has_newer_revision(config, change, name));
    match () {
        () if has_duplicate_names(&touched) || conflicts(config, change, &touched) => {
            Verdict::Conflict
        }
        () if !touched.is_empty() && superseded.all(|superseded| superseded) => Verdict::Superseded,
        () => Verdict::Accepted,
    }
}

type Touched<'a> = Vec<(Name, Option<&'a Object>)>;

fn touched(change: &Change) -> Touched<'_> {
    let set = change
        .set
        .iter()
        .map(|object| (object.name(), Some(object)));
    let remove = change.remove.iter().map(|name| (name.clone(), None));
    set.chain(remove).collect()
}

fn has_duplicate_names(touched: &Touched<'_>) -> bool {
    let names: crate::Set<&Name> = touched.iter().map(|(name, _)| name).collect();
    names.len() < touched.len()
}

fn has_newer_revision(config: &Config, change: &Change, name: &Name) -> bool {
    let revision = config.revision(name);
    revision.is_some_and(|revision| revision.ticket > change.number)
}

/// Whether the configuration has an object with the ticket's number and another state.
fn conflicts(config: &Config, change: &Change, touched: &Touched<'_>) -> bool {
    let states: crate::Map<&Name, Option<&Object>> =
        touched.iter().map(|(name, state)| (name, *state)).collect();
    config
        .revisions()
        .filter(|(_, revision)| revision.ticket == change.number)
        .any(|(name, revision)| states.get(name) != Some(&revision.object.as_ref()))
}
