//! One attempt at a target: the stream to its sidecar, and what comes back.

use std::io::ErrorKind;
use std::time::Duration;

use coord::id::Attempt;
use coord::id::Epoch;
use coord::id::Node;
use coord::id::Shard;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;
use wire::CancelReply;
use wire::CancelRequest;
use wire::Cancelled;
use wire::Crashed;
use wire::DispatchFrame;
use wire::DispatchMessage;
use wire::Done;
use wire::Extend;
use wire::Head;
use wire::Load;
use wire::Refusal;
use wire::Start;
use wire::Started;
use wire::dispatch_frame::Frame;
use wire::dispatch_message::Message;
use wire::target_client::TargetClient;

/// Messages to a sidecar that may wait to be sent.
const MESSAGES: usize = 16;
/// How long a sidecar holds a tombstone.
const TOMBSTONE: Duration = Duration::from_secs(900);
/// Longest wait for the reply to a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1500);

/// A way to a sidecar.
pub type Client = TargetClient<Channel>;

/// What an attempt reports.
#[derive(Debug)]
pub enum Event {
    Started(Started),
    Head(Head),
    Chunk(bytes::Bytes),
    Done(Done),
    Refusal(Refusal),
    Crashed(Crashed),
    /// The stream ended without an outcome.
    Lost(String),
}

/// A running attempt; dropping it leaves the sidecar's side to itself.
#[derive(Debug)]
pub struct Dispatch {
    messages: mpsc::Sender<DispatchMessage>,
    frames: Streaming<DispatchFrame>,
}

impl Dispatch {
    /// Sends the work to the sidecar.
    ///
    /// Errors: the stream wasn't opened; the work may have arrived all the same.
    pub async fn start(mut client: Client, start: Start) -> Result<Dispatch, tonic::Status> {
        let (messages, queue) = mpsc::channel(MESSAGES);
        let first = DispatchMessage {
            message: Some(Message::Start(start)),
        };
        messages
            .try_send(first)
            .map_err(|_| tonic::Status::internal("the first message found no room"))?;
        let frames = client.dispatch(ReceiverStream::new(queue)).await?;
        Ok(Dispatch {
            messages,
            frames: frames.into_inner(),
        })
    }

    /// Moves the moment up to which the work may start, from now.
    pub fn extend(&self, start_by: Duration) {
        let start_by_ms = start_by.as_millis() as u64;
        self.send(Message::Extend(Extend { start_by_ms }));
    }

    /// Asks to stop the work, started or not.
    pub fn cancel(&self) {
        self.send(Message::Cancelled(Cancelled {}));
    }

    fn send(&self, message: Message) {
        let message = Some(message);
        let _ = self.messages.try_send(DispatchMessage { message });
    }

    /// The next event, with the target's load if it came along.
    pub async fn next(&mut self) -> (Event, Option<Load>) {
        match self.frames.message().await {
            Ok(Some(DispatchFrame { frame, load })) => {
                let event = frame.map_or_else(|| lost("empty frame"), event);
                (event, load)
            }
            Ok(None) => (lost("the stream ended"), None),
            Err(status) => (lost(status.message()), None),
        }
    }
}

/// Whether a stream surely wasn't opened: nobody listens, or the connection closed before the
/// request was taken from its queue.
pub fn is_unsent(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        let refused = error.downcast_ref::<std::io::Error>();
        let refused = refused.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
        let cancelled = error.downcast_ref::<hyper::Error>();
        if refused || cancelled.is_some_and(hyper::Error::is_canceled) {
            return true;
        }
        source = error.source();
    }
    false
}

/// A failure with all its causes.
pub fn causes(status: &tonic::Status) -> String {
    let mut text = status.message().to_string();
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        text.push_str(&format!(": {error}"));
        source = error.source();
    }
    text
}

fn event(frame: Frame) -> Event {
    match frame {
        Frame::Started(started) => Event::Started(started),
        Frame::Head(head) => Event::Head(head),
        Frame::Chunk(chunk) => Event::Chunk(chunk),
        Frame::Done(done) => Event::Done(done),
        Frame::Refusal(refusal) => Event::Refusal(refusal),
        Frame::Crashed(crashed) => Event::Crashed(crashed),
    }
}

fn lost(message: &str) -> Event {
    Event::Lost(message.to_string())
}

/// Under whose authority an attempt is cancelled.
#[derive(Debug, Clone)]
pub struct Fence {
    pub node: Node,
    pub shard: Shard,
    pub epoch: Epoch,
}

/// Cancels an attempt, or fences it off before it arrives.
pub async fn cancel(
    mut client: Client,
    attempt: &Attempt,
    fence: &Fence,
) -> Result<CancelReply, tonic::Status> {
    let request = CancelRequest {
        attempt: attempt.to_string(),
        node: fence.node.to_string(),
        shard: fence.shard.0.into(),
        epoch: fence.epoch.0,
        keep_ms: TOMBSTONE.as_millis() as u64,
    };
    match tokio::time::timeout(CANCEL_TIMEOUT, client.cancel(request)).await {
        Ok(reply) => reply.map(tonic::Response::into_inner),
        Err(_) => Err(tonic::Status::deadline_exceeded("no reply to the cancel")),
    }
}
