//! A history host: answers calls from its index, and acknowledges records once they are synced.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use node::link;
use node::link::Responder;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::Set;
use crate::commit::Committer;
use crate::index::Index;
use crate::membership::Epoch;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Head;
use crate::message::Position;
use crate::record::Disk;
use crate::record::Record;
use crate::segment;
use crate::segment::Folder;
use crate::segment::Number;
use crate::time::Timestamp;

#[derive(Debug)]
struct State {
    index: Index,
    /// The file that new records go to, and the bytes submitted for it.
    file: Number,
    written: u64,
    closed: bool,
}

/// Records of one disk, and the calls about them.
#[derive(Debug)]
pub struct Server {
    folder: Arc<Folder>,
    committer: Committer,
    state: Mutex<State>,
    /// Part of the disk that the log may fill, in bytes.
    capacity: u64,
    /// Drawn at each start; positions hold for one start.
    incarnation: u64,
}

impl Server {
    /// Reads a folder's records and starts writing; `capacity` is in bytes.
    ///
    /// Errors: the folder can't be read or written.
    pub fn open(path: &Path, capacity: u64) -> io::Result<Arc<Server>> {
        let started = Instant::now();
        let folder = Arc::new(Folder::open(path, Disk(rand::random()))?);
        let mut index = Index::default();
        let files = folder.files()?;
        for number in &files {
            let whole = folder.read(*number, |record| {
                index.insert(record, *number);
            })?;
            if !whole {
                log::warn!(
                    step = "read log", peer = "disk", file = number.0;
                    "records after the last sync are damaged and left out"
                );
            }
        }
        let file = Number(files.last().map_or(1, |last| last.0 + 1));
        let (turns, accounts) = index.len();
        log::info!(
            step = "read log", peer = "disk", disk:% = folder.disk, fresh = folder.fresh,
            files = files.len(), turns = turns, accounts = accounts,
            epoch:% = index.membership.epoch, joining = index.joining,
            took_ms = started.elapsed().as_millis() as u64;
            "disk is open"
        );
        let committer = Committer::start(Arc::clone(&folder))?;
        let state = State {
            index,
            file,
            written: 0,
            closed: false,
        };
        Ok(Arc::new(Server {
            folder,
            committer,
            state: Mutex::new(state),
            capacity,
            incarnation: rand::random(),
        }))
    }

    /// Name of the disk.
    pub fn disk(&self) -> Disk {
        self.folder.disk
    }

    /// The newest membership that this host was told of.
    pub fn membership(&self) -> Membership {
        self.state.lock().index.membership.clone()
    }

    /// Whether the disk still copies what it missed before it counted.
    pub fn joining(&self) -> bool {
        self.state.lock().index.joining
    }

    /// Turns, accounts and bytes held.
    pub fn size(&self) -> (usize, usize, usize) {
        let state = self.state.lock();
        let (turns, accounts) = state.index.len();
        (turns, accounts, state.index.bytes)
    }

    /// Syncs so far and the time they took in all, in microseconds.
    pub fn syncs(&self) -> (u64, u64) {
        self.committer.syncs()
    }

    /// Takes no new records from now on.
    pub fn close(&self) {
        self.state.lock().closed = true;
    }

    /// Fingerprints of all records.
    pub fn fingerprints(&self) -> Set<u64> {
        self.state.lock().index.fingerprints()
    }

    /// Fingerprints of records from a position on; see [`Index::digest`].
    pub fn digest(&self, from: Position) -> (Vec<u64>, Position, bool) {
        self.state.lock().index.digest(from)
    }

    /// Records at these positions, as far as they are still there.
    pub fn records(&self, positions: &[Position]) -> Vec<Record> {
        let state = self.state.lock();
        let found = positions.iter().map(|position| state.index.at(*position));
        found.flatten().collect()
    }

    /// Keeps records; false if the disk fails.
    pub async fn keep(&self, records: Vec<Record>) -> bool {
        let (sender, synced) = oneshot::channel();
        let done = move |written| {
            // Nobody waits any more if the process stops.
            let _ = sender.send(written);
        };
        self.submit(&mut self.state.lock(), records, done);
        synced.await.unwrap_or(false)
    }

    /// Forgets what has expired and removes files that hold nothing else.
    pub fn expire(&self, now: Timestamp) {
        let mut state = self.state.lock();
        let current = state.file;
        let old = state.index.expire(now, current);
        drop(state);
        for number in old {
            if let Err(error) = self.folder.remove(number) {
                log::warn!(step = "remove log file", peer = "disk", file = number.0; "{error}");
            }
        }
    }

    /// Adds records to the index and the log.
    fn submit(
        &self,
        state: &mut State,
        records: Vec<Record>,
        done: impl FnOnce(bool) + Send + 'static,
    ) {
        let mut bytes = Vec::new();
        if state.written == 0 {
            let membership = state.index.membership.clone();
            segment::encode(&Record::Membership(membership), &mut bytes);
            segment::encode(&Record::Joining(state.index.joining), &mut bytes);
        }
        for record in records {
            let start = bytes.len();
            segment::encode(&record, &mut bytes);
            if !state.index.insert(record, state.file) {
                bytes.truncate(start);
            }
        }
        state.written += bytes.len() as u64;
        self.committer.submit(state.file, &bytes, Box::new(done));
        if state.written >= segment::SIZE_LIMIT {
            state.file = Number(state.file.0 + 1);
            state.written = 0;
        }
    }

    fn append(&self, state: &mut State, records: Vec<Record>, responder: Responder, answer: Bytes) {
        self.submit(state, records, move |written| {
            responder.send(match written {
                true => answer,
                false => message::encode(&Answer::Closed),
            });
        });
    }

    fn full(&self, state: &State) -> bool {
        state.closed || self.committer.failed() || state.index.bytes as u64 > self.capacity
    }
}

/// Why a call isn't handled as it stands.
fn reject(head: Head, disk: Disk, state: &State, call: &Call) -> Option<Answer> {
    let known = &state.index.membership;
    let any_epoch = matches!(call, Call::Digest(_) | Call::Fetch(_) | Call::Inform(_));
    match () {
        () if head.disk != disk => Some(Answer::OtherDisk),
        () if !any_epoch && head.epoch < known.epoch => Some(Answer::Stale(known.clone())),
        () => None,
    }
}

impl link::Handler for Server {
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder) {
        let (head, call) = match message::read_call(payload) {
            Ok(call) => call,
            Err(error) => {
                log::warn!(step = "read call", peer = "history client"; "{error}");
                return;
            }
        };
        let mut state = self.state.lock();
        if let Some(answer) = reject(head, self.disk(), &state, &call) {
            return responder.send(message::encode(&answer));
        }
        let writes = matches!(call, Call::Append(_) | Call::Reserve(_));
        if writes && self.full(&state) {
            return responder.send(message::encode(&Answer::Closed));
        }
        let complete = !state.index.joining;
        match call {
            Call::Append(records) => {
                let answer = message::encode(&Answer::Appended);
                self.append(&mut state, records, responder, answer);
            }
            Call::Reserve(charge) => {
                let account = charge.account.clone();
                let records = vec![Record::Charge(charge)];
                // The answer must show what the account holds with this charge.
                let before = state.index.charges(&account);
                let answer = Answer::Account {
                    charges: before,
                    complete,
                };
                self.append(&mut state, records, responder, message::encode(&answer));
            }
            Call::Show(account) => {
                let charges = state.index.charges(&account);
                responder.send(message::encode(&Answer::Account { charges, complete }));
            }
            Call::Chain(turn) => {
                let turns = state.index.chain(&turn);
                drop(state);
                responder.send(message::encode(&Answer::Chain { turns, complete }));
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
                let found = positions.iter().map(|position| state.index.at(*position));
                let records = found.flatten().collect();
                drop(state);
                responder.send(message::encode(&Answer::Records(records)));
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
    log::info!(step = "learn membership", peer = "history", epoch = epoch, hosts:? = hosts; "newer membership");
}
