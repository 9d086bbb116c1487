//! The recorded traces' stated outcomes, in virtual time.

use std::path::PathBuf;

use bench::drive;
use bench::generate;
use bench::score;
use bench::score::Score;
use bench::setup;
use bench::setup::Setup;
use bench::trace::Outcome;
use bench::trace::Trace;
use rstest::rstest;

const TRACE_SIZE_LIMIT: u64 = 1_000_000;

fn path(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join("traces").join(format!("{name}.jsonl"))
}

fn trace(name: &str) -> Trace {
    Trace::read(&path(name)).unwrap()
}

fn replayed(trace: &Trace, setup: &Setup) -> Score {
    score::score(trace, setup, &drive::run(trace, setup))
}

fn named(trace: &Trace, name: &str, seed: u64) -> Score {
    let setup = setup::named(name, trace, 0.9, seed).unwrap();
    replayed(trace, &setup)
}

#[rstest]
#[case("wallpaper-office")]
#[case("trakcija")]
fn recorded_trace_is_what_its_seed_generates(#[case] name: &str) {
    let recorded = trace(name);
    let profile = generate::profile(name).unwrap();
    assert_eq!(generate::trace(&profile, recorded.head.seed), recorded);
    assert!(std::fs::metadata(path(name)).unwrap().len() < TRACE_SIZE_LIMIT);
}

#[rstest]
#[case("wallpaper-office")]
#[case("trakcija")]
fn every_program_reaches_its_stated_outcome(#[case] name: &str) {
    let trace = trace(name);
    for setup in ["ll-fifo", "full", "full-owner-killed"] {
        let setup = setup::named(setup, &trace, 0.9, 1).unwrap();
        let tally = drive::run(&trace, &setup);
        for outcome in [Outcome::Finished, Outcome::Looped, Outcome::Idle] {
            let stated = trace
                .programs
                .iter()
                .filter(|program| program.outcome == outcome);
            assert_eq!(
                tally.ended(outcome),
                stated.count(),
                "{outcome:?} under {}",
                setup.name
            );
        }
    }
}

#[test]
fn same_seed_gives_the_same_measures() {
    let trace = trace("wallpaper-office");
    let line = |seed| {
        let score = Score {
            decision_micros: 0.0,
            ..named(&trace, "full", seed)
        };
        serde_json::to_string(&score).unwrap()
    };
    assert_eq!(line(7), line(7));
    assert_ne!(line(7), line(8));
}

#[rstest]
#[case("wallpaper-office", "full")]
#[case("wallpaper-office", "full-owner-killed")]
#[case("trakcija", "full")]
#[case("trakcija", "full-owner-killed")]
fn owner_bucket_refuses_nothing_within_the_rate_and_never_overshoots(
    #[case] name: &str,
    #[case] setup: &str,
) {
    let score = named(&trace(name), setup, 1);
    assert_eq!((score.refused_within, score.overshoot), (0, 0));
    assert!(score.refused > 0);
}

#[rstest]
#[case("wallpaper-office")]
#[case("trakcija")]
fn ended_programs_hold_no_cache_and_waste_stays_below_a_third_of_least_loaded(#[case] name: &str) {
    let trace = trace(name);
    let full = named(&trace, "full", 1);
    let least_loaded = named(&trace, "ll-fifo", 1);
    assert_eq!(full.ended_mtoken_seconds, 0.0);
    assert!(full.recomputed_mtokens * 3.0 < least_loaded.recomputed_mtokens);
}

#[test]
fn flood_of_one_customer_leaves_the_others_within_a_quarter() {
    let trace = trace("wallpaper-office");
    let flooded = named(&trace, "full", 1);
    let calm = named(&trace, "full-calm", 1);
    assert!(flooded.worst_slowdown_in_flood <= 1.25 * calm.worst_slowdown_in_flood);
}
