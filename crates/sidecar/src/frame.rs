//! Sends the frames of a dispatch's answer to its caller.

use bytes::Bytes;
use tokio::sync::mpsc;
use tonic::Status;
use wire::Crashed;
use wire::DispatchFrame;
use wire::Done;
use wire::Head;
use wire::Load;
use wire::Refusal;
use wire::Started;
use wire::dispatch_frame::Frame;

/// Number of frames buffered for a slow reader.
const BUFFERED_FRAMES: usize = 256;

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Done(Done),
    Refused(Refusal),
    Crashed(Crashed),
}

/// Receives the frames of one dispatch.
pub type FrameReceiver = mpsc::Receiver<Result<DispatchFrame, Status>>;

/// Sends frames to the caller of a dispatch; drops them once the caller has disconnected.
#[derive(Debug, Clone)]
pub struct FrameSender(mpsc::Sender<Result<DispatchFrame, Status>>);

impl FrameSender {
    /// Creates a sender and its receiver.
    pub fn new() -> (FrameSender, FrameReceiver) {
        let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES);
        (FrameSender(sender), receiver)
    }

    /// Completes when the caller has disconnected.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Reports that the attempt has started.
    pub async fn send_started(&self, started: Started, load: Load) {
        self.send(Frame::Started(started), Some(load)).await;
    }

    /// Sends the answer's status and headers.
    pub async fn send_head(&self, head: Head) {
        self.send(Frame::Head(head), None).await;
    }

    /// Sends a part of the answer's body.
    pub async fn send_chunk(&self, chunk: Bytes) {
        self.send(Frame::Chunk(chunk), None).await;
    }

    /// Sends the last frame, with the attempt's outcome.
    pub async fn send_outcome(&self, outcome: Outcome, load: Load) {
        let frame = match outcome {
            Outcome::Done(done) => Frame::Done(done),
            Outcome::Refused(refusal) => Frame::Refusal(refusal),
            Outcome::Crashed(crashed) => Frame::Crashed(crashed),
        };
        self.send(frame, Some(load)).await;
    }

    async fn send(&self, frame: Frame, load: Option<Load>) {
        let frame = Some(frame);
        // Ignored: the attempt continues when its caller has disconnected.
        let _ = self.0.send(Ok(DispatchFrame { frame, load })).await;
    }
}
