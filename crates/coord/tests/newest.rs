//! Seeded interleavings of configuration changes: listings and changes that come late, twice, out
//! of order or never, answers of other entries, cuts, restarts.

use coord::newest::Newest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SEEDS: u64 = 3_000;
const EVENTS: usize = 300;

type Version = u64;

/// What the operators wrote as a version; never the same for two.
fn content(version: Version) -> u64 {
    version * 1_000 + 7
}

#[derive(Debug, Clone, Default)]
struct Entry {
    newest: Newest<Version, u64>,
    /// Doesn't reach the object store.
    cut: bool,
    /// Highest version used since it started.
    used: Version,
}

/// A version on its way to an entry.
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

    fn some_entry(&mut self) -> usize {
        self.random.random_range(0..self.entries.len())
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..2 => self.store += 1,
            2..7 => self.tell_from_store(),
            7..10 => self.tell_from_entry(),
            10..18 => self.deliver(),
            18 => {
                let at = self.some_entry();
                self.entries[at].cut = self.random.random_bool(0.5);
            }
            _ => {
                // Messages to the process that died are gone, or reach the one after it.
                let at = self.some_entry();
                self.entries[at] = Entry::default();
            }
        }
        self.use_all();
    }

    fn tell_from_store(&mut self) {
        let to = self.some_entry();
        if !self.entries[to].cut {
            self.tell(to, self.store);
        }
    }

    /// An entry asks another, which answers only with what is newer.
    fn tell_from_entry(&mut self) {
        let (to, from) = (self.some_entry(), self.some_entry());
        let has = self.entries[to].newest.version().unwrap_or(0);
        let other = &self.entries[from].newest;
        if let (Some(version), Some(_)) = (other.version(), other.newer_than(has)) {
            assert!(version > has);
            self.tell(to, version);
        }
    }

    fn tell(&mut self, to: usize, version: Version) {
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
        let which = self.random.random_range(0..self.messages.len());
        let message = match self.random.random_bool(0.2) {
            true => self.messages[which],
            false => self.messages.swap_remove(which),
        };
        if self.random.random_bool(0.8) {
            self.offer(message);
        }
    }

    fn offer(&mut self, message: Message) {
        let entry = &mut self.entries[message.to];
        entry
            .newest
            .replace_if_newer(message.version, message.content);
    }

    /// Each entry handles a request under what it holds.
    fn use_all(&mut self) {
        for entry in &mut self.entries {
            let Some(version) = entry.newest.version() else {
                assert_eq!(entry.used, 0);
                continue;
            };
            assert!(version >= entry.used, "went back: {entry:?}");
            assert_eq!(entry.newest.value(), Some(&content(version)));
            entry.used = version;
        }
    }
}

#[rstest]
#[case(1)]
#[case(4)]
#[case(8)]
fn a_configuration_never_goes_back_and_all_learn_the_newest(#[case] entries: usize) {
    for seed in 0..SEEDS {
        let mut world = World::new(entries, seed);
        for _ in 0..EVENTS {
            world.step();
        }
        // Every entry hears the store once more, and whatever is still on its way comes after.
        for to in 0..entries {
            let version = world.store;
            world.offer(Message {
                to,
                version,
                content: content(version),
            });
        }
        let late: Vec<Message> = world.messages.drain(..).collect();
        late.into_iter().for_each(|message| world.offer(message));
        world.use_all();
        let behind = world.entries.iter().find(|entry| entry.used != world.store);
        assert!(behind.is_none(), "seed {seed}: {behind:?}");
    }
}
