//! Whether a call may go on, asked before each of its steps that has an effect.

use coord::id;
use coord::id::Shard;
use sched::quarantine::Verdict;
use wire::Refusal;

use crate::auth;
use crate::call::Call;
use crate::job::Job;
use crate::lease::Authority;
use crate::ledger::Stop;
use crate::place::Service;
use crate::shards::Moved;
use crate::trial;

impl Call {
    /// Whether the call may go on: this node's authority, the caller's key, the quarantine.
    pub(crate) fn check(&self, job: &Job) -> Result<Authority, Stop> {
        let authority = self.admitted(job)?;
        match self.verdict(job) {
            Verdict::Quarantined => return Err(trial::quarantined().into()),
            Verdict::Allowed | Verdict::Suspect => {}
        }
        match authority.cautious && !job.idempotent {
            true => Err(trial::cautious().into()),
            false => Ok(authority),
        }
    }

    /// Whether the ledger may be asked: this node's authority and the caller's key. The rest waits
    /// for the ledger's word, as only it knows whether a request of this name has run.
    pub(crate) fn admitted(&self, job: &Job) -> Result<Authority, Stop> {
        let Some(authority) = self.member.authority(job.shard) else {
            return Err(self.moved(job.shard));
        };
        self.allowed(job)?;
        Ok(authority)
    }

    /// Whether the key, or the route without one, is still in force.
    pub(crate) fn allowed(&self, job: &Job) -> Result<(), Refusal> {
        let config = self.member.config();
        let allowed = match (&job.key, &job.service) {
            (Some(key), _) => auth::in_force(&config, &job.customer, key),
            (None, Service::Route(route)) => config.route(route).is_some_and(|route| route.public),
            (None, Service::Model(_)) => false,
        };
        match allowed {
            true => Ok(()),
            false => Err(auth::unauthorized("the key isn't in force")),
        }
    }

    /// What the quarantine says of the call.
    pub(crate) fn verdict(&self, job: &Job) -> Verdict {
        let now = self.member.now();
        self.member.quarantine.verdict(job.fingerprint(), now)
    }

    /// Why a call can't be run here.
    pub(crate) fn moved(&self, shard: Shard) -> Stop {
        let owner = self.member.owner(shard);
        let epoch = owner.map_or(id::Epoch(0), |owner| owner.epoch);
        Stop::Moved(Moved { shard, epoch })
    }
}
