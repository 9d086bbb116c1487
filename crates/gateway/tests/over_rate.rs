//! Load of a customer that begins more programs than its rate can finish, on one entry in virtual time.
//! Guards against programs that begin and then fail in the middle, because many requests are refused
//! together and told to come back at the same time.

use std::time::Duration;

use coord::id::Burst;
use coord::id::Rate;
use coord::quota::Fleet;
use coord::quota::MAX_PATIENCE;
use coord::time::Time;
use gateway::config::CustomerLimits;
use gateway::quota::Exceeded;
use gateway::quota::Quotas;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const ALONE: Fleet = Fleet {
    entries: 1,
    silent: 0,
};
const RATE: f64 = 50.0;
const SECONDS: u64 = 40;

/// Steps of a program: a turn, then calls that are sent together.
const STEPS: usize = 4;
const CALLS: usize = 2;

/// Times that a caller comes back with a refused request before its program fails.
const RETRIES: u32 = 1;

#[derive(Debug, Clone, Copy)]
struct Request {
    program: usize,
    at: u64,
    first: bool,
    retries_left: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Program {
    /// Requests of the present step that aren't answered yet.
    open: usize,
    step: usize,
    begun: bool,
    failed: bool,
    ended: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Outcome {
    begun: usize,
    finished: usize,
    sent: usize,
}

struct World {
    quotas: Quotas,
    customer: CustomerLimits,
    programs: Vec<Program>,
    requests: Vec<Request>,
    sent: usize,
    random: StdRng,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            quotas: Quotas::default(),
            customer: CustomerLimits {
                name: "c".parse().expect("name"),
                keys: Vec::new(),
                priority: None,
                rate: Some(Rate::try_from(RATE).expect("rate")),
                burst: Burst(RATE as u32),
                homes: Vec::new(),
            },
            programs: Vec::new(),
            requests: Vec::new(),
            sent: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn begin(&mut self, now: u64) {
        self.programs.push(Program {
            open: 1,
            ..Program::default()
        });
        self.requests.push(Request {
            program: self.programs.len() - 1,
            at: now,
            first: true,
            retries_left: 3,
        });
    }

    fn offer(&mut self, request: Request, patience: Duration) {
        let now = Time(request.at);
        let admitted = self
            .quotas
            .admit(&self.customer, request.first, patience, ALONE, now);
        match admitted {
            Ok(delay) => {
                self.sent += 1;
                self.answer(request, request.at + delay.as_millis() as u64);
            }
            Err(Exceeded(_)) if request.retries_left == 0 => {
                self.programs[request.program].failed = true;
            }
            Err(Exceeded(wait)) => self.requests.push(Request {
                at: request.at + wait.as_millis().max(1) as u64,
                retries_left: request.retries_left - 1,
                ..request
            }),
        }
    }

    /// Answers a request; the last answer of a step begins the next one.
    fn answer(&mut self, request: Request, sent: u64) {
        let program = &mut self.programs[request.program];
        program.begun = true;
        program.open -= 1;
        if program.open > 0 {
            return;
        }
        program.step += 1;
        if program.step == 2 * STEPS {
            program.ended = true;
            return;
        }
        let calls = if program.step.is_multiple_of(2) {
            1
        } else {
            CALLS
        };
        program.open = calls;
        let at = sent + self.random.random_range(100..400);
        self.requests.extend((0..calls).map(|_| Request {
            at,
            first: false,
            retries_left: RETRIES,
            ..request
        }));
    }

    fn play(mut self, programs_per_second: f64, patience: Duration) -> Outcome {
        for now in 0..SECONDS * 1_000 {
            if self.random.random_bool(programs_per_second / 1_000.0) {
                self.begin(now);
            }
            let due: Vec<Request> = self.requests.extract_if(.., |r| r.at <= now).collect();
            for request in due {
                if !self.programs[request.program].failed {
                    self.offer(Request { at: now, ..request }, patience);
                }
            }
        }
        Outcome {
            begun: self.programs.iter().filter(|program| program.begun).count(),
            finished: self.programs.iter().filter(|program| program.ended).count(),
            sent: self.sent,
        }
    }
}

#[rstest]
fn a_customer_over_its_rate_finishes_nearly_all_programs_that_it_begins(
    #[values(1.2, 2.0, 6.0)] load: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let requests_of_a_program = (STEPS * (1 + CALLS)) as f64;
    let programs_per_second = load * RATE / requests_of_a_program;
    let patience = Duration::from_millis(MAX_PATIENCE.0);
    let waiting = World::new(seed).play(programs_per_second, patience);
    let refused = World::new(seed).play(programs_per_second, Duration::ZERO);
    eprintln!("load {load}: {waiting:?}, without waiting {refused:?}");
    // Programs under way at the end have not failed.
    let under_way = RATE * 6.0 / requests_of_a_program;
    let unfinished = (waiting.begun - waiting.finished) as f64 - under_way;
    assert!(unfinished <= 0.05 * waiting.begun as f64, "{waiting:?}");
    assert!(
        waiting.finished > refused.finished,
        "{waiting:?} {refused:?}"
    );
    // The rate is used.
    let allowed = RATE * SECONDS as f64;
    assert!(waiting.sent as f64 >= 0.9 * allowed, "{waiting:?}");
}
