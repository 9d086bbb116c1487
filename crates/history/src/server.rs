//! Server of a history host: answers reads from its index and acknowledges writes once they are
//! synced.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use node::link;
use node::link::Responder;
use node::log::throttle::Throttle;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::Set;
use crate::commit::Committer;
use crate::content;
use crate::content::Found;
use crate::content::Log;
use crate::content::Place;
use crate::index::Index;
use crate::membership::Epoch;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Header;
use crate::message::Position;
use crate::origin::Origin;
use crate::record::Charge;
use crate::record::Disk;
use crate::record::Record;
use crate::recovery;
use crate::segment;
use crate::segment::Folder;
use crate::segment::Number;
use crate::time::Timestamp;
use crate::volume::Local;
use crate::volume::Volume;

/// Maximum number of log lines a second about turns that this disk lacks.
const ABSENT_LINES_PER_SECOND: u32 = 20;

#[derive(Debug)]
struct State {
    index: Index,
    /// Log file to which new records are appended.
    file: Number,
    /// Bytes submitted for `file`.
    file_bytes: u64,
    /// Number of submissions to the log since the start.
    submissions: u64,
    /// Whether new records are rejected: the host is retiring, or was killed while it joined or
    /// retired and hasn't joined again.
    closed: bool,
}

/// Limits of a disk's content.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the stored turns' content, in bytes; limits the disk space that the log uses.
    pub content_bytes: u64,
    /// Maximum size of the turns' content in memory, in bytes; other contents are read from the log.
    pub memory_bytes: usize,
    /// File size at which the log rotates to the next file, in bytes.
    pub file_bytes: u64,
}

impl Limits {
    /// Limits of a log of the usual file size.
    pub fn new(content_bytes: u64, memory_bytes: usize) -> Limits {
        Limits {
            content_bytes,
            memory_bytes,
            file_bytes: segment::ROTATION_BYTES,
        }
    }
}

/// Storage of one disk's records and handler of the calls to it.
#[derive(Debug)]
pub struct Server {
    disk: Disk,
    committer: Committer,
    /// Reads contents that aren't in memory.
    log: Log,
    state: Mutex<State>,
    limits: Limits,
    /// Random number drawn at each start; positions are valid for one incarnation.
    incarnation: u64,
    absent_lines: Throttle,
}

impl Server {
    /// Reads a folder's records and starts the commit thread; `capacity` limits the turns' content,
    /// in bytes, which is kept in memory.
    ///
    /// Errors: the folder can't be read or written, or the thread can't be started.
    pub fn open(path: &Path, capacity: u64) -> io::Result<Arc<Server>> {
        let limits = Limits::new(capacity, usize::MAX);
        Server::open_on(Local, path, limits)
    }

    /// [`Server::open`] on a volume.
    ///
    /// Errors: the folder can't be read or written, or the thread can't be started.
    pub fn open_on<V: Volume>(volume: V, path: &Path, limits: Limits) -> io::Result<Arc<Server>> {
        let started = Instant::now();
        let folder = Arc::new(Folder::open_on(volume, path, Disk::random())?);
        let recovery = recovery::recover(&folder, limits.memory_bytes)?;
        let index = recovery.index;
        let (turns, accounts) = index.counts();
        log::info!(
            step = "read log", peer = "disk", disk:% = folder.disk, fresh = folder.fresh,
            files = recovery.files, turns = turns, accounts = accounts,
            epoch:% = index.membership.epoch, joining = index.joining,
            memory_bytes = index.memory_bytes(),
            took_ms = started.elapsed().as_millis() as u64;
            "disk is open"
        );
        let (file, segment) = (recovery.number, recovery.segment);
        let committer = Committer::start(Arc::clone(&folder), file, segment)?;
        let state = State {
            closed: index.joining || folder.is_retiring()?,
            index,
            file,
            file_bytes: 0,
            submissions: 0,
        };
        let disk = folder.disk;
        let log = Log(Box::new(move |place| folder.read_content(place)));
        Ok(Arc::new(Server {
            disk,
            committer,
            log,
            state: Mutex::new(state),
            limits,
            incarnation: rand::random(),
            absent_lines: Throttle::new(ABSENT_LINES_PER_SECOND),
        }))
    }

    /// Identifier of the disk.
    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// The newest membership that this host has received.
    pub fn membership(&self) -> Membership {
        self.state.lock().index.membership.clone()
    }

    /// Whether the disk still copies records that were committed before it became a member.
    pub fn joining(&self) -> bool {
        self.state.lock().index.joining
    }

    /// Whether enough other disks know that this disk is a member, so that it acknowledges records.
    pub fn is_known_member(&self) -> bool {
        is_known_member(&self.state.lock().index, self.disk())
    }

    /// Number of turns, number of accounts, and size of the turns' content in bytes.
    pub fn size(&self) -> (usize, usize, usize) {
        let state = self.state.lock();
        let (turns, accounts) = state.index.counts();
        (turns, accounts, state.index.content_bytes)
    }

    /// Number of requests whose origin is stored.
    pub fn origins(&self) -> usize {
        self.state.lock().index.origin_count()
    }

    /// Number of syncs since the start and their total duration in microseconds.
    pub fn syncs(&self) -> (u64, u64) {
        self.committer.syncs()
    }

    /// Whether new records are rejected until the host has joined again.
    pub fn is_closed(&self) -> bool {
        self.state.lock().closed
    }

    /// Rejects new records from now on, also after a restart; returns whether that was stored.
    pub async fn close(&self) -> bool {
        self.state.lock().closed = true;
        self.set_retiring(true).await
    }

    /// Accepts new records, as far as the disk is a known member; returns whether that was stored.
    pub async fn reopen(&self) -> bool {
        let stored = self.set_retiring(false).await;
        if stored {
            self.state.lock().closed = false;
        }
        stored
    }

    async fn set_retiring(&self, retiring: bool) -> bool {
        let (sender, stored) = oneshot::channel();
        let callback = move |written| {
            // Fails only if the receiver was dropped, as when the process stops.
            let _ = sender.send(written);
        };
        self.committer.set_retiring(retiring, Box::new(callback));
        stored.await.unwrap_or(false)
    }

    /// Fingerprints of all records.
    pub fn fingerprints(&self) -> Set<u64> {
        self.state.lock().index.fingerprints()
    }

    /// One page of fingerprints from a position on; see [`Index::digest`].
    pub fn digest(&self, from: Position) -> (Vec<u64>, Position, bool) {
        self.state.lock().index.digest(from)
    }

    /// Size of the turns' content in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.state.lock().index.memory_bytes()
    }

    /// Records at these positions, without expired ones.
    ///
    /// Errors: the log can't be read.
    pub fn records(&self, positions: &[Position]) -> io::Result<Vec<Record>> {
        let state = self.state.lock();
        let found = positions
            .iter()
            .map(|position| state.index.find_record(*position));
        let found: Vec<Found> = found.flatten().collect();
        drop(state);
        self.load(found)
    }

    /// Reads contents that aren't in memory; not called with the state locked, as the disk may be slow.
    fn load(&self, found: Vec<Found>) -> io::Result<Vec<Record>> {
        let records = found.into_iter().map(|found| found.load(&self.log));
        let records: io::Result<Vec<Record>> = records.collect();
        records.inspect_err(|error| {
            log::error!(step = "read log", peer = "disk"; "turn can't be read: {error}");
        })
    }

    /// Stores records; returns whether they were synced.
    pub async fn persist(&self, records: Vec<Record>) -> bool {
        let (sender, synced) = oneshot::channel();
        let callback = move |written| {
            // Fails only if the receiver was dropped, as when the process stops.
            let _ = sender.send(written);
        };
        self.submit(&mut self.state.lock(), records, callback);
        synced.await.unwrap_or(false)
    }

    /// Removes expired records, and log files that contain only expired records.
    pub fn expire(&self, now: Timestamp) {
        let mut state = self.state.lock();
        let written = self.committer.written();
        state
            .index
            .release_memory(self.limits.memory_bytes, written);
        let current = state.file;
        let expired_files = state.index.expire(now, current);
        if !expired_files.is_empty() && state.file_bytes == 0 {
            // The newest membership and joining state may be in the removed files only.
            self.submit(&mut state, Vec::new(), |_| ());
        }
        drop(state);
        self.committer.remove(expired_files);
    }

    /// Adds records to the index and queues those that changed it for the log. Each log file starts
    /// with the membership and the joining state, since older files may be removed.
    fn submit(
        &self,
        state: &mut State,
        records: Vec<Record>,
        callback: impl FnOnce(bool) + Send + 'static,
    ) {
        let mut bytes = Vec::new();
        if state.file_bytes == 0 {
            let membership = state.index.membership.clone();
            segment::encode(&Record::Membership(membership), &mut bytes);
            segment::encode(&Record::Joining(state.index.joining), &mut bytes);
        }
        state.submissions += 1;
        for record in records {
            let start = bytes.len();
            segment::encode(&record, &mut bytes);
            let entry = content::Entry {
                place: Place {
                    file: state.file,
                    offset: state.file_bytes + (start + segment::HEADER_BYTES) as u64,
                    length: (bytes.len() - start - segment::HEADER_BYTES) as u32,
                },
                submission: state.submissions,
            };
            if !state.index.insert_entry(record, state.file, Some(entry)) {
                bytes.truncate(start);
            }
        }
        let written = self.committer.written();
        state
            .index
            .release_memory(self.limits.memory_bytes, written);
        state.file_bytes += bytes.len() as u64;
        self.committer.submit(state.file, bytes, Box::new(callback));
        if state.file_bytes >= self.limits.file_bytes {
            state.file = state.file.next();
            state.file_bytes = 0;
        }
    }

    /// Stores records and sends `answer` once they are synced, or [`Answer::Closed`] if that fails.
    fn append(&self, state: &mut State, records: Vec<Record>, responder: Responder, answer: Bytes) {
        self.submit(state, records, move |written| {
            responder.send(match written {
                true => answer,
                false => message::encode(&Answer::Closed),
            });
        });
    }

    /// Stores a charge, with the origin of its turn's stream if there is one, and sends the account
    /// as it was before.
    fn reserve(
        &self,
        state: &mut State,
        charge: Charge,
        origin: Option<Origin>,
        responder: Responder,
    ) {
        // The account is read under the lock under which the charge is added, so that the later of
        // two concurrent reservations sees the earlier one.
        let answer = Answer::Account {
            charges: state.index.charges(&charge.account),
            complete: !state.index.joining,
        };
        let mut records = vec![Record::Charge(charge)];
        records.extend(origin.map(Record::Origin));
        self.append(state, records, responder, message::encode(&answer));
    }

    fn rejects_writes(&self, state: &State) -> bool {
        state.closed
            || !is_known_member(&state.index, self.disk())
            || self.committer.failed()
            || state.index.content_bytes as u64 > self.limits.content_bytes
    }
}

/// A disk stores a membership that contains it only after enough others have received one.
fn is_known_member(index: &Index, disk: Disk) -> bool {
    index.membership.find(disk).is_some()
}

/// The answer to a call for another disk or with an outdated epoch; `None` if the call is valid.
fn rejection(header: Header, disk: Disk, state: &State, call: &Call) -> Option<Answer> {
    let membership = &state.index.membership;
    let accepts_any_epoch = matches!(call, Call::Digest(_) | Call::Fetch(_) | Call::Inform(_));
    match () {
        () if header.disk != disk => Some(Answer::OtherDisk),
        () if !accepts_any_epoch && header.epoch < membership.epoch => {
            Some(Answer::Stale(membership.clone()))
        }
        () => None,
    }
}

impl link::Handler for Server {
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder) {
        let (header, call) = match message::read_call(payload) {
            Ok(call) => call,
            Err(error) => {
                log::warn!(step = "read call", peer = "history client"; "invalid call: {error}");
                // A newer build may have calls that this one doesn't know; without an answer, their
                // sender would wait instead of asking another host.
                return responder.send(message::encode(&Answer::Closed));
            }
        };
        let mut state = self.state.lock();
        if let Some(answer) = rejection(header, self.disk(), &state, &call) {
            return responder.send(message::encode(&answer));
        }
        let writes = matches!(
            call,
            Call::Append(_) | Call::Reserve(_) | Call::ReserveStream { .. }
        );
        if writes && self.rejects_writes(&state) {
            return responder.send(message::encode(&Answer::Closed));
        }
        let complete = !state.index.joining;
        match call {
            Call::Append(records) => {
                let answer = message::encode(&Answer::Appended);
                self.append(&mut state, records, responder, answer);
            }
            Call::Reserve(charge) => self.reserve(&mut state, charge, None, responder),
            Call::ReserveStream { charge, origin } => {
                self.reserve(&mut state, charge, Some(origin), responder);
            }
            Call::ReadOrigin { customer, request } => {
                let stored = state.index.origin(&customer, &request);
                let answer = Answer::Origin {
                    state: stored,
                    complete,
                };
                responder.send(message::encode(&answer));
            }
            Call::ReadAccount(account) => {
                let charges = state.index.charges(&account);
                responder.send(message::encode(&Answer::Account { charges, complete }));
            }
            Call::Chain(turn) => {
                let found = state.index.find_chain(&turn);
                let epoch = state.index.membership.epoch;
                drop(state);
                if found.is_empty() && self.absent_lines.allows() {
                    log::info!(
                        step = "find turn", peer = "history client", request = turn.as_str(),
                        disk:% = self.disk(), epoch:% = epoch, client_epoch:% = header.epoch,
                        complete = complete;
                        "this disk doesn't have the turn"
                    );
                }
                let answer = match self.load(found) {
                    Ok(records) => Answer::Chain {
                        turns: records.into_iter().filter_map(Record::into_turn).collect(),
                        complete,
                    },
                    Err(_) => Answer::Closed,
                };
                responder.send(message::encode(&answer));
            }
            Call::Digest(position) => {
                let (fingerprints, next, end) = state.index.digest(position);
                drop(state);
                let incarnation = self.incarnation;
                responder.send(message::encode(&Answer::Digest {
                    incarnation,
                    fingerprints,
                    next,
                    end,
                }));
            }
            Call::Fetch(positions) => {
                drop(state);
                let answer = match self.records(&positions) {
                    Ok(records) => Answer::Records(records),
                    Err(_) => Answer::Closed,
                };
                responder.send(message::encode(&answer));
            }
            // Disks that acknowledge no records aren't counted among the informed ones.
            Call::Inform(_) if !is_known_member(&state.index, self.disk()) => {
                responder.send(message::encode(&Answer::Closed));
            }
            Call::Inform(membership) => {
                let epoch = membership.epoch;
                if epoch > state.index.membership.epoch {
                    log_membership(&membership);
                }
                let answer = message::encode(&Answer::Informed);
                let records = vec![Record::Membership(membership)];
                self.append(&mut state, records, responder, answer);
            }
        }
    }
}

fn log_membership(membership: &Membership) {
    let hosts: Vec<&str> = membership
        .members
        .iter()
        .map(|member| member.host.as_str())
        .collect();
    let Epoch(epoch) = membership.epoch;
    log::info!(step = "learn membership", peer = "history", epoch = epoch, hosts:? = hosts; "newer membership received");
}
