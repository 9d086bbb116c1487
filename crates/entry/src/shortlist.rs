//! The targets among which a call's target is chosen.

use std::sync::Arc;

use coord::Map;
use coord::id;

use crate::place::Entry;
use crate::place::Question;
use crate::roster::Listed;
use crate::roster::Listing;
use crate::working;

/// With so many known loads, targets of unknown load are passed over.
const KNOWN: usize = 4;

/// All open targets of a service; the healthy ones, if there are any.
pub(crate) fn all(
    listing: &Listing,
    is_open: impl Fn(&Listed) -> bool,
    is_fit: impl Fn(&Listed) -> bool,
) -> Vec<Arc<Listed>> {
    let open = listing.all.iter().filter(|listed| is_open(listed));
    let open: Vec<Arc<Listed>> = open.cloned().collect();
    let fit = open.iter().filter(|listed| is_fit(listed));
    let fit: Vec<Arc<Listed>> = fit.cloned().collect();
    match fit.is_empty() {
        true => open,
        false => fit,
    }
}

/// The open ones of a working set, with the target that holds the cache; if there are none, any
/// that are found on the ring.
pub(crate) fn few(
    question: &Question<'_>,
    listing: &Listing,
    drawn: Vec<Arc<Listed>>,
    entries: &Map<id::Target, Entry>,
    is_open: impl Fn(&Listed) -> bool,
    is_fit: impl Fn(&Listed) -> bool,
) -> Vec<Arc<Listed>> {
    let is_known = |listed: &Listed| {
        let entry = entries.get(&listed.target.id);
        entry.is_some_and(Entry::is_known)
    };
    let mut usable: Vec<Arc<Listed>> = drawn;
    usable.retain(|listed| is_open(listed));
    if usable.iter().filter(|listed| is_known(listed)).count() >= KNOWN {
        usable.retain(|listed| is_known(listed));
    }
    let holder = question.cached.as_ref();
    let holder = holder.and_then(|(target, _)| listing.position(target));
    let holder = holder.map(|position| &listing.all[position]);
    let missing = |holder: &&Arc<Listed>| {
        let is_in = |listed: &Arc<Listed>| listed.target.id == holder.target.id;
        is_open(holder) && is_fit(holder) && !usable.iter().any(is_in)
    };
    let holder = holder.filter(missing).cloned();
    usable.extend(holder);
    if usable.is_empty() {
        usable = following(listing, question.affinity, |one| {
            is_open(one) && is_fit(one)
        });
    }
    if usable.is_empty() {
        usable = following(listing, question.affinity, is_open);
    }
    usable
}

/// The first suitable targets that follow a hash on the ring.
pub(crate) fn following(
    listing: &Listing,
    hash: u64,
    suits: impl Fn(&Listed) -> bool,
) -> Vec<Arc<Listed>> {
    let found = listing.from(hash).map(|position| &listing.all[position]);
    let found = found.filter(|listed| suits(listed));
    found.take(working::SIZE).cloned().collect()
}
