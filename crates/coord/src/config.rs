//! Configuration set by operators: customers, keys, routes, targets and models.
//!
//! The configuration is the merge of all accepted tickets: each object has the state from the
//! ticket with the highest number. Merging is commutative and idempotent, so that order, loss and
//! repetition of changes don't matter, and no object reverts to an older state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::id;
use crate::id::Burst;
use crate::id::Rate;
use crate::id::Ticket;
use crate::id::Tokens;

/// A customer and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub id: id::Customer,
    /// Requests per second.
    pub rate: Rate,
    /// Largest number of requests in the bucket.
    pub burst: Burst,
    /// Share of a busy target relative to other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A valid key; only a salted hash of its secret is stored.
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

/// A route to targets that run plain services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub id: id::Route,
    pub targets: Vec<id::Target>,
    /// Whether a request may be repeated; `GET`, `HEAD` and `OPTIONS` always may.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
}

/// A model engine or plain service with its sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub id: id::Target,
    pub data_centre: id::DataCentre,
    /// Address on which the sidecar listens for entries.
    pub sidecar: SocketAddr,
    /// Receives no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Models to serve; empty for a plain service.
    #[serde(default)]
    pub models: Vec<id::Model>,
}

/// A model that callers can request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub id: id::Model,
    /// Longest history including the answer.
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
    /// Name by which a later ticket replaces or removes this object.
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

/// A numbered change with the complete new state of each object that it names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub number: Ticket,
    #[serde(default)]
    pub set: Vec<Object>,
    #[serde(default)]
    pub remove: Vec<Name>,
}

/// State of one object and the ticket that set it; without an object if it was removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    pub ticket: Ticket,
    pub object: Option<Object>,
}

/// Newest received state of all objects.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    revisions: Map<Name, Revision>,
}

impl Config {
    /// Merges a change; returns the names of the objects that it changed.
    pub fn merge(&mut self, change: &Change) -> Vec<Name> {
        let set = change
            .set
            .iter()
            .map(|object| (object.name(), Some(object)));
        let remove = change.remove.iter().map(|name| (name.clone(), None));
        set.chain(remove)
            .filter(|(name, object)| self.put_if_newer(name, change.number, object.cloned()))
            .map(|(name, _)| name)
            .collect()
    }

    fn put_if_newer(&mut self, name: &Name, ticket: Ticket, object: Option<Object>) -> bool {
        let newest = self.revisions.get(name).map(|revision| revision.ticket);
        if newest >= Some(ticket) {
            return false;
        }
        self.revisions
            .insert(name.clone(), Revision { ticket, object });
        true
    }

    /// Revision of an object, also of a removed one.
    pub fn revision(&self, name: &Name) -> Option<&Revision> {
        self.revisions.get(name)
    }

    /// Revisions of all objects, also of removed ones.
    pub fn revisions(&self) -> impl Iterator<Item = (&Name, &Revision)> {
        self.revisions.iter()
    }

    /// Highest ticket number merged.
    pub fn newest_ticket(&self) -> Ticket {
        let numbers = self.revisions.values().map(|revision| revision.ticket);
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
            .filter_map(|revision| match &revision.object {
                Some(Object::Target(target)) => Some(target),
                _ => None,
            })
    }

    /// All models in the configuration.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.revisions
            .values()
            .filter_map(|revision| match &revision.object {
                Some(Object::Model(model)) => Some(model),
                _ => None,
            })
    }
}

fn default_weight() -> u32 {
    1
}
