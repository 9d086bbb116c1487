//! Emptying a history host before it is taken away.
//!
//! The host takes no new records, hands all it has to the others, leaves the membership and says
//! that it is done. A client that still asks it under the old membership is refused and learns the
//! new one from the others.

use std::time::Duration;

use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use futures::future::join_all;
use node::object::Kind;
use node::object::Objects;
use serde_json::json;

use crate::copy;
use crate::join;
use crate::join::Config;
use crate::membership::Membership;
use crate::server::Server;

/// Pause before emptying is tried again.
const PAUSE: Duration = Duration::from_millis(300);

/// State of an order, as written for the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Completed,
}

/// Empties this host, however long it takes.
pub async fn retire<O: Objects>(server: &Server, objects: &O, config: &Config) {
    log::info!(step = "retire", peer = "history"; "host is being emptied");
    report(objects, config, State::Running).await;
    server.close();
    loop {
        match attempt(server, objects, config).await {
            Ok(()) => break,
            Err(error) => {
                log::warn!(step = "retire", peer = "history"; "not empty yet: {error:#}");
                tokio::time::sleep(join::jittered(PAUSE)).await;
            }
        }
    }
    while !report(objects, config, State::Completed).await {
        tokio::time::sleep(join::jittered(PAUSE)).await;
    }
    log::info!(step = "retire", peer = "history"; "host is empty");
}

async fn attempt<O: Objects>(server: &Server, objects: &O, config: &Config) -> eyre::Result<()> {
    let object = objects.get(Kind::Members, join::MEMBERSHIP_OBJECT).await;
    let object = object.wrap_err("reading the membership")?;
    let object = object.ok_or_else(|| eyre!("there is no membership"))?;
    let current: Membership = serde_json::from_value(object.spec)?;
    if current.find(config.me.disk).is_none() {
        return Ok(());
    }
    let next = current.without(config.me.disk);
    hand_over(server, &next, config.tolerated_losses).await?;
    join::write(objects, &next, Some(object.revision)).await?;
    join::inform(&next, config.me.disk).await;
    Ok(())
}

/// Gives all records to the others, to enough of them that each record counts without this host.
async fn hand_over(server: &Server, others: &Membership, losses: usize) -> eyre::Result<()> {
    let needed = others.write_quorum(losses).min(others.members.len());
    let given = others
        .members
        .iter()
        .map(|member| copy::give(server, member));
    let results = join_all(given).await;
    let count = results.iter().filter(|result| result.is_ok()).count();
    match count < needed {
        true => bail!("{count} of {needed} history hosts hold the records"),
        false => Ok(()),
    }
}

/// Writes the order's state; false if that failed.
async fn report<O: Objects>(objects: &O, config: &Config, state: State) -> bool {
    let state = match state {
        State::Running => "running",
        State::Completed => "completed",
    };
    let status = json!({ "state": state });
    let written = objects.set_status(Kind::Retirements, &config.me.host, status);
    match written.await {
        Ok(()) => true,
        Err(error) => {
            log::warn!(step = "report retirement", peer = "platform"; "{error}");
            false
        }
    }
}
