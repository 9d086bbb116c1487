//! Where the frames of one call's answer go; the receiver may be gone before the call is through.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use coord::record::Answer;
use futures::StreamExt;
use http::header;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use wire::Done;
use wire::Head;
use wire::Header;
use wire::Refusal;
use wire::call_frame::Frame;

use crate::stream::Frames;

/// Frames that may wait for a slow caller.
const QUEUE: usize = 32;

/// The sending end of an answer.
#[derive(Debug)]
pub struct Out {
    frames: mpsc::Sender<Frame>,
    begun: AtomicBool,
    ended: AtomicBool,
}

impl Out {
    /// Both ends of an answer.
    pub fn pair() -> (Out, Frames) {
        let (frames, queue) = mpsc::channel(QUEUE);
        let out = Out {
            frames,
            begun: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        };
        (out, ReceiverStream::new(queue).boxed())
    }

    /// Whether parts of an answer have been sent, which can't be taken back.
    pub fn begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    /// Whether the caller has got its last frame.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Whether nobody waits for the answer any more.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Resolves when nobody waits for the answer any more.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }

    /// Sends the status line and headers of an answer.
    pub async fn head(&self, head: Head) {
        self.begun.store(true, Ordering::Relaxed);
        self.send(Frame::Head(head)).await;
    }

    /// Sends a part of an answer.
    pub async fn chunk(&self, chunk: bytes::Bytes) {
        self.begun.store(true, Ordering::Relaxed);
        self.send(Frame::Chunk(chunk)).await;
    }

    /// Ends the answer.
    pub async fn last(&self, frame: Frame) {
        self.send(frame).await;
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Ends the answer in a refusal.
    pub async fn refuse(&self, refusal: Refusal) {
        self.last(Frame::Refusal(refusal)).await;
    }

    /// Sends a recorded answer whole.
    pub async fn replay(&self, answer: Answer) {
        self.head(head(&answer)).await;
        if !answer.body.is_empty() {
            self.chunk(answer.body.into()).await;
        }
        let done = Done {
            prompt_tokens: answer.prompt_tokens.0,
            cached_tokens: answer.cached_tokens.0,
            completion_tokens: answer.completion_tokens.0,
            finish: answer.finish.to_string(),
            replayed: true,
        };
        self.last(Frame::Done(done)).await;
    }

    async fn send(&self, frame: Frame) {
        if !self.ended() {
            let _ = self.frames.send(frame).await;
        }
    }
}

fn head(answer: &Answer) -> Head {
    let content_type = Header {
        name: header::CONTENT_TYPE.to_string(),
        value: answer.content_type.as_bytes().to_vec().into(),
    };
    Head {
        status: answer.status.into(),
        headers: vec![content_type],
    }
}
