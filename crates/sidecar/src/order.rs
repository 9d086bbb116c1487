//! Reconciles the models that the engine serves with those in the configuration.
//!
//! Each order states whether one model is to be loaded, so it is absolute and idempotent. Only the
//! holder of the target's lock sends orders, with its fencing number, and the engine's list of
//! models confirms them. For an engine that ignores fencing numbers, the next holder waits for the
//! lease and the longest order to end. Loads from one weight store run one at a time, under the
//! store's lock.

use std::sync::Arc;
use std::time::Duration;

use coord::id;
use coord::id::Ticket;
use coord::id::Version;
use coord::time::Millis;
use node::platform::Platform;
use serde::Serialize;

use crate::lock;
use crate::lock::Guard;
use crate::lock::Lock;
use crate::state::State;
use crate::upstream;

/// Pause between two comparisons of the served models with the configured ones.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// Lease of the target's and the weight store's lock.
const LOCK_LEASE: Millis = Millis(10_000);

/// Time after sending in which an order may still take effect.
const ORDER_TIMEOUT: Millis = Millis(120_000);

/// Pause between two checks of the leases while an order runs.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Models that the engine is configured to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Ticket of the configuration change; one with a lower number is ignored.
    pub ticket: Ticket,
    pub models: Vec<String>,
}

/// Order to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    Load { model: String },
    Unload { model: String },
}

/// An order with its fencing number, as sent to the engine.
#[derive(Debug, Clone, Serialize)]
pub struct FencedOrder {
    pub fence: u64,
    pub order: Order,
}

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Done,
    /// Without effect: a lock isn't held, the connection failed, or the engine refused the order.
    Postponed,
    /// Sent without an answer: the order may still take effect.
    Unconfirmed,
}

/// Orders that change the served models to the wanted ones; unloads come first.
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

/// Sends orders to one engine.
#[derive(Debug)]
pub struct Reconciler {
    state: Arc<State>,
    lock: Lock,
    /// Lock that limits a weight store to one load at a time; none without a store.
    store_lock: Option<Lock>,
}

impl Reconciler {
    /// Creates a reconciler; none without a platform, which stores the locks.
    pub fn new(state: Arc<State>) -> Option<Reconciler> {
        let base = state.settings.platform.as_ref()?;
        let platform = Arc::new(Platform::new(base, PLATFORM_TIMEOUT));
        let takeover_delay = match state.settings.fenced {
            true => Millis(0),
            false => ORDER_TIMEOUT,
        };
        let settings = |object: String, takeover_delay| lock::Settings {
            object,
            holder: state.incarnation.clone(),
            duration: LOCK_LEASE,
            takeover_delay,
        };
        let new = |settings| Lock::new(platform.clone(), state.clock, settings);
        let lock = new(settings(
            format!("orders/{}", state.settings.target),
            takeover_delay,
        ));
        let store_lock = state.settings.weights.as_ref().map(|store| {
            let store = id::fingerprint(&[store.as_bytes()]);
            new(settings(format!("weights/{store:016x}"), Millis(0)))
        });
        Some(Reconciler {
            state,
            lock,
            store_lock,
        })
    }

    /// Reconciles at each interval until the process ends.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(RECONCILE_INTERVAL).await;
            if let Err(error) = self.reconcile().await {
                self.state.record_failure("order", &format!("{error:#}"));
            }
        }
    }

    /// Compares once and sends the due orders under the target's lock.
    ///
    /// Errors: the engine or the platform is unavailable.
    pub async fn reconcile(&mut self) -> eyre::Result<()> {
        if due_orders(&self.state).await?.is_empty() {
            return Ok(());
        }
        let Some(mut guard) = self.lock.acquire().await? else {
            return Ok(());
        };
        // An earlier holder may have sent orders since the first comparison.
        let orders = due_orders(&self.state).await?;
        let mut confirmed = true;
        for order in orders {
            let delivery = match (&order, &mut self.store_lock) {
                (Order::Load { .. }, Some(store_lock)) => {
                    send_with_store_lock(&self.state, &mut guard, store_lock, order).await?
                }
                _ => send(&self.state, &mut guard, None, order).await,
            };
            confirmed &= delivery != Delivery::Unconfirmed;
        }
        // An unconfirmed order may still take effect, so its lock is left to expire.
        if confirmed {
            guard.release().await;
        }
        Ok(())
    }
}

/// Orders that can be sent now: a model in use isn't unloaded.
async fn due_orders(state: &State) -> Result<Vec<Order>, upstream::Error> {
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

async fn send_with_store_lock(
    state: &State,
    guard: &mut Guard<'_>,
    store_lock: &mut Lock,
    order: Order,
) -> eyre::Result<Delivery> {
    let Some(mut store_guard) = store_lock.acquire().await? else {
        return Ok(Delivery::Postponed);
    };
    let delivery = send(state, guard, Some(&mut store_guard), order).await;
    store_guard.release().await;
    Ok(delivery)
}

/// Sends one order and renews the locks until it ends.
async fn send(
    state: &State,
    guard: &mut Guard<'_>,
    mut store_guard: Option<&mut Guard<'_>>,
    order: Order,
) -> Delivery {
    let Version(fence) = guard.fence();
    let fenced = FencedOrder { fence, order };
    let limit = crate::clock::duration(ORDER_TIMEOUT);
    let sending = tokio::time::timeout(limit, state.upstream.send_order(&fenced));
    let mut sending = std::pin::pin!(sending);
    if !guard.is_valid() || store_guard.as_ref().is_some_and(|guard| !guard.is_valid()) {
        return Delivery::Postponed;
    }
    log::info!(step = "order", peer = state.settings.target.as_str(); "{:?}", fenced.order);
    let result = loop {
        tokio::select! {
            result = &mut sending => break result.unwrap_or(Err(upstream::Error::Timeout)),
            () = tokio::time::sleep(RENEW_INTERVAL) => {
                guard.renew().await;
                if let Some(guard) = store_guard.as_mut() {
                    guard.renew().await;
                }
            }
        }
    };
    match result {
        Ok(()) => Delivery::Done,
        Err(error) => {
            state.record_failure("order", &error);
            match error {
                upstream::Error::Unsent(_) | upstream::Error::Status(_) => Delivery::Postponed,
                upstream::Error::Broken(_) | upstream::Error::Timeout => Delivery::Unconfirmed,
            }
        }
    }
}
