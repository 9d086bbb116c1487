//! gRPC service for entries.

use std::sync::Arc;

use coord::id::Attempt;
use coord::id::Ticket;
use coord::time::Millis;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;
use wire::CacheReply;
use wire::CacheRequest;
use wire::CancelReply;
use wire::CancelRequest;
use wire::DispatchFrame;
use wire::DispatchMessage;
use wire::Load;
use wire::ProbeRequest;
use wire::Start;
use wire::cancel_reply;
use wire::dispatch_message::Message;
use wire::target_server::Target;

use crate::age;
use crate::dispatch::Dispatch;
use crate::frame::FrameSender;
use crate::frame::Outcome;
use crate::intake;
use crate::ledger::AttemptRef;
use crate::ledger::Cancelled;
use crate::order::Wanted;
use crate::release;
use crate::state::Control;
use crate::state::State;

/// Implementation of the service on the shared state.
#[derive(Debug, Clone)]
pub struct Server {
    state: Arc<State>,
}

impl Server {
    /// Creates the service.
    pub fn new(state: Arc<State>) -> Server {
        Server { state }
    }

    fn cancel_attempt(&self, request: &CancelRequest) -> Result<Cancelled, Status> {
        let attempt: Attempt = request.attempt.parse().map_err(malformed)?;
        let authority = intake::parse_authority(request.shard, request.epoch);
        let authority = authority.map_err(|refusal| Status::invalid_argument(refusal.message))?;
        let keep = Millis(request.keep_ms);
        let now = self.state.clock.now();
        let attempt_ref = AttemptRef {
            attempt: &attempt,
            created: age::creation_time(&attempt, now),
        };
        let cancelled = self
            .state
            .ledger
            .lock()
            .cancel(attempt_ref, authority, keep, now);
        if matches!(cancelled, Cancelled::Fenced | Cancelled::Running) {
            self.state.send_control(&attempt, Control::Cancel);
        }
        Ok(cancelled)
    }

    /// Applies cache leases of current shard owners; returns the programs to release now.
    fn apply_leases(&self, request: CacheRequest) -> Vec<String> {
        let now = self.state.clock.now();
        let mut released = Vec::new();
        for lease in request.leases {
            let current = intake::parse_authority(lease.shard, lease.epoch)
                .is_ok_and(|authority| self.state.ledger.lock().record_epoch(authority));
            let mut leases = self.state.leases.lock();
            match lease.hold_ms {
                _ if !current => {}
                0 => {
                    leases.release(&lease.program, now);
                    released.push(lease.program);
                }
                hold => leases.renew(&lease.program, Millis(hold), now),
            }
        }
        released
    }
}

#[tonic::async_trait]
impl Target for Server {
    type DispatchStream = ReceiverStream<Result<DispatchFrame, Status>>;

    async fn dispatch(
        &self,
        request: Request<Streaming<DispatchMessage>>,
    ) -> Result<Response<Self::DispatchStream>, Status> {
        let mut messages = request.into_inner();
        let first = messages.message().await?;
        let Some(Message::Start(start)) = first.and_then(|message| message.message) else {
            return Err(Status::invalid_argument(
                "the first message isn't a start message",
            ));
        };
        let (output, frames) = FrameSender::new();
        start_dispatch(self.state.clone(), start, messages, output).await;
        Ok(Response::new(ReceiverStream::new(frames)))
    }

    async fn cancel(
        &self,
        request: Request<CancelRequest>,
    ) -> Result<Response<CancelReply>, Status> {
        let state = match self.cancel_attempt(request.get_ref())? {
            Cancelled::Fenced => cancel_reply::State::Fenced,
            Cancelled::Running => cancel_reply::State::Running,
            Cancelled::Done => cancel_reply::State::Done,
            Cancelled::Superseded => cancel_reply::State::Refused,
            Cancelled::Full => {
                return Err(Status::resource_exhausted("too many recorded attempts"));
            }
        };
        Ok(Response::new(CancelReply {
            state: state.into(),
            incarnation: self.state.incarnation.clone(),
        }))
    }

    async fn cache(&self, request: Request<CacheRequest>) -> Result<Response<CacheReply>, Status> {
        let programs = self.apply_leases(request.into_inner());
        let released = match programs.is_empty() || !self.state.is_engine() {
            true => Ok(programs),
            false => release::drop_and_confirm(&self.state, programs).await,
        };
        let released = released.map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(CacheReply { released }))
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<Load>, Status> {
        if let Some(wanted) = request.into_inner().wanted {
            self.state.set_wanted(Wanted {
                ticket: Ticket(wanted.ticket),
                models: wanted.models,
            });
        }
        Ok(Response::new(self.state.load()))
    }
}

/// Starts a dispatch in the background, or sends the refusal of an invalid one.
async fn start_dispatch(
    state: Arc<State>,
    start: Start,
    messages: Streaming<DispatchMessage>,
    output: FrameSender,
) {
    match Dispatch::new(state.clone(), start) {
        Ok(dispatch) => {
            let attempt = dispatch.attempt().clone();
            let controls = tokio::spawn(forward_controls(state, attempt, messages));
            tokio::spawn(async move {
                dispatch.run(output).await;
                controls.abort();
            });
        }
        Err(refusal) => {
            output
                .send_outcome(Outcome::Refused(refusal), state.load())
                .await
        }
    }
}

/// Forwards later messages of a dispatch as controls to its attempt.
async fn forward_controls(
    state: Arc<State>,
    attempt: Attempt,
    mut messages: Streaming<DispatchMessage>,
) {
    while let Ok(Some(message)) = messages.message().await {
        match message.message {
            Some(Message::Extend(extend)) => {
                let time = state.clock.now() + Millis(extend.start_by_ms);
                state.send_control(&attempt, Control::Extend(time));
            }
            Some(Message::Cancelled(_)) => state.send_control(&attempt, Control::Cancel),
            Some(Message::Start(_)) | None => {}
        }
    }
}

fn malformed(error: coord::id::Malformed) -> Status {
    Status::invalid_argument(error.to_string())
}
