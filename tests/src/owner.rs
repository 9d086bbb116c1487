//! Which entry owns what, and cuts between entries.

use coord::id::Node;
use coord::id::Program;
use coord::id::Shard;
use coord::shard::Map;
use http::Method;
use serde_json::Value;

use crate::fleet::Entry;
use crate::fleet::Fleet;

impl Fleet {
    /// The shard map in the platform.
    ///
    /// Errors: there is none.
    pub async fn map(&self) -> eyre::Result<Map> {
        let path = "/v1/objects/shard-map";
        let null = Value::Null;
        let (status, map) = self
            .http
            .json(Method::GET, self.store, path, "", &null)
            .await?;
        eyre::ensure!(status == 200, "shard map: {status}");
        Ok(serde_json::from_value(map)?)
    }

    /// Waits until every shard has a primary and a standby that run.
    ///
    /// Errors: not in time.
    pub async fn wait_replicated(&self) -> eyre::Result<()> {
        self.until("every shard has two owners", async || {
            let map = self.map().await;
            map.is_ok_and(|map| {
                let mut owners = map.shards.iter();
                owners
                    .all(|owner| owner.primary.is_some() && owner.standby.is_some() && !owner.lost)
            })
        })
        .await
    }

    /// Place of the entry that is primary of a shard, as the map says.
    ///
    /// Errors: there is none.
    pub async fn primary(&self, shard: Shard) -> eyre::Result<usize> {
        let map = self.map().await?;
        self.place(map.owner(shard).and_then(|owner| owner.primary.as_ref()))
    }

    /// Place of the entry that is standby of a shard, as the map says.
    ///
    /// Errors: there is none.
    pub async fn standby(&self, shard: Shard) -> eyre::Result<usize> {
        let map = self.map().await?;
        self.place(map.owner(shard).and_then(|owner| owner.standby.as_ref()))
    }

    fn place(&self, node: Option<&Node>) -> eyre::Result<usize> {
        let node = node.ok_or_else(|| eyre::eyre!("the shard lacks an owner"))?;
        // A node's name in the map is the entry's and that of its process's life.
        let is_owner = |entry: &Entry| {
            let life = node.as_str().strip_prefix(entry.name.as_str());
            life.is_some_and(|life| life.is_empty() || life.starts_with(':'))
        };
        let place = self.entries.iter().position(is_owner);
        place.ok_or_else(|| eyre::eyre!("{node} isn't an entry of this fleet"))
    }

    /// Place of the entry that is primary of a program's shard.
    ///
    /// Errors: there is none.
    pub async fn primary_of(&self, program: &str) -> eyre::Result<usize> {
        let program: Program = program.parse()?;
        self.primary(Shard::of_program(&program)).await
    }

    /// Waits until a shard has another primary than the entry at this place.
    ///
    /// Errors: not in time.
    pub async fn wait_replaced(&self, shard: Shard, former: usize) -> eyre::Result<()> {
        self.until("the shard has a new primary", async || {
            let primary = self.primary(shard).await;
            primary.is_ok_and(|primary| primary != former)
        })
        .await
    }

    /// Cuts an entry off from the platform and from other entries.
    pub fn cut_off(&self, entry: usize) {
        self.entries[entry].platform.cut();
        self.entries[entry].inward.cut();
    }

    /// Connects an entry again.
    pub fn connect(&self, entry: usize) {
        self.entries[entry].platform.heal();
        self.entries[entry].inward.heal();
    }
}
