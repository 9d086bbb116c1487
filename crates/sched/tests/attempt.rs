//! Seeded interleavings of a request's attempts: targets that turn it away, crash before or after
//! running it, lose its answer or answer late, with a second attempt beside a slow one.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use sched::attempt::Action;
use sched::attempt::Attempts;
use sched::attempt::Failure;
use sched::attempt::Outcome;
use sched::attempt::REJECTION_LIMIT;

const SEEDS: u64 = 4_000;
const EVENTS: usize = 60;

/// An attempt on its way, as the target sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flight {
    /// The target has not begun; it may still run the request.
    Sent,
    /// The target ran it; its answer is on the way.
    Ran,
    /// The target will never run it.
    TurnedAway,
}

#[derive(Debug)]
struct World {
    random: StdRng,
    attempts: Attempts,
    flights: Vec<Flight>,
    /// Targets that have run the request, or may do so unseen.
    runs: u32,
    sent: u32,
}

/// How a request ended for its caller.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Answered,
    GivenUp(Outcome),
}

impl World {
    fn new(seed: u64, idempotent: bool, limit: u32) -> World {
        let mut world = World {
            random: StdRng::seed_from_u64(seed),
            attempts: Attempts::new(idempotent, limit),
            flights: Vec::new(),
            runs: 0,
            sent: 0,
        };
        world.send();
        world
    }

    fn send(&mut self) {
        self.attempts.record_start();
        self.flights.push(Flight::Sent);
        self.sent += 1;
    }

    fn step(&mut self) -> Option<End> {
        if self.attempts.may_hedge() && self.random.random_bool(0.2) {
            self.send();
        }
        let at = self.random.random_range(0..self.flights.len());
        match self.flights[at] {
            Flight::Sent => {
                let turned_away = self.random.random_bool(0.6);
                self.flights[at] = match turned_away {
                    true => Flight::TurnedAway,
                    false => Flight::Ran,
                };
                self.runs += u32::from(!turned_away);
                // The connection may break before the answer is written, so that neither is told.
                match self.random.random_bool(0.1) {
                    true => self.fail(at, Failure::MaybeRun),
                    false => None,
                }
            }
            Flight::TurnedAway => self.fail(at, Failure::NotRun),
            Flight::Ran if self.random.random_bool(0.3) => Some(End::Answered),
            Flight::Ran if self.random.random_bool(0.05) => self.fail(at, Failure::Timeout),
            Flight::Ran => self.fail(at, Failure::MaybeRun),
        }
    }

    fn fail(&mut self, at: usize, failure: Failure) -> Option<End> {
        self.flights.swap_remove(at);
        match self.attempts.record_failure(failure) {
            Action::Retry => {
                self.send();
                None
            }
            Action::Wait => None,
            Action::GiveUp(fate) => Some(End::GivenUp(fate)),
        }
    }

    /// Targets that ran the request or, being left alone with it, may yet.
    fn possible_runs(&self) -> u32 {
        let open = self
            .flights
            .iter()
            .filter(|flight| **flight == Flight::Sent);
        self.runs + open.count() as u32
    }
}

#[rstest]
#[case(false, 1)]
#[case(false, 3)]
#[case(true, 1)]
#[case(true, 2)]
#[case(true, 5)]
fn a_request_never_runs_too_often_and_not_run_is_always_true(
    #[case] idempotent: bool,
    #[case] limit: u32,
) {
    let allowed = if idempotent { limit } else { 1 };
    let (mut answered, mut not_run, mut unknown) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed, idempotent, limit);
        let end = (0..EVENTS).find_map(|_| {
            let end = world.step();
            assert!(world.possible_runs() <= allowed, "seed {seed}: {world:?}");
            let waits = end.is_none() && world.flights.is_empty();
            assert!(!waits, "seed {seed} waits for nothing: {world:?}");
            end
        });
        match end {
            Some(End::Answered) => answered += 1,
            Some(End::GivenUp(Outcome::NotRun)) => {
                assert_eq!(world.possible_runs(), 0, "seed {seed}: {world:?}");
                not_run += 1;
            }
            Some(End::GivenUp(Outcome::Unknown | Outcome::TimedOut)) => unknown += 1,
            None => panic!("seed {seed} has no end: {world:?}"),
        }
        assert!(world.sent <= allowed + REJECTION_LIMIT, "seed {seed}");
    }
    assert!(answered > 0 && not_run > 0 && unknown > 0);
}

#[rstest]
fn a_request_is_not_given_up_as_not_run_while_a_second_target_may_run_it() {
    let mut attempts = Attempts::new(true, 2);
    attempts.record_start();
    for _ in 0..REJECTION_LIMIT {
        assert_eq!(attempts.record_failure(Failure::NotRun), Action::Retry);
        attempts.record_start();
    }
    assert!(attempts.may_hedge());
    attempts.record_start();
    assert_eq!(attempts.record_failure(Failure::NotRun), Action::Wait);
    assert_eq!(attempts.outcome(), Outcome::Unknown);
    assert_eq!(
        attempts.record_failure(Failure::NotRun),
        Action::GiveUp(Outcome::NotRun)
    );
}
