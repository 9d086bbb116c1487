//! Calls between the system's own processes.
//!
//! Length-prefixed frames over one TCP connection a peer; many calls are in progress at a time and
//! answers come in any order. Frames that wait together leave in one write. A peer that stays
//! silent while calls wait is given up: the connection is closed and opened anew.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use rustc_hash::FxHashMap;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::listener;
use crate::socket;

/// Largest payload, in bytes: a page of records and its framing.
pub const PAYLOAD_LIMIT: usize = 16 * 1024 * 1024;

/// Bytes before each payload: its length and the call's number.
const HEAD: usize = 12;

/// Frames that wait to be written at most; beyond, the peer counts as stuck.
const QUEUE_LIMIT: usize = 4096;

/// Frames written together at most.
const BATCH: usize = 64;

/// Bytes asked for in one read.
const READ_SIZE: usize = 16 * 1024;

/// Time to open a connection; several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a connection couldn't be opened.
const CONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Silence of a peer, with calls waiting, after which its connection is opened anew.
const SILENCE: Duration = Duration::from_millis(700);

type Map<K, V> = FxHashMap<K, V>;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection: the peer didn't get the call.
    Unreachable,
    /// The peer may have got the call.
    Lost,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::Unreachable => "peer not reached",
            Error::Lost => "no answer from the peer",
        })
    }
}

impl std::error::Error for Error {}

struct Outgoing {
    payload: Bytes,
    answer: oneshot::Sender<Result<Bytes, Error>>,
}

#[derive(Debug, Default)]
struct Status {
    connected: AtomicBool,
    /// Milliseconds since `started` at which the peer was last heard, or since which a call waits.
    heard_ms: AtomicU64,
    reset: Notify,
}

/// A peer to call.
#[derive(Debug, Clone)]
pub struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Outgoing>,
    status: Arc<Status>,
    started: Instant,
}

impl Link {
    /// A link that connects when first used, and again after a failure.
    pub fn new(address: SocketAddr) -> Link {
        let (queue, calls) = mpsc::channel(QUEUE_LIMIT);
        let status = Arc::new(Status::default());
        let started = Instant::now();
        tokio::spawn(run(address, calls, Arc::clone(&status), started));
        Link {
            address,
            queue,
            status,
            started,
        }
    }

    /// Where the peer listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a connection is open.
    pub fn connected(&self) -> bool {
        self.status.connected.load(Ordering::Relaxed)
    }

    /// Calls the peer and waits for its answer.
    ///
    /// Errors: no connection, a broken one, or no answer in time.
    pub async fn call(&self, payload: Bytes, timeout: Duration) -> Result<Bytes, Error> {
        let (answer, answered) = oneshot::channel();
        self.queue
            .try_send(Outgoing { payload, answer })
            .map_err(|_| Error::Unreachable)?;
        match tokio::time::timeout(timeout, answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Error::Lost),
            Err(_) => {
                self.check_silence();
                Err(Error::Lost)
            }
        }
    }

    /// Opens the connection anew if the peer has said nothing for long while calls waited.
    fn check_silence(&self) {
        let heard = Duration::from_millis(self.status.heard_ms.load(Ordering::Relaxed));
        if self.connected() && (self.started + heard).elapsed() >= SILENCE {
            self.status.reset.notify_one();
        }
    }
}

impl Status {
    fn heard(&self, started: Instant) {
        let heard = started.elapsed().as_millis() as u64;
        self.heard_ms.store(heard, Ordering::Relaxed);
    }
}

async fn run(
    address: SocketAddr,
    mut calls: mpsc::Receiver<Outgoing>,
    status: Arc<Status>,
    started: Instant,
) {
    while let Some(first) = calls.recv().await {
        match connect(address).await {
            Ok(stream) => {
                log::info!(step = "connect", peer:% = address; "connected to peer");
                status.connected.store(true, Ordering::Relaxed);
                let cause = exchange(stream, first, &mut calls, &status, started).await;
                status.connected.store(false, Ordering::Relaxed);
                log::warn!(step = "exchange", peer:% = address; "connection to peer ended: {cause}");
            }
            Err(error) => {
                log::warn!(step = "connect", peer:% = address; "peer not reached: {error}");
                refuse(first);
                drain(&mut calls);
                tokio::time::sleep(CONNECT_PAUSE).await;
                drain(&mut calls);
            }
        }
    }
}

/// Fails the calls that wait.
fn drain(calls: &mut mpsc::Receiver<Outgoing>) {
    while let Ok(call) = calls.try_recv() {
        refuse(call);
    }
}

fn refuse(call: Outgoing) {
    // The caller may have given up.
    let _ = call.answer.send(Err(Error::Unreachable));
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    socket::configure(&stream)?;
    Ok(stream)
}

/// Exchanges frames until the connection ends; returns why.
async fn exchange(
    stream: TcpStream,
    first: Outgoing,
    calls: &mut mpsc::Receiver<Outgoing>,
    status: &Status,
    started: Instant,
) -> String {
    let (mut reader, mut writer) = stream.into_split();
    let mut pending: Map<u64, oneshot::Sender<Result<Bytes, Error>>> = Map::default();
    let mut sequence = 0;
    let mut input = BytesMut::new();
    let mut output = BytesMut::new();
    let mut batch = vec![first];
    loop {
        if pending.is_empty() {
            status.heard(started);
        }
        for call in batch.drain(..) {
            sequence += 1;
            put_frame(&mut output, sequence, &call.payload);
            pending.insert(sequence, call.answer);
        }
        if !output.is_empty() {
            let written = tokio::time::timeout(SILENCE, writer.write_all_buf(&mut output)).await;
            match written {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return "peer takes no more bytes".to_owned(),
            }
        }
        input.reserve(READ_SIZE);
        tokio::select! {
            count = calls.recv_many(&mut batch, BATCH) => if count == 0 {
                return "no longer used".to_owned();
            },
            read = reader.read_buf(&mut input) => match read {
                Ok(0) => return "closed by peer".to_owned(),
                Ok(_) => {
                    status.heard(started);
                    loop {
                        match take_frame(&mut input) {
                            Ok(Some((sequence, payload))) => if let Some(answer) = pending.remove(&sequence) {
                                // The caller may have given up.
                                let _ = answer.send(Ok(payload));
                            },
                            Ok(None) => break,
                            Err(error) => return error.to_string(),
                        }
                    }
                }
                Err(error) => return error.to_string(),
            },
            () = status.reset.notified() => return "peer is silent".to_owned(),
        }
    }
}

fn put_frame(output: &mut BytesMut, sequence: u64, payload: &[u8]) {
    output.reserve(HEAD + payload.len());
    output.put_u32(payload.len() as u32);
    output.put_u64(sequence);
    output.put_slice(payload);
}

fn take_frame(input: &mut BytesMut) -> io::Result<Option<(u64, Bytes)>> {
    if input.len() < HEAD {
        return Ok(None);
    }
    let length = (&input[..4]).get_u32() as usize;
    if length > PAYLOAD_LIMIT {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    if input.len() < HEAD + length {
        input.reserve(HEAD + length - input.len());
        return Ok(None);
    }
    input.advance(4);
    let sequence = input.get_u64();
    Ok(Some((sequence, input.split_to(length).freeze())))
}

/// Where the answer to one call goes.
#[derive(Debug)]
pub struct Responder {
    sequence: u64,
    queue: mpsc::Sender<(u64, Bytes)>,
}

impl Responder {
    /// Answers the call. A peer that has gone, or takes no answers, gets none.
    pub fn send(self, payload: Bytes) {
        if let Err(mpsc::error::TrySendError::Full(_)) =
            self.queue.try_send((self.sequence, payload))
        {
            log::warn!(step = "answer", peer = "link"; "peer takes no answers; one is dropped");
        }
    }
}

/// What a process does with calls.
pub trait Handler: Send + Sync + 'static {
    /// Handles one call; the answer may be sent later.
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder);
}

/// Takes calls until the task is aborted.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    let connect = |stream, peer| {
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            if let Err(error) = answer(stream, handler).await {
                log::debug!(step = "serve", peer:% = peer; "connection of peer ended: {error}");
            }
        });
    };
    listener::accept(&listener, "peers", connect).await;
}

async fn answer<H: Handler>(stream: TcpStream, handler: Arc<H>) -> io::Result<()> {
    socket::configure(&stream)?;
    let (mut reader, mut writer) = stream.into_split();
    let (queue, mut answers) = mpsc::channel(QUEUE_LIMIT);
    let mut batch: Vec<(u64, Bytes)> = Vec::new();
    let mut input = BytesMut::new();
    let mut output = BytesMut::new();
    loop {
        input.reserve(READ_SIZE);
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                if read? == 0 {
                    return Ok(());
                }
                while let Some((sequence, payload)) = take_frame(&mut input)? {
                    let queue = queue.clone();
                    handler.handle(payload, Responder { sequence, queue });
                }
            }
            _ = answers.recv_many(&mut batch, BATCH) => {
                for (sequence, payload) in batch.drain(..) {
                    put_frame(&mut output, sequence, &payload);
                }
                writer.write_all_buf(&mut output).await?;
            }
        }
    }
}
