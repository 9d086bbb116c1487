//! Admission to a customer's rate, by the one bucket at the owner of the customer's shard.
//!
//! A request over the rate waits for its token when that comes soon, and is refused at once with
//! the time to come back when it doesn't.

use std::sync::Arc;
use std::time::Duration;

use coord::Map;
use coord::bucket::Block;
use coord::config::Config;
use coord::id;
use coord::id::Epoch;
use coord::id::Shard;
use coord::record::Record;
use coord::refusal::Code;
use coord::time::Millis;
use parking_lot::Mutex;
use tokio::time::Instant;
use wire::AdmitReply;
use wire::AdmitRequest;
use wire::Granted;
use wire::Refusal;
use wire::admit_reply::Reply;

use crate::auth;
use crate::bucket::Entry;
use crate::bucket::Limits;
use crate::bucket::Look;
use crate::bucket::Slot;
use crate::bucket::Waiting;
use crate::clock;
use crate::clock::unix_ms;
use crate::job::Job;
use crate::job::parse;
use crate::lease::Authority;
use crate::ledger::Stop;
use crate::member::Member;
use crate::refusal;

const STEP: &str = "admit";
/// Leases in which a dead owner is replaced.
const TAKEOVER_LEASES: u32 = 3;
/// Pause before the owner is looked up again.
const LOOK: Duration = Duration::from_millis(30);
/// When to come back if the bucket can't be asked, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// The buckets of the customers whose shards this node owns, and the way to the others.
pub struct Admission {
    member: Arc<Member>,
    /// Longest wait for a token.
    wait: Duration,
    slots: Mutex<Map<id::Customer, Arc<Slot>>>,
}

/// Whose bucket a request is for, and where it is.
struct Place<'a> {
    slot: &'a Slot,
    customer: &'a id::Customer,
    shard: Shard,
}

impl Admission {
    /// Admission through this member.
    pub fn new(member: Arc<Member>, wait: Millis) -> Admission {
        Admission {
            member,
            wait: clock::duration(wait),
            slots: Mutex::default(),
        }
    }

    /// Takes a call's token, wherever the bucket is; waits as long as a takeover lasts for an owner.
    pub async fn admit(&self, job: &Job) -> Result<(), Stop> {
        let shard = Shard::of_customer(&job.customer);
        let takeover = self.member.lease_duration() * TAKEOVER_LEASES;
        let end = job.deadline.min(Instant::now() + takeover);
        loop {
            let request = AdmitRequest {
                customer: job.customer.to_string(),
                key_id: job
                    .key
                    .as_ref()
                    .map(ToString::to_string)
                    .unwrap_or_default(),
                shard: shard.0.into(),
                deadline_ms: job.left().as_millis() as u64,
                public: job.key.is_none(),
            };
            match self.ask(request, shard, end).await {
                Some(Reply::Granted(_)) => return Ok(()),
                Some(Reply::Refusal(refusal)) => return Err(refusal.into()),
                Some(Reply::Moved(_)) | None => {}
            }
            if Instant::now() + LOOK >= end {
                return Err(unreachable().into());
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn ask(&self, request: AdmitRequest, shard: Shard, end: Instant) -> Option<Reply> {
        let owner = self.member.owner(shard)?;
        if owner.me {
            return self.serve(request).await.reply;
        }
        let mut client = self.member.peers().owner(owner.addr);
        let end = end.min(Instant::now() + self.wait.max(LOOK) * 2);
        let reply = tokio::time::timeout_at(end, client.admit(request)).await;
        match reply {
            Ok(Ok(reply)) => reply.into_inner().reply,
            Ok(Err(status)) => {
                let peer = owner.node.to_string();
                log::warn!(step = STEP, peer = peer.as_str(); "{}", status.message());
                None
            }
            Err(_) => None,
        }
    }

    /// Takes a token from a bucket of this node.
    pub async fn serve(&self, request: AdmitRequest) -> AdmitReply {
        let reply = match self.grant(&request).await {
            Ok(granted) => Reply::Granted(granted),
            Err(Stop::Refused(refusal)) => Reply::Refusal(refusal),
            Err(Stop::Moved(moved)) => Reply::Moved(wire::Moved {
                shard: moved.shard.0.into(),
                epoch: moved.epoch.0,
            }),
            Err(Stop::Gone) => Reply::Refusal(unreachable()),
        };
        AdmitReply { reply: Some(reply) }
    }

    async fn grant(&self, request: &AdmitRequest) -> Result<Granted, Stop> {
        let customer: id::Customer = parse(&request.customer)?;
        let shard = Shard::of_customer(&customer);
        let slot = self.slot(&customer);
        let allowance = self.wait.min(Duration::from_millis(request.deadline_ms));
        let end = Instant::now() + allowance;
        let mut waiting = Waiting::new(&slot);
        let place = Place {
            slot: &slot,
            customer: &customer,
            shard,
        };
        loop {
            let config = self.member.config();
            let limits = limits(&config, &customer, request)?;
            let authority = self.authority(shard)?;
            let left = end.saturating_duration_since(Instant::now());
            match self.look(&place, authority, limits, left, &mut waiting)? {
                Look::Granted => {
                    return Ok(Granted {
                        weight: limits.weight,
                        config: config.newest_ticket().0,
                    });
                }
                Look::Sleep(length) => tokio::time::sleep(length).await,
                Look::Block(block) => self.confirm(&place, block).await?,
                Look::Refuse(wait) => return Err(over_rate(wait).into()),
            }
        }
    }

    fn authority(&self, shard: Shard) -> Result<Authority, Stop> {
        let moved = || {
            let owner = self.member.owner(shard);
            let epoch = owner.map_or(Epoch(0), |owner| owner.epoch);
            Stop::Moved(crate::shards::Moved { shard, epoch })
        };
        self.member.authority(shard).ok_or_else(moved)
    }

    fn look(
        &self,
        place: &Place<'_>,
        authority: Authority,
        limits: Limits,
        left: Duration,
        waiting: &mut Waiting<'_>,
    ) -> Result<Look, Stop> {
        let now = self.member.now();
        let Place {
            slot,
            customer,
            shard,
        } = *place;
        let mut held = slot.entry.lock();
        if held
            .as_ref()
            .is_none_or(|entry| entry.epoch != authority.epoch)
        {
            let (bucket, _durable) = self.member.shards().decide(shard, |replica| {
                let bucket = replica.bucket(customer, limits.rate, limits.burst, now);
                (Vec::new(), bucket)
            })?;
            let before = held.take().map_or(0, |entry| entry.waiting);
            *held = Some(Entry {
                epoch: authority.epoch,
                bucket,
                limits,
                waiting: before,
                confirmed: 0,
            });
        }
        let Some(entry) = held.as_mut() else {
            return Ok(Look::Refuse(Millis(RETRY_AFTER)));
        };
        if entry.limits != limits {
            entry.bucket.set_limits(limits.rate, limits.burst, now);
            entry.limits = limits;
        }
        entry.bucket.set_cautious(authority.cautious, now);
        Ok(waiting.look(entry, now, left))
    }

    /// Has a block recorded in two places before it is spent.
    async fn confirm(&self, place: &Place<'_>, block: Block) -> Result<(), Stop> {
        let Place {
            slot,
            customer,
            shard,
        } = *place;
        let _one = slot.block.lock().await;
        if self.is_confirmed(slot, block) {
            return Ok(());
        }
        let record = Record::Level {
            customer: customer.clone(),
            spent: block.level,
            size: block.size,
            available: block.available,
            at_ms: unix_ms(),
        };
        let ((), durable) = self.member.shards().decide(shard, |_| (vec![record], ()))?;
        let epoch = durable.epoch();
        durable
            .wait()
            .await
            .map_err(|_| Stop::from(unreachable()))?;
        let mut held = slot.entry.lock();
        match held.as_mut() {
            Some(entry) if entry.epoch == epoch => entry.confirm(block.level),
            _ => {}
        }
        Ok(())
    }

    /// Whether another call had the block, or a newer one, confirmed meanwhile.
    fn is_confirmed(&self, slot: &Slot, block: Block) -> bool {
        let held = slot.entry.lock();
        held.as_ref()
            .is_some_and(|entry| entry.confirmed >= block.level)
    }

    fn slot(&self, customer: &id::Customer) -> Arc<Slot> {
        let mut slots = self.slots.lock();
        Arc::clone(slots.entry(customer.clone()).or_default())
    }

    /// Customers with what their buckets hold, for the state dump.
    pub fn levels(&self) -> Vec<(id::Customer, u64, u64)> {
        let slots = self.slots.lock();
        let levels = slots.iter().filter_map(|(customer, slot)| {
            let held = slot.entry.lock();
            let bucket = &held.as_ref()?.bucket;
            Some((customer.clone(), bucket.held(), bucket.spent()))
        });
        levels.collect()
    }
}

fn limits(
    config: &Config,
    customer: &id::Customer,
    request: &AdmitRequest,
) -> Result<Limits, Refusal> {
    let configured = config.customer(customer).map(|customer| Limits {
        rate: customer.rate,
        burst: customer.burst,
        weight: customer.weight,
    });
    let key: Option<id::Key> = request.key_id.parse().ok();
    match (configured, key) {
        (Some(limits), Some(key)) if auth::in_force(config, customer, &key) => Ok(limits),
        (limits, None) if request.public && customer.as_str() == auth::PUBLIC => {
            Ok(limits.or_else(Limits::public).ok_or_else(unreachable)?)
        }
        _ => Err(auth::unauthorized("the key isn't in force")),
    }
}

fn over_rate(wait: Millis) -> Refusal {
    let refusal = refusal::not_run(Code::RateLimited, STEP, "over the customer's rate");
    match wait {
        Millis(u64::MAX) => refusal,
        Millis(wait) => refusal::retry_after(refusal, wait.max(1)),
    }
}

fn unreachable() -> Refusal {
    let message = "the customer's rate can't be checked at present";
    let refusal = refusal::not_run(Code::Unavailable, STEP, message);
    refusal::retry_after(refusal, RETRY_AFTER)
}
