//! One attempt of a call, from its start at a sidecar to what came of it.
//!
//! While the work waits in the sidecar's queue, the moment up to which it may start follows this
//! node's authority over the shard. When the caller's key is withdrawn, that moment is brought
//! forward to now: what has not started then never will, and what has started goes on.

use std::time::Duration;
use std::time::Instant;

use coord::config;
use coord::id;
use coord::id::Tokens;
use coord::record::Answer;
use coord::refusal::Code;
use tokio::time::MissedTickBehavior;
use wire::CancelReply;
use wire::Crashed;
use wire::Done;
use wire::Head;
use wire::Ran;
use wire::Refusal;
use wire::cancel_reply::State;

use crate::attempt;
use crate::auth;
use crate::call::Call;
use crate::dispatch;
use crate::dispatch::Client;
use crate::dispatch::Dispatch;
use crate::dispatch::Event;
use crate::dispatch::Fence;
use crate::flight::Own;
use crate::job::Job;
use crate::lease::Authority;
use crate::ledger::Prompt;
use crate::order;
use crate::out::Out;
use crate::refusal;
use crate::trial;

const STEP: &str = "dispatch";
/// How often the permission to start is renewed.
const EXTEND_EVERY: Duration = Duration::from_millis(250);
/// Longest wait for a sidecar to take the work.
const START_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond the deadline for the sidecar to say what came of the work.
const GRACE: Duration = Duration::from_secs(1);
/// When to come back to a target that can't be reached, in milliseconds.
const RETRY_AFTER: u64 = 1000;
/// Largest answer that is kept for repeats, in bytes.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

/// What came of an attempt.
#[derive(Debug)]
pub enum End {
    /// The whole answer went out but for its last frame.
    Answered {
        done: Done,
        /// None: too large to keep.
        answer: Option<Answer>,
    },
    /// Never started and never will.
    NotRun(Refusal),
    /// May have run.
    Unknown(Refusal),
    /// The target died under it.
    Crashed(Crashed),
}

/// An attempt to be made.
#[derive(Debug)]
pub struct Attempt {
    pub name: id::Attempt,
    pub own: Own,
    pub target: config::Target,
    pub authority: Authority,
    /// The whole history, for chats.
    pub messages: bytes::Bytes,
    pub prompt: Tokens,
    pub attained: Tokens,
    pub alone: bool,
}

struct Run<'a> {
    call: &'a Call,
    job: &'a Job,
    attempt: &'a Attempt,
    out: &'a Out,
    started: bool,
    /// No connection could be opened.
    unsent: bool,
    withdrawn: bool,
    cancelled: bool,
    /// The program has ended, and the work is being cancelled.
    ended: bool,
    head: Option<Head>,
    body: Vec<u8>,
    whole: bool,
}

/// Runs an attempt to its end.
pub async fn run(call: &Call, job: &Job, attempt: &Attempt, out: &Out) -> End {
    let mut run = Run {
        call,
        job,
        attempt,
        out,
        started: false,
        unsent: false,
        withdrawn: false,
        cancelled: false,
        ended: false,
        head: None,
        body: Vec::new(),
        whole: true,
    };
    run.run().await
}

impl Run<'_> {
    async fn run(&mut self) -> End {
        let client = self.call.member.peers().target(self.attempt.target.sidecar);
        let start = order::start(self.call, self.job, self.attempt);
        let sent = Dispatch::start(client.clone(), start);
        match tokio::time::timeout(START_TIMEOUT, sent).await {
            Ok(Ok(mut dispatch)) => match self.follow(&mut dispatch).await {
                Some(end) => end,
                None => self.lost(client).await,
            },
            Ok(Err(status)) => {
                self.unsent = dispatch::is_unsent(&status);
                self.unreachable(&dispatch::causes(&status));
                self.lost(client).await
            }
            Err(_) => {
                self.unreachable("the sidecar doesn't take the work");
                self.lost(client).await
            }
        }
    }

    /// Passes frames on until the outcome; none if the stream broke.
    async fn follow(&mut self, dispatch: &mut Dispatch) -> Option<End> {
        let mut changes = self.call.member.changes();
        let mut tick = tokio::time::interval(EXTEND_EVERY);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let deadline = tokio::time::sleep_until(self.job.deadline + GRACE);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                (event, load) = dispatch.next() => {
                    if let Some(load) = load {
                        let target = &self.attempt.target.id;
                        self.call.table.report(target, load, Instant::now());
                    }
                    match self.take(event).await {
                        Next::More => {}
                        Next::End(end) => return Some(end),
                        Next::Lost => return None,
                    }
                }
                _ = tick.tick() => self.look(dispatch),
                Ok(()) = changes.changed(), if !self.started => self.extend(dispatch),
                () = self.out.closed(), if self.job.idempotent && !self.cancelled => {
                    self.cancelled = true;
                    dispatch.cancel();
                    deadline.as_mut().reset(tokio::time::Instant::now() + GRACE);
                }
                () = &mut deadline => {
                    if self.job.idempotent || self.out.ended() {
                        dispatch.cancel();
                        return None;
                    }
                    self.out.refuse(late()).await;
                    deadline.as_mut().reset(tokio::time::Instant::now() + order::LINGER);
                }
            }
        }
    }

    /// Looks whether the work may still start, or go on.
    fn look(&mut self, dispatch: &Dispatch) {
        if !self.started {
            self.extend(dispatch);
        }
        if self.job.idempotent && !self.ended && self.has_ended() {
            self.ended = true;
            dispatch.cancel();
        }
    }

    /// Whether the call's program has ended meanwhile, over its time or by its caller.
    fn has_ended(&self) -> bool {
        let Some(program) = &self.job.program else {
            return false;
        };
        let shards = self.call.member.shards();
        let ended = shards.inspect(self.job.shard, |state| {
            let program = state.replica.program(program);
            program.is_some_and(|program| program.ended.is_some())
        });
        ended.unwrap_or(false)
    }

    /// Renews the permission to start, or ends it.
    fn extend(&mut self, dispatch: &Dispatch) {
        let allowed = self.call.allowed(self.job).is_ok();
        let authority = self.call.member.authority(self.job.shard);
        let authority = authority.filter(|now| now.epoch == self.attempt.authority.epoch);
        match authority {
            _ if self.withdrawn => {}
            _ if !allowed => {
                self.withdrawn = true;
                dispatch.extend(Duration::ZERO);
            }
            Some(authority) => dispatch.extend(order::start_by(&authority, self.job)),
            // The shard was handed over: what waits is for the new owner to place.
            None if self.call.member.fresh() => dispatch.extend(Duration::ZERO),
            None => {}
        }
    }

    async fn take(&mut self, event: Event) -> Next {
        match event {
            Event::Started(_) => self.started = true,
            Event::Head(head) => {
                self.started = true;
                self.out.head(head.clone()).await;
                self.head = Some(head);
            }
            Event::Chunk(chunk) => {
                self.started = true;
                self.keep(&chunk);
                self.out.chunk(chunk).await;
            }
            Event::Done(done) => return Next::End(self.answered(done)),
            Event::Refusal(refusal) => return Next::End(self.refused(refusal)),
            Event::Crashed(crashed) => return Next::End(End::Crashed(crashed)),
            Event::Lost(why) => {
                self.unreachable(&why);
                return Next::Lost;
            }
        }
        Next::More
    }

    fn keep(&mut self, chunk: &[u8]) {
        match self.whole && self.body.len() + chunk.len() <= ANSWER_LIMIT {
            true => self.body.extend_from_slice(chunk),
            false => {
                self.whole = false;
                self.body = Vec::new();
            }
        }
    }

    fn answered(&mut self, done: Done) -> End {
        let body = std::mem::take(&mut self.body);
        let head = self.head.take();
        let answer = Answer {
            status: head.as_ref().map_or(200, |head| head.status as u16),
            content_type: head.as_ref().map(content_type).unwrap_or_default().into(),
            body,
            prompt_tokens: Tokens(done.prompt_tokens),
            cached_tokens: Tokens(done.cached_tokens),
            completion_tokens: Tokens(done.completion_tokens),
            finish: done.finish.as_str().into(),
        };
        let answer = self.whole.then_some(answer);
        End::Answered { done, answer }
    }

    fn refused(&self, refusal: Refusal) -> End {
        let refusal = self.located(refusal);
        match refusal.ran() {
            Ran::No if self.withdrawn => End::NotRun(auth::unauthorized("the key was withdrawn")),
            Ran::No if self.ended => End::NotRun(Refusal {
                ran: Ran::No.into(),
                ..trial::ended()
            }),
            Ran::No => End::NotRun(refusal),
            Ran::Yes | Ran::Unknown if self.ended => End::Unknown(trial::ended()),
            Ran::Yes | Ran::Unknown => End::Unknown(refusal),
        }
    }

    /// The stream broke: only a fence at the same incarnation shows that nothing ran.
    async fn lost(&mut self, client: Client) -> End {
        let fence = Fence {
            node: self.call.member.node(),
            shard: self.job.shard,
            epoch: self.attempt.authority.epoch,
        };
        if self.unsent {
            return self.not_run();
        }
        match dispatch::cancel(client, &self.attempt.name, &fence).await {
            Ok(reply) if !self.started && never_ran(&self.attempt.name, &reply) => self.not_run(),
            _ => {
                let message = "the target was lost; the request may have run";
                let refusal = refusal::unknown(Code::OutcomeUnknown, STEP, message);
                End::Unknown(self.located(refusal))
            }
        }
    }

    fn not_run(&self) -> End {
        let message = "the target can't be reached";
        let refusal = refusal::not_run(Code::NotRun, STEP, message);
        let refusal = refusal::retry_after(refusal, RETRY_AFTER);
        End::NotRun(self.located(refusal))
    }

    fn unreachable(&self, why: &str) {
        let target = &self.attempt.target.id;
        self.call.table.failed(target, Instant::now());
        log::warn!(step = STEP, peer = target.as_str(); "{why}");
    }

    fn located(&self, refusal: Refusal) -> Refusal {
        match refusal.peer.is_empty() {
            true => refusal::at(refusal, &self.attempt.target.id),
            false => refusal,
        }
    }
}

enum Next {
    More,
    End(End),
    Lost,
}

impl Attempt {
    /// What the engine was to read, for another attempt.
    pub fn into_prompt(self) -> Prompt {
        Prompt {
            messages: self.messages,
            tokens: self.prompt,
            attained: self.attained,
        }
    }
}

/// Whether a sidecar's reply to a cancel shows that the attempt never ran.
pub fn never_ran(name: &id::Attempt, reply: &CancelReply) -> bool {
    let incarnation = attempt::incarnation(name);
    reply.state() == State::Fenced && incarnation == Some(reply.incarnation.as_str())
}

fn late() -> Refusal {
    let message = "the deadline has passed; the request goes on and its answer is recorded";
    refusal::unknown(Code::Deadline, STEP, message)
}

fn content_type(head: &Head) -> String {
    let mut headers = head.headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case("content-type"));
    header
        .map(|header| String::from_utf8_lossy(&header.value).into_owned())
        .unwrap_or_default()
}
