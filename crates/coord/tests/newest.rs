//! Seeded interleavings of configuration changes: listings and changes that arrive late,
//! repeatedly, out of order or never, answers of other entries, lost connections to the object
//! store, and restarts.

use coord::newest::Newest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SEEDS: u64 = 3_000;
const EVENTS: usize = 300;

type Version = u64;

/// Content of a version, different for each one.
fn content(version: Version) -> u64 {
    version * 1_000 + 7
}

#[derive(Debug, Clone, Default)]
struct Entry {
    newest: Newest<Version, u64>,
    /// Whether its connection to the object store is cut.
    cut: bool,
    /// Newest version used since its start.
    used: Version,
}

/// A version sent to an entry but not yet delivered.
#[derive(Debug, Clone, Copy)]
struct Message {
    to: usize,
    version: Version,
    content: u64,
}

#[derive(Debug)]
struct World {
    random: StdRng,
    store: Version,
    entries: Vec<Entry>,
    messages: Vec<Message>,
}

impl World {
    fn new(entries: usize, seed: u64) -> World {
        World {
            random: StdRng::seed_from_u64(seed),
            store: 1,
            entries: vec![Entry::default(); entries],
            messages: Vec::new(),
        }
    }

    fn random_entry(&mut self) -> usize {
        self.random.random_range(0..self.entries.len())
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..2 => self.store += 1,
            2..7 => self.send_from_store(),
            7..10 => self.send_from_entry(),
            10..18 => self.deliver(),
            18 => {
                let at = self.random_entry();
                self.entries[at].cut = self.random.random_bool(0.5);
            }
            _ => {
                // Messages to the crashed process are lost or reach the process that replaces it.
                let at = self.random_entry();
                self.entries[at] = Entry::default();
            }
        }
        self.use_newest();
    }

    fn send_from_store(&mut self) {
        let to = self.random_entry();
        if !self.entries[to].cut {
            self.send(to, self.store);
        }
    }

    /// An entry requests the version of another, which answers only if its own is newer.
    fn send_from_entry(&mut self) {
        let (to, from) = (self.random_entry(), self.random_entry());
        let known_version = self.entries[to].newest.version().unwrap_or(0);
        let other = &self.entries[from].newest;
        if let (Some(version), Some(_)) = (other.version(), other.newer_than(known_version)) {
            assert!(version > known_version);
            self.send(to, version);
        }
    }

    fn send(&mut self, to: usize, version: Version) {
        self.messages.push(Message {
            to,
            version,
            content: content(version),
        });
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.messages.len());
        let message = match self.random.random_bool(0.2) {
            true => self.messages[index],
            false => self.messages.swap_remove(index),
        };
        if self.random.random_bool(0.8) {
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        let entry = &mut self.entries[message.to];
        entry
            .newest
            .replace_if_newer(message.version, message.content);
    }

    /// Lets each entry use its current version.
    fn use_newest(&mut self) {
        for entry in &mut self.entries {
            let Some(version) = entry.newest.version() else {
                assert_eq!(entry.used, 0);
                continue;
            };
            assert!(version >= entry.used, "version decreased: {entry:?}");
            assert_eq!(entry.newest.value(), Some(&content(version)));
            entry.used = version;
        }
    }
}

#[rstest]
#[case(1)]
#[case(4)]
#[case(8)]
fn a_configuration_version_never_decreases_and_all_entries_reach_the_newest(
    #[case] entries: usize,
) {
    for seed in 0..SEEDS {
        let mut world = World::new(entries, seed);
        for _ in 0..EVENTS {
            world.step();
        }
        // Each entry receives the newest version from the store, then all undelivered messages.
        for to in 0..entries {
            let version = world.store;
            world.receive(Message {
                to,
                version,
                content: content(version),
            });
        }
        let late: Vec<Message> = world.messages.drain(..).collect();
        late.into_iter().for_each(|message| world.receive(message));
        world.use_newest();
        let behind = world.entries.iter().find(|entry| entry.used != world.store);
        assert!(behind.is_none(), "seed {seed}: {behind:?}");
    }
}
