//! Choice of targets while two software versions of a service serve side by side.
//!
//! The load that the tests play: engines are replaced one after the other, a new one starts before
//! an old one leaves, and streams keep beginning at a steady rate.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use gateway::adapter::Stage;
use gateway::adapter::Target;
use gateway::target::balance;
use gateway::target::balance::Criteria;
use gateway::target::balance::Prompt;
use gateway::target::directory;
use gateway::target::directory::Candidate;
use gateway::target::directory::Load;
use gateway::target::version::Rule;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const ENGINES: usize = 12;
const STREAMS_PER_SECOND: u64 = 60;
const STREAM_MS: u64 = 1_500;

/// Time between two replacements.
const REPLACEMENT_MS: u64 = 1_000;

fn candidate(number: usize, version: &str) -> Candidate {
    Candidate {
        target: Target {
            id: format!("engine-{number}").into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 80).into(),
            data_centre: "a".parse().expect("name"),
            stage: Stage::Ready,
            slots: 12,
            born: Some(number as u64),
            version: version.parse().ok(),
            cold: Some(std::time::Duration::ZERO),
        },
        load: Arc::new(Load::default()),
        sole_of_version: false,
    }
}

fn choose<'a>(
    candidates: &'a [Candidate],
    resumable: bool,
    rule: &Rule,
    random: [u32; 2],
) -> Option<&'a Candidate> {
    let criteria = Criteria {
        prompt: Some(Prompt::default()),
        is_cached: &|_, _| true,
        affinity: None,
        data_centre: "a",
        idempotent: true,
        resumable,
        versions: rule,
        accepts: &|_| true,
        entries: 1,
        now_ms: 0,
    };
    balance::choose(candidates, &[], criteria, random)
}

/// Streams that began while both versions had several engines, and those that one version began
/// while it had only one.
#[derive(Debug, Default)]
struct Begun {
    /// Of both versions.
    together: u64,
    /// Of the new version.
    new: u64,
    /// Sum over these streams of the new version's share of the engines.
    new_share: f64,
    /// While one version had a single engine, of any version.
    beside_sole: u64,
    /// Of these, at the single engine.
    at_sole: u64,
}

/// Plays a replacement of all engines.
fn replace_all(seed: u64, resumable: bool) -> Begun {
    let mut random = StdRng::seed_from_u64(seed);
    let mut engines: Vec<Candidate> = (0..ENGINES).map(|n| candidate(n, "v1")).collect();
    let mut running: VecDeque<(u64, Arc<Load>)> = VecDeque::new();
    let mut begun = Begun::default();
    let end_ms = (ENGINES as u64 + 2) * REPLACEMENT_MS;
    for now_ms in 0..end_ms {
        let replaced = (now_ms / REPLACEMENT_MS) as usize;
        if now_ms % REPLACEMENT_MS == 0 && (1..=ENGINES).contains(&replaced) {
            engines.remove(0);
            engines.push(candidate(ENGINES + replaced, "v2"));
            directory::mark_sole_versions(&mut engines);
        }
        while running
            .front()
            .is_some_and(|(ends_ms, _)| *ends_ms <= now_ms)
        {
            if let Some((_, load)) = running.pop_front() {
                load.running.fetch_sub(1, Ordering::Relaxed);
            }
        }
        if !random.random_bool(STREAMS_PER_SECOND as f64 / 1_000.0) {
            continue;
        }
        let draw = [random.random(), random.random()];
        let chosen = choose(&engines, resumable, &Rule::Any, draw).expect("an engine");
        chosen.load.running.fetch_add(1, Ordering::Relaxed);
        running.push_back((now_ms + STREAM_MS, Arc::clone(&chosen.load)));
        let new = engines
            .iter()
            .filter(|engine| engine.target.version_text() == "v2");
        let new = new.count();
        if engines.iter().any(|engine| engine.sole_of_version) {
            begun.beside_sole += 1;
            begun.at_sole += u64::from(chosen.sole_of_version);
        } else if new > 0 && new < ENGINES {
            begun.together += 1;
            begun.new += u64::from(chosen.target.version_text() == "v2");
            begun.new_share += new as f64 / ENGINES as f64;
        }
    }
    begun
}

/// Guards against a version whose engines stand idle or are overrun during a replacement: each gets
/// streams in proportion to its engines, within a tenth of all streams.
#[rstest]
fn both_software_versions_get_streams_in_proportion_to_their_engines(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let begun = replace_all(seed, true);
    let share = begun.new as f64 / begun.together as f64;
    let due = begun.new_share / begun.together as f64;
    assert!((share - due).abs() < 0.1, "{share} {due}");
}

/// Guards against streams that begin at the last engine of a version, where they can't be resumed
/// if it fails: at most half as many begin there as of streams that are never resumed.
#[rstest]
fn the_only_engine_of_a_software_version_begins_few_resumable_streams(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let resumable = replace_all(seed, true);
    let other = replace_all(seed, false);
    assert!(
        resumable.at_sole * 2 <= other.at_sole,
        "{resumable:?} {other:?}"
    );
}

#[rstest]
fn a_busy_service_uses_the_only_engine_of_a_software_version() {
    let mut engines = vec![candidate(0, "v1"), candidate(1, "v1"), candidate(2, "v2")];
    directory::mark_sole_versions(&mut engines);
    for engine in &engines[..2] {
        engine.load.running.store(8, Ordering::Relaxed);
    }
    let chosen = choose(&engines, true, &Rule::Any, [7, 9]).expect("an engine");
    assert_eq!(chosen.target.version_text(), "v2");
}

#[rstest]
fn engines_of_different_versions_that_are_all_alone_are_chosen_alike() {
    let mut engines = vec![candidate(0, "v1"), candidate(1, "v2")];
    directory::mark_sole_versions(&mut engines);
    assert!(engines.iter().all(|engine| !engine.sole_of_version));
}

#[rstest]
fn a_stream_with_events_of_a_software_version_goes_to_no_other() {
    let engines = vec![candidate(0, "v1"), candidate(1, "v2")];
    let only = |version: &str| Rule::Only(version.parse().expect("version"));
    engines[1].load.running.store(50, Ordering::Relaxed);
    let chosen = choose(&engines, true, &only("v2"), [1, 2]).expect("an engine");
    assert_eq!(chosen.target.version_text(), "v2");
    assert!(choose(&engines, true, &only("v3"), [1, 2]).is_none());
}

/// The origin of a stream without events is stored already; another version costs a further call.
#[rstest]
fn a_stream_without_events_prefers_its_stored_version_while_a_healthy_engine_of_it_is_left() {
    let engines = vec![candidate(0, "v1"), candidate(1, "v2")];
    let rule = Rule::Prefer("v2".parse().expect("version"));
    engines[1].load.running.store(50, Ordering::Relaxed);
    let chosen = choose(&engines, true, &rule, [1, 2]).expect("an engine");
    assert_eq!(chosen.target.version_text(), "v2");
    let ejected = &engines[1].load.ejected_until_ms;
    ejected.store(u64::MAX, Ordering::Relaxed);
    let chosen = choose(&engines, true, &rule, [1, 2]).expect("an engine");
    assert_eq!(chosen.target.version_text(), "v1");
}
