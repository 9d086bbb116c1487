//! What operators configure: customers, keys, routes, targets and models.
//!
//! The configuration is the join of all accepted tickets: for each object the state from the
//! ticket with the highest number. Joining is commutative and idempotent, so that order, loss and
//! repetition of news don't matter, and nothing ever reverts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::id;
use crate::id::Burst;
use crate::id::Rate;
use crate::id::Ticket;
use crate::id::Tokens;

/// A customer's share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub id: id::Customer,
    /// Requests a second.
    pub rate: Rate,
    /// Requests.
    pub burst: Burst,
    /// Share of a busy target against other customers.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A key in force; its secret is kept only as a salted hash.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    pub id: id::Key,
    pub customer: id::Customer,
    /// Hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, hexadecimal.
    pub hash: String,
}

/// A way to plain services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub id: id::Route,
    pub targets: Vec<id::Target>,
    /// Whether a request may be repeated; `GET`, `HEAD` and `OPTIONS` always may.
    #[serde(default)]
    pub idempotent: bool,
    /// Open to all, without a key.
    #[serde(default)]
    pub public: bool,
}

/// A model engine or plain service and the sidecar before it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub id: id::Target,
    pub data_centre: id::DataCentre,
    /// Where the sidecar listens for entries.
    pub sidecar: SocketAddr,
    /// Gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Models that it is to serve; empty for a plain service.
    #[serde(default)]
    pub models: Vec<id::Model>,
}

/// A model in service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub id: id::Model,
    /// Longest history with answer.
    pub context: Tokens,
}

/// One object of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    Customer(Customer),
    Key(Key),
    Route(Route),
    Target(Target),
    Model(Model),
}

impl Object {
    /// The name under which a later ticket supersedes this object.
    pub fn name(&self) -> Name {
        match self {
            Object::Customer(object) => Name::Customer(object.id.clone()),
            Object::Key(object) => Name::Key(object.id.clone()),
            Object::Route(object) => Name::Route(object.id.clone()),
            Object::Target(object) => Name::Target(object.id.clone()),
            Object::Model(object) => Name::Model(object.id.clone()),
        }
    }
}

/// Name of an object of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Name {
    Customer(id::Customer),
    Key(id::Key),
    Route(id::Route),
    Target(id::Target),
    Model(id::Model),
}

/// A numbered change: the whole new state of what it touches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub number: Ticket,
    #[serde(default)]
    pub set: Vec<Object>,
    #[serde(default)]
    pub remove: Vec<Name>,
}

/// The state of one object and the ticket that gave it; no object: removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    pub ticket: Ticket,
    pub object: Option<Object>,
}

/// All objects at their newest known state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    revisions: Map<Name, Revision>,
}

impl Config {
    /// Joins a change in; returns the names that it altered.
    pub fn merge(&mut self, change: &Change) -> Vec<Name> {
        let set = change
            .set
            .iter()
            .map(|object| (object.name(), Some(object)));
        let remove = change.remove.iter().map(|name| (name.clone(), None));
        set.chain(remove)
            .filter(|(name, object)| self.put(name, change.number, object.cloned()))
            .map(|(name, _)| name)
            .collect()
    }

    fn put(&mut self, name: &Name, ticket: Ticket, object: Option<Object>) -> bool {
        let newest = self.revisions.get(name).map(|entry| entry.ticket);
        if newest >= Some(ticket) {
            return false;
        }
        self.revisions
            .insert(name.clone(), Revision { ticket, object });
        true
    }

    /// The state of one object, also of a removed one.
    pub fn revision(&self, name: &Name) -> Option<&Revision> {
        self.revisions.get(name)
    }

    /// All objects, removed ones included.
    pub fn revisions(&self) -> impl Iterator<Item = (&Name, &Revision)> {
        self.revisions.iter()
    }

    /// Highest ticket number merged.
    pub fn newest_ticket(&self) -> Ticket {
        let numbers = self.revisions.values().map(|entry| entry.ticket);
        numbers.max().unwrap_or_default()
    }

    fn object(&self, name: Name) -> Option<&Object> {
        self.revisions.get(&name)?.object.as_ref()
    }

    /// The customer of this name.
    pub fn customer(&self, id: &id::Customer) -> Option<&Customer> {
        match self.object(Name::Customer(id.clone()))? {
            Object::Customer(object) => Some(object),
            _ => None,
        }
    }

    /// The key of this name.
    pub fn key(&self, id: &id::Key) -> Option<&Key> {
        match self.object(Name::Key(id.clone()))? {
            Object::Key(object) => Some(object),
            _ => None,
        }
    }

    /// The route of this name.
    pub fn route(&self, id: &id::Route) -> Option<&Route> {
        match self.object(Name::Route(id.clone()))? {
            Object::Route(object) => Some(object),
            _ => None,
        }
    }

    /// The target of this name.
    pub fn target(&self, id: &id::Target) -> Option<&Target> {
        match self.object(Name::Target(id.clone()))? {
            Object::Target(object) => Some(object),
            _ => None,
        }
    }

    /// The model of this name.
    pub fn model(&self, id: &id::Model) -> Option<&Model> {
        match self.object(Name::Model(id.clone()))? {
            Object::Model(object) => Some(object),
            _ => None,
        }
    }

    /// All targets in the configuration.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.revisions
            .values()
            .filter_map(|entry| match &entry.object {
                Some(Object::Target(target)) => Some(target),
                _ => None,
            })
    }

    /// All models in the configuration.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.revisions
            .values()
            .filter_map(|entry| match &entry.object {
                Some(Object::Model(model)) => Some(model),
                _ => None,
            })
    }
}

fn one() -> u32 {
    1
}
