//! Calls between the system's own processes.
//!
//! A process sends its calls to a peer as length-prefixed frames over one TCP connection. Many
//! calls are in flight at a time and answers arrive in any order. Queued frames are batched into
//! one write. If a peer sends nothing while calls are pending, the connection is closed and
//! reopened. A process reads a large call only once there is memory for it; until then its sender waits.

pub mod memory;

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
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::link::memory::Memory;
use crate::link::memory::Share;
use crate::listener;
use crate::socket;

/// Largest payload, in bytes: a page of records and its framing.
pub const PAYLOAD_LIMIT: usize = 16 * 1024 * 1024;

/// Size of the header before each payload, in bytes: payload length and sequence number.
const HEADER_SIZE: usize = 12;

/// Largest number of frames queued for writing. If the queue is full, the peer is assumed to be
/// stuck: calls fail and answers are dropped.
const QUEUE_LIMIT: usize = 4096;

/// Largest number of frames written together.
const BATCH_LIMIT: usize = 64;

/// Buffer space reserved before each read, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// Timeout for opening a connection; covers several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed attempt to connect; calls queued meanwhile are refused.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time without data from the peer, while calls are pending, after which the connection is reopened.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest pause of a sender within a large call: it occupies memory for which others wait. A sender gives up a
/// connection without acknowledgements after the same time.
const LARGE_CALL_PAUSE: Duration = socket::USER_TIMEOUT;

type Map<K, V> = FxHashMap<K, V>;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The call wasn't sent: no connection, or the queue is full.
    Unreachable,
    /// No answer: the peer may have received and handled the call.
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

/// Size from which a payload is large, in bytes: its body is written by itself instead of being copied into the
/// batch, and buffers don't keep its memory.
const LARGE_BODY: usize = 16 * 1024;

/// Payload of a call in two parts, so that calls to several peers share one body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Payload {
    pub head: Bytes,
    pub body: Bytes,
}

impl Payload {
    fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

impl From<Bytes> for Payload {
    fn from(body: Bytes) -> Payload {
        Payload {
            head: Bytes::new(),
            body,
        }
    }
}

struct Outgoing {
    payload: Payload,
    answer: oneshot::Sender<Result<Bytes, Error>>,
}

#[derive(Debug, Default)]
struct Status {
    connected: AtomicBool,
    /// Time of the last data from the peer, or of the last moment without pending calls, in
    /// milliseconds after `Link::started`.
    last_activity_ms: AtomicU64,
    reset: Notify,
}

/// Client of one peer; clones share the connection.
#[derive(Debug, Clone)]
pub struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Outgoing>,
    status: Arc<Status>,
    started: Instant,
}

impl Link {
    /// Creates a link that connects on the first call and reconnects on the next call after a failure.
    pub fn new(address: SocketAddr) -> Link {
        let (queue, calls) = mpsc::channel(QUEUE_LIMIT);
        let status = Arc::new(Status::default());
        let started = Instant::now();
        tokio::spawn(maintain_connection(
            address,
            calls,
            Arc::clone(&status),
            started,
        ));
        Link {
            address,
            queue,
            status,
            started,
        }
    }

    /// Address on which the peer listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a connection is open.
    pub fn is_connected(&self) -> bool {
        self.status.connected.load(Ordering::Relaxed)
    }

    /// Calls the peer and waits for its answer.
    ///
    /// Errors: no connection, a full queue, connection lost, or no answer within `timeout`.
    pub async fn call(
        &self,
        payload: impl Into<Payload>,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let payload = payload.into();
        let (answer, receiver) = oneshot::channel();
        self.queue
            .try_send(Outgoing { payload, answer })
            .map_err(|_| Error::Unreachable)?;
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Error::Lost),
            Err(_) => {
                self.reset_if_silent();
                Err(Error::Lost)
            }
        }
    }

    /// Resets the connection if no data has arrived for [`SILENCE_TIMEOUT`] while calls were pending.
    fn reset_if_silent(&self) {
        let last_activity =
            Duration::from_millis(self.status.last_activity_ms.load(Ordering::Relaxed));
        if self.is_connected() && (self.started + last_activity).elapsed() >= SILENCE_TIMEOUT {
            self.status.reset.notify_one();
        }
    }
}

impl Status {
    fn record_activity(&self, started: Instant) {
        let elapsed_ms = started.elapsed().as_millis() as u64;
        self.last_activity_ms.store(elapsed_ms, Ordering::Relaxed);
    }
}

async fn maintain_connection(
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
                refuse_queued(&mut calls);
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
                refuse_queued(&mut calls);
            }
        }
    }
}

/// Fails all queued calls.
fn refuse_queued(calls: &mut mpsc::Receiver<Outgoing>) {
    while let Ok(call) = calls.try_recv() {
        refuse(call);
    }
}

fn refuse(call: Outgoing) {
    // The caller may have stopped waiting.
    let _ = call.answer.send(Err(Error::Unreachable));
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    socket::configure(&stream)?;
    Ok(stream)
}

/// Exchanges frames until the connection ends; returns the cause.
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
    let mut frames = Vec::new();
    loop {
        if pending.is_empty() {
            status.record_activity(started);
        }
        for call in batch.drain(..) {
            sequence += 1;
            frames.push((sequence, call.payload));
            pending.insert(sequence, call.answer);
        }
        if !frames.is_empty() {
            let writing = write_frames(&mut writer, &mut output, &mut frames, SILENCE_TIMEOUT);
            tokio::pin!(writing);
            // A peer that writes long answers takes no calls until they are read.
            loop {
                input.reserve(READ_SIZE);
                tokio::select! {
                    written = &mut writing => match written {
                        Ok(()) => break,
                        Err(error) => return error.to_string(),
                    },
                    read = reader.read_buf(&mut input) => {
                        if let Err(cause) = received(read, &mut input, &mut pending) {
                            return cause;
                        }
                        status.record_activity(started);
                    }
                }
            }
        }
        input.reserve(READ_SIZE);
        tokio::select! {
            count = calls.recv_many(&mut batch, BATCH_LIMIT) => if count == 0 {
                return "link is dropped".to_owned();
            },
            read = reader.read_buf(&mut input) => {
                if let Err(cause) = received(read, &mut input, &mut pending) {
                    return cause;
                }
                status.record_activity(started);
            }
            () = status.reset.notified() => return "peer sent nothing while calls were pending".to_owned(),
        }
    }
}

/// Hands complete answers to their callers after a read.
///
/// Errors: the connection has ended or can't be used any more; the cause.
fn received(
    read: io::Result<usize>,
    input: &mut BytesMut,
    pending: &mut Map<u64, oneshot::Sender<Result<Bytes, Error>>>,
) -> Result<(), String> {
    if read.map_err(|error| error.to_string())? == 0 {
        return Err("closed by peer".to_owned());
    }
    while let Some((sequence, payload)) = decode_frame(input).map_err(|error| error.to_string())? {
        if let Some(answer) = pending.remove(&sequence) {
            // The caller may have stopped waiting.
            let _ = answer.send(Ok(payload));
        }
    }
    Ok(())
}

/// Writes frames, small ones together. `output` stays small: it would keep the memory of the largest batch.
async fn write_frames(
    writer: &mut OwnedWriteHalf,
    output: &mut BytesMut,
    frames: &mut Vec<(u64, Payload)>,
    pause: Duration,
) -> io::Result<()> {
    for (sequence, mut payload) in frames.drain(..) {
        output.put_u32(payload.len() as u32);
        output.put_u64(sequence);
        output.put_slice(&payload.head);
        match payload.body.len() < LARGE_BODY {
            true => output.put_slice(&payload.body),
            false => {
                write_all(writer, output, pause).await?;
                write_all(writer, &mut payload.body, pause).await?;
            }
        }
    }
    write_all(writer, output, pause).await
}

/// Writes all bytes. How long this takes depends on their number and the link, so only a longer pause between two
/// writes is an error.
async fn write_all(
    writer: &mut OwnedWriteHalf,
    bytes: &mut impl Buf,
    pause: Duration,
) -> io::Result<()> {
    while bytes.has_remaining() {
        match tokio::time::timeout(pause, writer.write_buf(bytes)).await {
            Ok(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => written?,
            Err(_) => return Err(io::Error::other("peer takes no more bytes")),
        };
    }
    Ok(())
}

/// Length of the payload of the first frame in `input`; `None` if its header hasn't arrived.
///
/// Errors: it exceeds the limit.
fn frame_length(input: &BytesMut) -> io::Result<Option<usize>> {
    if input.len() < HEADER_SIZE {
        return Ok(None);
    }
    let length = (&input[..4]).get_u32() as usize;
    if length > PAYLOAD_LIMIT {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "frame exceeds the payload limit",
        ));
    }
    Ok(Some(length))
}

/// Removes the first complete frame from `input`; `None` if more bytes are needed.
fn decode_frame(input: &mut BytesMut) -> io::Result<Option<(u64, Bytes)>> {
    let Some(length) = frame_length(input)? else {
        return Ok(None);
    };
    if input.len() < HEADER_SIZE + length {
        input.reserve(HEADER_SIZE + length - input.len());
        return Ok(None);
    }
    input.advance(4);
    let sequence = input.get_u64();
    let payload = input.split_to(length).freeze();
    if length >= LARGE_BODY {
        // It would keep the memory of the payload, and read the next ones into it.
        *input = BytesMut::from(&input[..]);
    }
    Ok(Some((sequence, payload)))
}

/// Sends the answer to one call.
#[derive(Debug)]
pub struct Responder {
    sequence: u64,
    queue: mpsc::Sender<(u64, Payload)>,
    /// Of a large call, which occupies it until the answer is queued.
    _share: Option<Share>,
}

impl Responder {
    /// Queues the answer. It is dropped if the connection has ended or the queue is full.
    pub fn send(self, payload: Bytes) {
        if let Err(mpsc::error::TrySendError::Full(_)) =
            self.queue.try_send((self.sequence, payload.into()))
        {
            log::warn!(step = "answer", peer = "link"; "answer queue is full: answer dropped");
        }
    }
}

/// Handles calls from other processes.
pub trait Handler: Send + Sync + 'static {
    /// Handles one call; may return before the answer is sent.
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder);
}

/// Accepts connections and handles their calls until the task is aborted.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    serve_within(listener, handler, Memory::unlimited()).await;
}

/// [`serve`] within the memory that large calls of all connections may occupy together.
pub async fn serve_within<H: Handler>(listener: TcpListener, handler: Arc<H>, memory: Memory) {
    let on_connection = |stream, peer| {
        let (handler, memory) = (Arc::clone(&handler), memory.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, handler, memory).await {
                log::debug!(step = "serve", peer:% = peer; "connection from peer ended: {error}");
            }
        });
    };
    listener::accept(&listener, "peers", on_connection).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    memory: Memory,
) -> io::Result<()> {
    socket::configure(&stream)?;
    let (mut reader, mut writer) = stream.into_split();
    let (queue, mut answers) = mpsc::channel(QUEUE_LIMIT);
    let mut batch: Vec<(u64, Payload)> = Vec::new();
    let mut input = BytesMut::new();
    let mut output = BytesMut::new();
    // Of the large call that is being received.
    let mut share: Option<Share> = None;
    loop {
        while let Some(length) = frame_length(&input)? {
            if length >= LARGE_BODY && share.is_none() {
                let admission = memory.share(length);
                tokio::pin!(admission);
                // Answers are written meanwhile: the other end may wait for them.
                share = loop {
                    tokio::select! {
                        admitted = &mut admission => break Some(admitted),
                        _ = answers.recv_many(&mut batch, BATCH_LIMIT) => {
                            write_frames(&mut writer, &mut output, &mut batch, Duration::MAX).await?;
                        }
                    }
                };
            }
            let Some((sequence, payload)) = decode_frame(&mut input)? else {
                break;
            };
            let responder = Responder {
                sequence,
                queue: queue.clone(),
                _share: share.take(),
            };
            handler.handle(payload, responder);
        }
        input.reserve(READ_SIZE);
        tokio::select! {
            read = reader.read_buf(&mut input) => if read? == 0 {
                return Ok(());
            },
            () = tokio::time::sleep(LARGE_CALL_PAUSE), if share.is_some() => {
                return Err(io::Error::other("peer stopped within a large call"));
            }
            _ = answers.recv_many(&mut batch, BATCH_LIMIT) => {
                // The other end closes the connection when it gives up.
                write_frames(&mut writer, &mut output, &mut batch, Duration::MAX).await?;
            }
        }
    }
}
