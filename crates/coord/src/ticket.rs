//! Change tickets: what becomes of one against the configuration in force.
//!
//! Joining is per object, so a ticket that arrives late still sets those of its objects that no
//! higher number has touched since.

use crate::config::Change;
use crate::config::Config;
use crate::config::Name;
use crate::config::Object;

/// What becomes of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Some of it is, or already was, the newest state.
    Accepted,
    /// All that it touches has a newer state.
    Superseded,
    /// Its number was used for other content.
    Conflict,
}

/// Judges a ticket against the configuration in force.
pub fn evaluate(config: &Config, change: &Change) -> Verdict {
    let touched = touched(change);
    let mut newer = touched
        .iter()
        .map(|(name, _)| is_newer(config, change, name));
    match () {
        () if repeats_a_name(&touched) || clashes(config, change, &touched) => Verdict::Conflict,
        () if !touched.is_empty() && newer.all(|newer| newer) => Verdict::Superseded,
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

fn repeats_a_name(touched: &Touched<'_>) -> bool {
    let names: crate::Set<&Name> = touched.iter().map(|(name, _)| name).collect();
    names.len() < touched.len()
}

fn is_newer(config: &Config, change: &Change, name: &Name) -> bool {
    let entry = config.revision(name);
    entry.is_some_and(|entry| entry.ticket > change.number)
}

/// Whether an object stands in the configuration under the same number with another state.
fn clashes(config: &Config, change: &Change, touched: &Touched<'_>) -> bool {
    let states: crate::Map<&Name, Option<&Object>> =
        touched.iter().map(|(name, state)| (name, *state)).collect();
    config
        .revisions()
        .filter(|(_, entry)| entry.ticket == change.number)
        .any(|(name, entry)| states.get(name) != Some(&entry.object.as_ref()))
}
