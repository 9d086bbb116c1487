//! FrameReceiver of a dispatch's answer.

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

/// FrameReceiver that wait for a slow reader.
const BUFFERED_FRAMES: usize = 256;

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Done(Done),
    Refused(Refusal),
    Crashed(Crashed),
}

/// What the caller of a dispatch reads.
pub type FrameReceiver = mpsc::Receiver<Result<DispatchFrame, Status>>;

/// The way to the caller of a dispatch; frames for one that has left are dropped.
#[derive(Debug, Clone)]
pub struct FrameSender(mpsc::Sender<Result<DispatchFrame, Status>>);

impl FrameSender {
    /// An output and its reader.
    pub fn new() -> (FrameSender, FrameReceiver) {
        let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES);
        (FrameSender(sender), receiver)
    }

    /// Resolves when the caller has left.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Tells that the attempt has started.
    pub async fn send_started(&self, started: Started, load: Load) {
        self.send(Frame::Started(started), Some(load)).await;
    }

    /// Passes on status and headers.
    pub async fn send_head(&self, head: Head) {
        self.send(Frame::Head(head), None).await;
    }

    /// Passes on a part of the answer.
    pub async fn send_chunk(&self, chunk: Bytes) {
        self.send(Frame::Chunk(chunk), None).await;
    }

    /// Ends the answer.
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
        // A caller that has left reads nothing more; the attempt goes on without it.
        let _ = self.0.send(Ok(DispatchFrame { frame, load })).await;
    }
}
