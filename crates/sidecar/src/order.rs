//! Orders to the engine: it shall serve the models that the configuration states.
//!
//! Orders are absolute and idempotent, come from the holder of the target's lock alone, carry its
//! fencing number and are read back. An engine that ignores fencing numbers is protected by the
//! lock's lease, which a successor waits out together with the longest order. Loads take turns at
//! the weight store.

use std::sync::Arc;
use std::time::Duration;

use coord::id;
use coord::id::Ticket;
use coord::id::Version;
use coord::time::Millis;
use node::platform::Platform;
use serde::Serialize;

use crate::lock;
use crate::lock::Held;
use crate::lock::Lock;
use crate::state::State;
use crate::upstream;

/// Pause between two comparisons of what is served and what is wanted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Lease of the locks.
const LEASE: Millis = Millis(10_000);

/// Longest that an order takes effect after it was sent.
const ORDER_TIMEOUT: Millis = Millis(120_000);

/// Pause between two looks at the leases while an order is under way.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time for one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// What the engine is to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The ticket that gave it; a lower one is ignored.
    pub ticket: Ticket,
    pub models: Vec<String>,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    Load { model: String },
    Unload { model: String },
}

/// An order with its fencing number, as the engine reads it.
#[derive(Debug, Clone, Serialize)]
pub struct Fenced {
    pub fence: u64,
    pub order: Order,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Done,
    /// Not sent: it isn't its turn, or the lock lapsed.
    Postponed,
    /// Sent, and it may still take effect.
    Unsettled,
}

/// The orders that lead from what is served to what is wanted.
pub fn plan(wanted: &[String], served: &[String]) -> Vec<Order> {
    let unwanted = served.iter().filter(|model| !wanted.contains(model));
    let missing = wanted.iter().filter(|model| !served.contains(model));
    let unload = unwanted.map(|model| Order::Unload {
        model: model.clone(),
    });
    let load = missing.map(|model| Order::Load {
        model: model.clone(),
    });
    unload.chain(load).collect()
}

/// Gives orders to one engine.
#[derive(Debug)]
pub struct Reconciler {
    state: Arc<State>,
    lock: Lock,
    /// Turn at the weight store, if loads take turns.
    turn: Option<Lock>,
}

impl Reconciler {
    /// A reconciler; none without a platform, where locks are kept.
    pub fn new(state: Arc<State>) -> Option<Reconciler> {
        let base = state.settings.platform.as_ref()?;
        let platform = Arc::new(Platform::new(base, PLATFORM_TIMEOUT));
        let aftermath = match state.settings.fenced {
            true => Millis(0),
            false => ORDER_TIMEOUT,
        };
        let settings = |name: String, aftermath| lock::Settings {
            name,
            holder: state.incarnation.clone(),
            duration: LEASE,
            aftermath,
        };
        let new = |settings| Lock::new(platform.clone(), state.clock, settings);
        let lock = new(settings(
            format!("orders/{}", state.settings.target),
            aftermath,
        ));
        let turn = state.settings.weights.as_ref().map(|store| {
            let store = id::fingerprint(&[store.as_bytes()]);
            new(settings(format!("weights/{store:016x}"), Millis(0)))
        });
        Some(Reconciler { state, lock, turn })
    }

    /// Compares and orders until the process ends.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            if let Err(error) = self.pass().await {
                self.state.record_failure("order", &format!("{error:#}"));
            }
        }
    }

    /// Compares once and gives the orders that are due.
    ///
    /// Errors: the engine or the platform is away.
    pub async fn pass(&mut self) -> eyre::Result<()> {
        if due(&self.state).await?.is_empty() {
            return Ok(());
        }
        let Some(mut held) = self.lock.acquire().await? else {
            return Ok(());
        };
        // An earlier holder may have acted since the first look.
        let orders = due(&self.state).await?;
        let mut settled = true;
        for order in orders {
            let end = match (&order, &mut self.turn) {
                (Order::Load { .. }, Some(turn)) => {
                    in_turn(&self.state, &mut held, turn, order).await?
                }
                _ => send(&self.state, &mut held, None, order).await,
            };
            settled &= end != End::Unsettled;
        }
        // After an unsettled order the lock is left to lapse.
        if settled {
            held.release().await;
        }
        Ok(())
    }
}

/// The orders due at present.
async fn due(state: &State) -> Result<Vec<Order>, upstream::Error> {
    let Some(wanted) = state.wanted() else {
        return Ok(Vec::new());
    };
    let served = state.upstream.models().await?;
    let mut orders = plan(&wanted.models, &served);
    orders.retain(|order| match order {
        Order::Unload { model } => !state.is_model_in_use(model),
        Order::Load { .. } => true,
    });
    Ok(orders)
}

async fn in_turn(
    state: &State,
    held: &mut Held<'_>,
    turn: &mut Lock,
    order: Order,
) -> eyre::Result<End> {
    let Some(mut turn) = turn.acquire().await? else {
        return Ok(End::Postponed);
    };
    let end = send(state, held, Some(&mut turn), order).await;
    turn.release().await;
    Ok(end)
}

/// Sends one order, renewing the locks while it is under way.
async fn send(
    state: &State,
    held: &mut Held<'_>,
    mut turn: Option<&mut Held<'_>>,
    order: Order,
) -> End {
    let Version(fence) = held.fence();
    let fenced = Fenced { fence, order };
    let limit = crate::clock::duration(ORDER_TIMEOUT);
    let sending = tokio::time::timeout(limit, state.upstream.send_order(&fenced));
    let mut sending = std::pin::pin!(sending);
    if !held.is_valid() || turn.as_ref().is_some_and(|turn| !turn.is_valid()) {
        return End::Postponed;
    }
    log::info!(step = "order", peer = state.settings.target.as_str(); "{:?}", fenced.order);
    let result = loop {
        tokio::select! {
            result = &mut sending => break result.unwrap_or(Err(upstream::Error::Timeout)),
            () = tokio::time::sleep(RENEW_INTERVAL) => {
                held.renew().await;
                if let Some(turn) = turn.as_mut() {
                    turn.renew().await;
                }
            }
        }
    };
    match result {
        Ok(()) => End::Done,
        Err(error) => {
            state.record_failure("order", &error);
            match error {
                upstream::Error::Unsent(_) | upstream::Error::Status(_) => End::Postponed,
                upstream::Error::Broken(_) | upstream::Error::Timeout => End::Unsettled,
            }
        }
    }
}
