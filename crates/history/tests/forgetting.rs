//! Tests of copies at members that list a record and lose it: a power loss before the record was synced.

mod support;

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use history::copy;
use history::fingerprint;
use history::membership::Epoch;
use history::membership::Member;
use history::membership::Membership;
use history::message;
use history::message::Call;
use history::record::Record;
use history::restore;
use history::server::Server;
use node::link;
use node::link::Handler;
use node::link::Responder;
use rstest::rstest;
use tokio::net::TcpListener;

use crate::support::turn;

const CAPACITY: u64 = 1 << 30;

const TURN: &str = "turn-1";

/// Time for one copy.
const LIMIT: Duration = Duration::from_secs(10);

/// Two servers of one disk: before a power loss and after it. The power is lost after the first digest.
struct Forgetting {
    before: Arc<Server>,
    after: Arc<Server>,
    lost: AtomicBool,
}

impl Handler for Forgetting {
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder) {
        let (_, call) = message::read_call(payload.clone()).expect("call");
        let lost = match call {
            Call::Digest(_) => self.lost.swap(true, Ordering::Relaxed),
            _ => self.lost.load(Ordering::Relaxed),
        };
        match lost {
            true => self.after.handle(payload, responder),
            false => self.before.handle(payload, responder),
        }
    }
}

/// Folders of a test, removed at its end.
struct Folders(PathBuf);

impl Folders {
    fn create() -> Folders {
        let name = format!("teasellever-forgetting-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("folder");
        Folders(path)
    }

    fn open(&self, name: &str) -> Arc<Server> {
        let path = self.0.join(name);
        std::fs::create_dir_all(&path).expect("folder");
        Server::open(&path, CAPACITY).expect("server")
    }

    fn copy(&self, from: &str, to: &str) {
        copy_folder(&self.0.join(from), &self.0.join(to));
    }
}

impl Drop for Folders {
    fn drop(&mut self) {
        // Leftover temporary folders are harmless.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("folder");
    for entry in std::fs::read_dir(from).expect("folder") {
        let entry = entry.expect("entry");
        let (from, to) = (entry.path(), to.join(entry.file_name()));
        match from.is_dir() {
            true => copy_folder(&from, &to),
            false => drop(std::fs::copy(&from, &to).expect("copy")),
        }
    }
}

async fn serve<H: Handler>(handler: Arc<H>, server: &Server, name: &str) -> Member {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(link::serve(listener, handler));
    Member {
        disk: server.disk(),
        host: name.into(),
        address,
    }
}

fn holds(server: &Server) -> bool {
    let fingerprint = fingerprint::of_turn(&TURN.parse().expect("name"));
    server.fingerprints().contains(&fingerprint)
}

/// Two members, this host and one that forgets the turn that both hold.
struct Pair {
    own: Arc<Server>,
    forgetting: Arc<Forgetting>,
    members: Vec<Member>,
    _folders: Folders,
}

impl Pair {
    async fn start() -> Pair {
        let folders = Folders::create();
        let own = folders.open("own");
        // Both folders must name the same disk.
        let first = folders.open("before");
        let disk = first.disk();
        drop(first);
        folders.copy("before", "after");
        let (before, after) = (folders.open("before"), folders.open("after"));
        assert_eq!((before.disk(), after.disk()), (disk, disk));
        let forgetting = Arc::new(Forgetting {
            before,
            after,
            lost: AtomicBool::new(false),
        });
        let members = vec![
            serve(Arc::clone(&own), &own, "own").await,
            serve(Arc::clone(&forgetting), &forgetting.before, "forgetting").await,
        ];
        let membership = Membership {
            epoch: Epoch(2),
            members: members.clone(),
        };
        for server in [&own, &forgetting.before, &forgetting.after] {
            let record = Record::Membership(membership.clone());
            assert!(server.persist(vec![record]).await);
        }
        for server in [&own, &forgetting.before] {
            assert!(server.persist(vec![Record::Turn(turn(TURN))]).await);
        }
        Pair {
            own,
            forgetting,
            members,
            _folders: folders,
        }
    }
}

/// Guards against a committed turn that the next lost disk takes along: a host that retired counted a member
/// as holding a turn that the member had listed before a power loss and lost in it.
#[rstest]
#[tokio::test]
async fn a_member_that_loses_a_listed_record_does_not_count_as_having_received_it() {
    let pair = Pair::start().await;
    let pushing = copy::push_missing(&pair.own, &pair.members[1]);
    let pushed = tokio::time::timeout(LIMIT, pushing).await.expect("in time");
    assert!(
        pushed.is_err() || holds(&pair.forgetting.after),
        "the member counts, but lacks the turn"
    );
    let again = copy::push_missing(&pair.own, &pair.members[1]);
    again.await.expect("the member receives the turn");
    assert!(holds(&pair.forgetting.after));
}

/// Guards against the same when a member is evicted: the turn counts as held by enough others, and the vacancy
/// is removed though one of them has lost it.
#[rstest]
#[tokio::test]
async fn a_member_that_loses_a_listed_record_does_not_count_among_its_copies() {
    let pair = Pair::start().await;
    let members = pair.members.clone();
    let restoring = restore::restore(&pair.own, members.clone(), 2, 2);
    let restored = tokio::time::timeout(LIMIT, restoring)
        .await
        .expect("in time");
    assert!(
        restored.is_err() || holds(&pair.forgetting.after),
        "the turn has one copy, and counts as having two"
    );
    let again = restore::restore(&pair.own, members, 2, 2).await;
    assert_eq!(again.expect("the turn is copied"), 1);
    assert!(holds(&pair.forgetting.after));
}
