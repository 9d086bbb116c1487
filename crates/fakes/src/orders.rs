//! Orders to a model engine, refused by a fenced one when their number is old.

use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::engine;
use crate::engine::State;
use crate::server;
use crate::server::Reply;
use crate::weights;

#[derive(Debug, Default)]
pub(crate) struct Models {
    pub(crate) fence: u64,
    pub(crate) names: Vec<String>,
    /// Orders carried out, with their fencing numbers.
    pub(crate) orders: Vec<(u64, Order)>,
    pub(crate) refused: u64,
}

/// What an engine can be told to do.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Loads a model, version or adapter.
    Load { model: String },
    /// Unloads a model, version or adapter.
    Unload { model: String },
    /// Changes the role, for example to `prefill`.
    Role { role: String },
}

#[derive(Debug, Deserialize)]
struct Fenced {
    fence: u64,
    order: Order,
}

impl State {
    pub(crate) async fn order(&self, body: Bytes) -> Reply {
        let fenced: Fenced = match engine::parse(&body) {
            Ok(fenced) => fenced,
            Err(message) => return server::error(StatusCode::BAD_REQUEST, &message),
        };
        if !self.admits(fenced.fence) {
            return server::error(StatusCode::CONFLICT, "lower fencing number");
        }
        if let Order::Load { model } = &fenced.order
            && let Some(store) = self.settings.weights
            && let Err(error) = weights::fetch(store, model).await
        {
            return server::error(StatusCode::BAD_GATEWAY, &error.to_string());
        }
        // The number may have risen while weights were loaded.
        if !self.admits(fenced.fence) {
            return server::error(StatusCode::CONFLICT, "lower fencing number");
        }
        self.models.lock().carry_out(fenced);
        server::json(StatusCode::OK, &json!({}))
    }

    fn admits(&self, fence: u64) -> bool {
        let mut models = self.models.lock();
        match self.settings.fenced && fence < models.fence {
            true => {
                models.refused += 1;
                false
            }
            false => {
                models.fence = models.fence.max(fence);
                true
            }
        }
    }
}

impl Models {
    fn carry_out(&mut self, fenced: Fenced) {
        match &fenced.order {
            Order::Load { model } if !self.names.contains(model) => self.names.push(model.clone()),
            Order::Unload { model } => self.names.retain(|name| name != model),
            Order::Load { .. } | Order::Role { .. } => {}
        }
        self.orders.push((fenced.fence, fenced.order));
    }
}
