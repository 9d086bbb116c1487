//! Operators' tickets: accepted once the platform has taken them.

use coord::config::Change;
use coord::id::Ticket;
use coord::ticket;
use coord::ticket::evaluate;
use node::platform::Condition;
use node::platform::Error;
use serde::Serialize;

use crate::member::Member;
use crate::sync;

/// What became of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Taken by the platform and being spread.
    Accepted,
    /// Everything that it touches has a newer state.
    Superseded,
    /// Its number was used for other content.
    Conflict,
    /// The platform is away; nothing was changed.
    NotAccepted,
    /// The platform's reply was lost and couldn't be read back: put the same ticket again.
    Unknown,
}

/// Puts a ticket into force.
pub async fn put(member: &Member, change: Change) -> Verdict {
    if member.store.refresh(&member.platform).await.is_err() {
        return Verdict::NotAccepted;
    }
    match evaluate(&member.config(), &change) {
        ticket::Verdict::Accepted => write(member, change).await,
        ticket::Verdict::Superseded => Verdict::Superseded,
        ticket::Verdict::Conflict => Verdict::Conflict,
    }
}

async fn write(member: &Member, change: Change) -> Verdict {
    let name = object_name(change.number);
    let Ok(value) = serde_json::to_vec(&change) else {
        return Verdict::NotAccepted;
    };
    match member
        .platform
        .update(&name, value.into(), Condition::Absent)
        .await
    {
        Ok(_) => accept(member, change),
        Err(Error::Conflict { .. }) => compare(member, change).await,
        Err(Error::Unknown) => Verdict::Unknown,
        Err(_) => Verdict::NotAccepted,
    }
}

/// The number was used before: by this very ticket, or for other content.
async fn compare(member: &Member, change: Change) -> Verdict {
    match get(member, change.number).await {
        Ok(Some(found)) if found == change => accept(member, change),
        Ok(Some(_)) => Verdict::Conflict,
        Ok(None) | Err(_) => Verdict::Unknown,
    }
}

fn accept(member: &Member, change: Change) -> Verdict {
    member.store.merge(&[change]);
    member.news.notify_one();
    Verdict::Accepted
}

/// Reads a ticket from the platform.
///
/// # Errors
///
/// The platform is away, or what it holds is damaged.
pub async fn get(member: &Member, number: Ticket) -> Result<Option<Change>, Error> {
    let Some(object) = member.platform.get(&object_name(number)).await? else {
        return Ok(None);
    };
    let change = serde_json::from_slice(&object.value);
    change
        .map(Some)
        .map_err(|error| Error::Malformed(error.to_string()))
}

fn object_name(number: Ticket) -> String {
    format!("{}{:020}", sync::PREFIX, number.0)
}
