//! Requests to read the history hosts' membership again.
//!
//! A host of an older build acknowledges records before the others know that it has joined, so none of
//! them may know of a disk that holds a turn. An entry that hasn't heard of it either finds enough disks
//! without the turn. Before it reports the turn as absent, it reads the membership, which names every disk
//! on which the turn may be stored.

use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Sent to once the membership was read, dropped if it can't be.
pub type Reply = oneshot::Sender<()>;

/// Requests to read the membership again.
#[derive(Debug)]
pub struct Requests {
    sender: mpsc::UnboundedSender<Reply>,
    /// Locked by the task that reads the membership.
    pub receiver: Mutex<mpsc::UnboundedReceiver<Reply>>,
}

impl Default for Requests {
    fn default() -> Requests {
        let (sender, receiver) = mpsc::unbounded_channel();
        Requests {
            sender,
            receiver: Mutex::new(receiver),
        }
    }
}

impl Requests {
    /// Has the membership read from the object store; returns whether it was read before `deadline`.
    pub async fn read(&self, deadline: Instant) -> bool {
        let (reply, read) = oneshot::channel();
        let is_sent = self.sender.send(reply).is_ok();
        is_sent && matches!(tokio::time::timeout_at(deadline, read).await, Ok(Ok(())))
    }
}
