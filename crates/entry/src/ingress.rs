//! The way of a call from the entry that took it to the owner of its shard.
//!
//! Until a frame has come back, a call may be sent again, to a new owner too: every call has a name,
//! and the ledger of its shard suppresses duplicates. After that the answer either arrives whole or
//! is reported as broken.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::id::Shard;
use coord::refusal::Code;
use coord::time::Millis;
use futures::StreamExt;
use rand::RngExt;
use sched::retry::Backoff;
use tokio::time::Instant;
use wire::CallFrame;
use wire::CallRequest;
use wire::Ran;
use wire::Refusal;
use wire::call_frame::Frame;
use wire::call_request::What;

use crate::call::Call;
use crate::member::Member;
use crate::member::Peer;
use crate::refusal;
use crate::request;
use crate::stream;
use crate::stream::Frames;
use crate::trial;

const STEP: &str = "forward";
/// Bounds of the delay before the owner is looked up again.
const DELAY_MIN: Millis = Millis(25);
const DELAY_MAX: Millis = Millis(400);
/// How often the owner of a call without an answer is looked up.
const OWNER_CHECK: Duration = Duration::from_millis(200);
/// When to come back after a failure to reach an owner, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// Sends calls to their owners.
pub struct Ingress {
    member: Arc<Member>,
    call: Arc<Call>,
    requests: usize,
    open: Arc<AtomicUsize>,
}

/// One request in progress; dropped with its answer.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What one send came to.
enum Sent {
    Answer(Frame, Frames),
    /// The call surely wasn't taken.
    Elsewhere(String),
    /// The call may have been taken.
    Lost(String),
}

impl Ingress {
    /// A way over this member, to at most so many requests at once.
    pub fn new(member: Arc<Member>, call: Arc<Call>, requests: usize) -> Ingress {
        Ingress {
            member,
            call,
            requests,
            open: Arc::default(),
        }
    }

    /// Requests in progress.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Runs a call at its owner; the frames end in the last one of a whole answer or a refusal.
    pub async fn run(
        &self,
        request: CallRequest,
        shard: Shard,
        deadline: Instant,
    ) -> Result<Frames, Refusal> {
        let named = !request::is_fresh(&request.request);
        let slot = self
            .take_slot()
            .map_err(|refusal| unasked(refusal, named))?;
        let (first, rest) = self.first(request, shard, deadline).await?;
        let frames = futures::stream::iter([first]).chain(rest);
        let frames = frames.inspect(move |_| {
            let _held = &slot;
        });
        Ok(stream::checked(frames.boxed()))
    }

    fn take_slot(&self) -> Result<Slot, Refusal> {
        let taken = self.open.fetch_add(1, Ordering::Relaxed);
        let slot = Slot(self.open.clone());
        match taken < self.requests {
            true => Ok(slot),
            false => Err(refusal::retry_after(
                refusal::not_run(Code::Overloaded, STEP, "too many requests in progress"),
                RETRY_AFTER,
            )),
        }
    }

    async fn first(
        &self,
        mut request: CallRequest,
        shard: Shard,
        deadline: Instant,
    ) -> Result<(Frame, Frames), Refusal> {
        let mut delay = Backoff::new(DELAY_MIN, DELAY_MAX);
        let mut lost = false;
        let mut peer = String::new();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            request.deadline_ms = left.as_millis() as u64;
            let owner = self.member.owner(shard);
            let sent = match &owner {
                Some(owner) if !left.is_zero() => self.send(&request, owner, deadline).await,
                _ => Sent::Elsewhere("the shard has no owner at present".to_string()),
            };
            let why = match sent {
                Sent::Answer(Frame::Refusal(refusal), _) => {
                    return Err(honest(refusal, lost, &request));
                }
                Sent::Answer(first, rest) => return Ok((first, rest)),
                Sent::Elsewhere(why) => why,
                Sent::Lost(why) => {
                    lost = true;
                    why
                }
            };
            peer = owner.map_or(peer, |owner| owner.node.to_string());
            let pause = Duration::from_millis(delay.next_delay(rand::rng().random()).0);
            if Instant::now() + pause >= deadline {
                let named = !request::is_fresh(&request.request);
                return Err(unasked(given_up(lost, &why, &peer), named));
            }
            tokio::time::sleep(pause).await;
            request.hops += 1;
        }
    }

    async fn send(&self, request: &CallRequest, owner: &Peer, deadline: Instant) -> Sent {
        let frames = match owner.me {
            true => self.call.run(request.clone()),
            false => match self.forward(request, owner, deadline).await {
                Ok(frames) => frames,
                Err(sent) => return sent,
            },
        };
        tokio::select! {
            sent = first_frame(frames) => sent,
            () = self.replaced(owner) => Sent::Lost("the owner was replaced".to_string()),
        }
    }

    /// Resolves when the shard's owner is out of the fleet. One that has handed the shard over
    /// finishes what it began.
    async fn replaced(&self, owner: &Peer) {
        loop {
            tokio::time::sleep(OWNER_CHECK).await;
            if self.member.map().member(&owner.node).is_none() {
                return;
            }
        }
    }

    async fn forward(
        &self,
        request: &CallRequest,
        owner: &Peer,
        deadline: Instant,
    ) -> Result<Frames, Sent> {
        let mut client = self.member.peers().owner(owner.addr);
        let sent = tokio::time::timeout_at(deadline, client.call(request.clone())).await;
        match sent {
            Ok(Ok(reply)) => Ok(frames(reply.into_inner())),
            Ok(Err(status)) => Err(Sent::Lost(status.message().to_string())),
            Err(_) => Err(Sent::Lost("no reply".to_string())),
        }
    }
}

async fn first_frame(mut frames: Frames) -> Sent {
    match frames.next().await {
        Some(Frame::Moved(_)) => Sent::Elsewhere("the shard has moved".to_string()),
        Some(first) => Sent::Answer(first, frames),
        None => Sent::Lost("the owner is gone".to_string()),
    }
}

/// Frames of an owner elsewhere; a failure ends them.
fn frames(mut reply: tonic::Streaming<CallFrame>) -> Frames {
    let frames = async_stream::stream! {
        while let Ok(Some(CallFrame { frame: Some(frame) })) = reply.message().await {
            yield frame;
        }
    };
    frames.boxed()
}

/// A refusal after a send that was lost: a call may have run then that the ledger doesn't keep, or
/// that its new owner couldn't make out.
fn honest(refusal: Refusal, lost: bool, request: &CallRequest) -> Refusal {
    let step = matches!(request.what, Some(What::Step(_)));
    let kept = step || !request::is_fresh(&request.request);
    let read = !matches!(refusal.code.parse(), Ok(Code::BadRequest | Code::NotFound));
    match lost && refusal.ran() == Ran::No && !(kept && read) {
        true => Refusal {
            ran: Ran::Unknown.into(),
            ..refusal
        },
        false => refusal,
    }
}

/// A refusal that the ledger wasn't asked for: a request of this name may have run before.
fn unasked(refusal: Refusal, named: bool) -> Refusal {
    match named {
        true => trial::ran_when(refusal),
        false => refusal,
    }
}

fn given_up(lost: bool, why: &str, peer: &str) -> Refusal {
    let message = format!("the owner can't be reached: {why}");
    let refusal = match lost {
        true => refusal::unknown(Code::Unavailable, STEP, message),
        false => refusal::not_run(Code::Unavailable, STEP, message),
    };
    refusal::at(refusal::retry_after(refusal, RETRY_AFTER), peer)
}
