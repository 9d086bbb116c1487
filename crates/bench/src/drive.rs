//! A trace's way through the decisions, event by event in virtual time (microseconds).
//!
//! This file holds the programs' part: arrival, rate, turns, pauses, sub-agents and end; `place`
//! holds what happens to a call between its entry and its target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use coord::time::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sched::retry::Backoff;

use crate::engine::PREFILL_RATE;
use crate::engine::Prefix;
use crate::event::Call;
use crate::event::Event;
use crate::event::Run;
use crate::fleet::Fleet;
use crate::fleet::Kind;
use crate::fleet::millis;
use crate::load;
use crate::load::Scaled;
use crate::rate::Admission;
use crate::rate::Gate;
use crate::score::Sample;
use crate::score::Tally;
use crate::setup::Setup;
use crate::trace::CALL_LIMIT;
use crate::trace::IDLE_LIMIT_MS;
use crate::trace::Outcome;
use crate::trace::Program;
use crate::trace::Step;
use crate::trace::Trace;

/// Time between load reports; a report is known one interval later.
const REPORT: u64 = 100_000;

/// Reports between two looks at the caches.
const REPORTS_PER_LOOK: u64 = 10;

/// Client's delays after a refusal.
const RETRY_BASE: Millis = Millis(1_000);
const RETRY_LIMIT: Millis = Millis(30_000);

/// Pending work of a run whose tool hangs.
const HUNG: usize = usize::MAX / 4;

/// Output assumed of a customer's first call.
const FIRST_OUTPUT: f64 = 200.0;

/// The state of a replay.
pub struct Drive<'a> {
    pub(crate) trace: &'a Trace,
    pub(crate) setup: &'a Setup,
    pub(crate) now: u64,
    pub(crate) random: StdRng,
    pub(crate) engines: Fleet,
    pub(crate) services: Fleet,
    pub(crate) outputs: Vec<f64>,
    pub(crate) runs: Vec<Run<'a>>,
    pub(crate) calls: Vec<Call>,
    pub(crate) tally: Tally,
    pub(crate) deciding: Duration,
    pub(crate) decisions: u64,
    scaled: Scaled,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    gates: Vec<Gate>,
    left: usize,
}

/// Replays a trace.
pub fn run(trace: &Trace, setup: &Setup) -> Tally {
    let mut drive = Drive::new(trace, setup);
    while let Some(Reverse((at, _, event))) = drive.events.pop() {
        drive.now = at;
        drive.on(event);
        if drive.left == 0 {
            break;
        }
    }
    drive.finish()
}

impl<'a> Drive<'a> {
    fn new(trace: &'a Trace, setup: &'a Setup) -> Drive<'a> {
        let head = &trace.head;
        let scaled = Scaled::to(trace, setup.load);
        let mut random = StdRng::seed_from_u64(setup.seed);
        let arrivals = arrivals(trace, setup, &mut random);
        let fleet = |kind, count| Fleet::new(kind, count, head.entries, &setup.policy);
        let gate = |account| Gate::new(setup.mode, account, scaled.scale.max(1.0), head.entries);
        let mut drive = Drive {
            trace,
            setup,
            now: 0,
            random,
            engines: fleet(Kind::Engine, head.engines),
            services: fleet(Kind::Service, head.services),
            outputs: vec![FIRST_OUTPUT; head.customers.len()],
            runs: Vec::new(),
            calls: Vec::new(),
            tally: Tally::default(),
            deciding: Duration::ZERO,
            decisions: 0,
            scaled,
            sequence: 0,
            events: BinaryHeap::new(),
            gates: head.customers.iter().map(gate).collect(),
            left: arrivals.len(),
        };
        for (program, at) in arrivals {
            drive.after(scaled.at(at), Event::Start(program));
        }
        drive.after(REPORT, Event::Report(1));
        drive
    }

    pub(crate) fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    /// One way from the client through entry and owner, or from there to the target.
    pub(crate) fn hops(&self) -> u64 {
        2 * self.trace.head.hop
    }

    pub(crate) fn entry(&self, run: usize) -> usize {
        self.runs[run].root % self.trace.head.entries as usize
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Start(program) => self.start(program),
            Event::Issue(run) => self.issue(run),
            Event::Arrive(call) => self.arrive(call),
            Event::First(call) => self.first(call),
            Event::Done(call) => self.done(call),
            Event::Resume(run) => self.resume(run),
            Event::Wake(engine) => self.wake(engine),
            Event::Evicted { run, engine } => self.evicted(run, engine),
            Event::Report(number) => self.report(number),
        }
    }

    fn start(&mut self, program: usize) {
        let trace = self.trace;
        let recorded = &trace.programs[program];
        let run = self.spawn(program, &recorded.steps, None);
        self.issue(run);
    }

    fn spawn(&mut self, program: usize, steps: &'a [Step], parent: Option<usize>) -> usize {
        let customer = self.trace.programs[program].customer;
        let id = self.runs.len();
        self.runs.push(Run {
            program,
            customer,
            steps,
            next: 0,
            root: parent.map_or(id, |parent| self.runs[parent].root),
            parent,
            pending: 0,
            history: u64::from(self.trace.head.customers[customer].prompt),
            computed: 0,
            attained: 0,
            calls: 0,
            held: Vec::new(),
            asked: None,
            delay: Backoff::new(RETRY_BASE, RETRY_LIMIT),
            started: self.now,
            ended: false,
        });
        id
    }

    /// Asks the customer's rate for the next call.
    fn issue(&mut self, id: usize) {
        let root = self.runs[id].root;
        if self.runs[root].ended {
            return;
        }
        if self.runs[root].calls >= CALL_LIMIT {
            return self.end(root, Outcome::Looped);
        }
        let asked = *self.runs[id].asked.get_or_insert(self.now);
        let entry = self
            .random
            .random_range(0..self.trace.head.entries as usize);
        let held = Millis((self.now - asked) / 1_000);
        let now = millis(self.now);
        match self.gates[self.runs[id].customer].admit(entry, held, now) {
            Admission::Granted => {
                let waited = self.now - asked;
                self.runs[id].asked = None;
                self.runs[id].delay = Backoff::new(RETRY_BASE, RETRY_LIMIT);
                self.runs[root].calls += 1;
                self.tally.admitted(waited);
                self.place_turn(id, asked);
            }
            Admission::Held(wait) => self.after(wait.0.max(1) * 1_000, Event::Issue(id)),
            Admission::Refused(wait) => {
                let random: f64 = self.random.random();
                let jitter = self.runs[id].delay.next_delay(random);
                self.runs[id].asked = None;
                self.after((wait.0 + jitter.0 + 1) * 1_000, Event::Issue(id));
            }
        }
    }

    /// Goes on after a call's last token: tool, sub-agents, next turn or end.
    pub(crate) fn turned(&mut self, id: usize) {
        let step = &self.runs[id].steps[self.runs[id].next];
        self.runs[id].next += 1;
        if self.runs[self.runs[id].root].ended {
            return;
        }
        if self.runs[id].next == self.runs[id].steps.len() && step.agents.is_empty() {
            return self.end(id, Outcome::Finished);
        }
        if step.pause >= IDLE_LIMIT_MS {
            let root = self.runs[id].root;
            self.runs[root].pending = 2 * HUNG;
            return self.after(u64::from(IDLE_LIMIT_MS) * 1_000, Event::Resume(root));
        }
        self.runs[id].pending = 1 + step.agents.len();
        match step.service {
            true => self.place_service(id, u64::from(step.pause) * 1_000),
            false => self.after(self.pause(step), Event::Resume(id)),
        }
        let program = self.runs[id].program;
        for agent in &step.agents {
            let child = self.spawn(program, agent, Some(id));
            self.issue(child);
        }
    }

    fn pause(&self, step: &Step) -> u64 {
        u64::from(step.pause) * 1_000
    }

    pub(crate) fn resume(&mut self, id: usize) {
        let run = &mut self.runs[id];
        if run.ended {
            return;
        }
        if run.pending >= HUNG {
            return self.end(id, Outcome::Idle);
        }
        run.pending -= 1;
        match run.pending {
            0 if run.next == run.steps.len() => self.end(id, Outcome::Finished),
            0 => self.issue(id),
            _ => (),
        }
    }

    fn end(&mut self, id: usize, outcome: Outcome) {
        self.runs[id].ended = true;
        self.release_all(id);
        if let Some(parent) = self.runs[id].parent {
            return self.resume(parent);
        }
        self.left -= 1;
        self.tally.ends[outcome as usize] += 1;
        if outcome != Outcome::Finished {
            return;
        }
        let run = &self.runs[id];
        let program = &self.trace.programs[run.program];
        let prompt = self.trace.head.customers[run.customer].prompt;
        self.tally.samples.push(Sample {
            customer: run.customer,
            within_flood: self.within_flood(run.started),
            latency: self.now - run.started,
            alone: load::alone(&program.steps, prompt, self.hops()),
        });
    }

    /// Releases the caches of a run and, if it was cut short, of its sub-agents.
    fn release_all(&mut self, id: usize) {
        self.release(id);
        if self.runs[id].next < self.runs[id].steps.len() {
            let of = |run: &usize| self.runs[*run].root == id;
            let agents: Vec<usize> = (id + 1..self.runs.len()).filter(of).collect();
            agents.into_iter().for_each(|agent| self.release(agent));
        }
    }

    /// Time until the last arrival.
    pub(crate) fn arriving(&self) -> u64 {
        self.scaled.at(self.trace.head.length)
    }

    fn within_flood(&self, at: u64) -> bool {
        let flood = &self.trace.head.flood;
        (self.scaled.at(flood.from)..self.scaled.at(flood.to)).contains(&at)
    }

    fn report(&mut self, number: u64) {
        let now = Some(self.now).filter(|_| self.setup.reports_prefill);
        self.engines.report(now);
        self.services.report(now);
        let now = millis(self.now);
        self.gates.iter_mut().for_each(|gate| gate.exchange(now));
        if number.is_multiple_of(REPORTS_PER_LOOK) {
            self.look();
        }
        self.after(REPORT, Event::Report(number + 1));
    }

    /// Adds up what caches hold for programs that have ended.
    fn look(&mut self) {
        let seconds = (REPORT * REPORTS_PER_LOOK) as f64 / 1e6;
        let ended = |prefix: &Prefix| match prefix {
            Prefix::Program(run) => self.runs[*run].ended,
            Prefix::Prompt(_) => false,
        };
        let held = |cache: &crate::engine::Cache| cache.tokens_where(ended);
        let tokens: u64 = self
            .engines
            .targets
            .iter()
            .map(|one| held(&one.cache))
            .sum();
        self.tally.ended_token_seconds += tokens as f64 * seconds;
    }

    fn finish(mut self) -> Tally {
        let capacity = PREFILL_RATE * u64::from(self.trace.head.engines);
        let seconds = self.arriving() as f64 / 1e6;
        self.tally.busy = self.tally.busy_tokens as f64 / capacity as f64 / seconds;
        self.tally.decision_nanos = self.deciding.as_nanos() as u64;
        self.tally.decisions = self.decisions;
        for gate in &self.gates {
            self.tally.refused += gate.errors.refused;
            self.tally.refused_within += gate.errors.within;
            let share = gate.errors.share_within();
            self.tally.refused_share = self.tally.refused_share.max(share);
            self.tally.overshoot += gate.errors.overshoot;
        }
        self.tally
    }
}

/// Programs and their arrivals; a seed other than 0 permutes the arrivals of each customer.
pub(crate) fn arrivals(trace: &Trace, setup: &Setup, random: &mut StdRng) -> Vec<(usize, u64)> {
    let kept = |flood: bool| setup.flood || !flood;
    let mut found = Vec::new();
    for (customer, _) in trace.head.customers.iter().enumerate() {
        for flood in [false, true] {
            let of = |program: &Program| program.customer == customer && program.flood == flood;
            let all = trace
                .programs
                .iter()
                .enumerate()
                .filter(|(_, program)| of(program));
            let (ids, mut times): (Vec<usize>, Vec<u64>) =
                all.map(|(id, program)| (id, program.at)).unzip();
            if setup.seed != 0 {
                shuffle(&mut times, random);
            }
            let pairs = ids.into_iter().zip(times);
            found.extend(pairs.filter(|_| kept(flood)));
        }
    }
    found
}

fn shuffle(times: &mut [u64], random: &mut StdRng) {
    for at in (1..times.len()).rev() {
        times.swap(at, random.random_range(0..=at));
    }
}
