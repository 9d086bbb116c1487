//! Seeded interleavings of a request's attempts: targets that reject it, crash before or after
//! running it, lose its answer or answer late, with a second attempt hedging a slow one.

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

/// Actual state of an attempt at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// The target hasn't started the request and may still run it.
    Sent,
    /// The target ran the request; its answer is in flight.
    Ran,
    /// The target rejected the request and will never run it.
    Rejected,
}

#[derive(Debug)]
struct Simulation {
    random: StdRng,
    attempts: Attempts,
    in_flight: Vec<AttemptState>,
    /// Number of targets that ran the request, whether or not this was reported.
    runs: u32,
    sent: u32,
}

/// Result of a request for its caller.
#[derive(Debug, PartialEq, Eq)]
enum RequestResult {
    Answered,
    GivenUp(Outcome),
}

impl Simulation {
    fn new(seed: u64, idempotent: bool, limit: u32) -> Simulation {
        let mut simulation = Simulation {
            random: StdRng::seed_from_u64(seed),
            attempts: Attempts::new(idempotent, limit),
            in_flight: Vec::new(),
            runs: 0,
            sent: 0,
        };
        simulation.send();
        simulation
    }

    fn send(&mut self) {
        self.attempts.record_start();
        self.in_flight.push(AttemptState::Sent);
        self.sent += 1;
    }

    fn step(&mut self) -> Option<RequestResult> {
        if self.attempts.may_hedge() && self.random.random_bool(0.2) {
            self.send();
        }
        let index = self.random.random_range(0..self.in_flight.len());
        match self.in_flight[index] {
            AttemptState::Sent => {
                let rejected = self.random.random_bool(0.6);
                self.in_flight[index] = match rejected {
                    true => AttemptState::Rejected,
                    false => AttemptState::Ran,
                };
                self.runs += u32::from(!rejected);
                // The connection may break before the answer is written, so that the sender can't
                // distinguish the two cases.
                match self.random.random_bool(0.1) {
                    true => self.fail(index, Failure::MaybeRun),
                    false => None,
                }
            }
            AttemptState::Rejected => self.fail(index, Failure::NotRun),
            AttemptState::Ran if self.random.random_bool(0.3) => Some(RequestResult::Answered),
            AttemptState::Ran if self.random.random_bool(0.05) => {
                self.fail(index, Failure::Timeout)
            }
            AttemptState::Ran => self.fail(index, Failure::MaybeRun),
        }
    }

    fn fail(&mut self, index: usize, failure: Failure) -> Option<RequestResult> {
        self.in_flight.swap_remove(index);
        match self.attempts.record_failure(failure) {
            Action::Retry => {
                self.send();
                None
            }
            Action::Wait => None,
            Action::GiveUp(outcome) => Some(RequestResult::GivenUp(outcome)),
        }
    }

    /// Number of targets that ran the request or may still run it.
    fn possible_runs(&self) -> u32 {
        let pending = self
            .in_flight
            .iter()
            .filter(|state| **state == AttemptState::Sent);
        self.runs + pending.count() as u32
    }
}

#[rstest]
#[case(false, 1)]
#[case(false, 3)]
#[case(true, 1)]
#[case(true, 2)]
#[case(true, 5)]
fn a_request_runs_within_its_limit_and_is_reported_as_not_run_only_if_no_target_ran_it(
    #[case] idempotent: bool,
    #[case] limit: u32,
) {
    let allowed = if idempotent { limit } else { 1 };
    let (mut answered, mut not_run, mut unknown) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, idempotent, limit);
        let end = (0..EVENTS).find_map(|_| {
            let end = simulation.step();
            assert!(
                simulation.possible_runs() <= allowed,
                "seed {seed}: {simulation:?}"
            );
            let stalled = end.is_none() && simulation.in_flight.is_empty();
            assert!(!stalled, "seed {seed} waits for nothing: {simulation:?}");
            end
        });
        match end {
            Some(RequestResult::Answered) => answered += 1,
            Some(RequestResult::GivenUp(Outcome::NotRun)) => {
                assert_eq!(simulation.possible_runs(), 0, "seed {seed}: {simulation:?}");
                not_run += 1;
            }
            Some(RequestResult::GivenUp(Outcome::Unknown | Outcome::TimedOut)) => unknown += 1,
            None => panic!("seed {seed} has no end: {simulation:?}"),
        }
        assert!(simulation.sent <= allowed + REJECTION_LIMIT, "seed {seed}");
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
