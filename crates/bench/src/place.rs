//! A call's way from its entry to its target and back.

use std::time::Instant;

use coord::id::Tokens;
use rand::RngExt;
use sched::cost;
use sched::queue::Job;
use sched::route;
use sched::route::Demand;

use crate::drive::Drive;
use crate::engine::Course;
use crate::engine::Prefix;
use crate::event::Call;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::Kind;
use crate::fleet::millis;

/// Time until an entry hears that a cache entry was dropped.
const EVENT_LAG: u64 = 500_000;

/// One in so many cache events is lost.
const EVENT_LOSS: u32 = 50;

/// Weight of a new call in a customer's expected output.
const NEW_WEIGHT: f64 = 0.05;

/// Cost of a plain call, in tokens for each second.
const SERVICE_COST: u64 = 1_000;

impl Drive<'_> {
    fn fleet(&mut self, kind: Kind) -> &mut Fleet {
        match kind {
            Kind::Engine => &mut self.engines,
            Kind::Service => &mut self.services,
        }
    }

    /// Sends a run's next turn to an engine.
    pub(crate) fn place_turn(&mut self, id: usize, issued: u64) {
        let run = &self.runs[id];
        let step = &run.steps[run.next];
        let input = run.history + u64::from(step.input);
        let expected = self.outputs[run.customer] as u64;
        let output = u64::from(step.output);
        let prompt = u64::from(self.trace.head.customers[run.customer].prompt);
        let affinity = run.root as u64;
        let held = run.held.clone();
        let customer = run.customer;
        let entry = self.entry(id);
        let transfer_rate = self.setup.transfer_rate;
        let begun = Instant::now();
        let prompts: Vec<u64> = match held.is_empty() {
            true => self.prompts(customer, prompt),
            false => Vec::new(),
        };
        let view = &mut self.engines.views[entry];
        for (engine, candidate) in view.candidates.iter_mut().enumerate() {
            let known = held
                .iter()
                .find(|(at, _)| *at == engine)
                .map(|(_, tokens)| *tokens);
            let shared = prompts.get(engine).copied().unwrap_or(0);
            candidate.cached = Tokens(known.unwrap_or(shared));
        }
        view.turn += 1;
        let need = Demand {
            sequence: view.turn,
            affinity,
            input: Tokens(input),
            output: Tokens(expected),
            transfer_rate,
        };
        let placement = route::place(&self.setup.policy, &view.candidates, &need);
        let placement = placement.expect("no engine of the replay leaves");
        let target = placement.index;
        let source = placement
            .transfer_from
            .map(|from| view.candidates[from].cached);
        let cached = source.unwrap_or(view.candidates[target].cached);
        let cost =
            cost::prefill_equivalent(Tokens(input.saturating_sub(cached.0)), Tokens(expected));
        view.sent(target, cost);
        self.deciding += begun.elapsed();
        self.decisions += 1;
        let transferred = self.transfer(id, placement.transfer_from);
        let delay = match transferred {
            0 => 0,
            tokens => tokens * 1_000_000 / transfer_rate,
        };
        let call = self.calls.len();
        self.calls.push(Call {
            run: id,
            kind: Kind::Engine,
            target,
            input,
            output,
            cost: cost.0,
            issued,
            transferred,
            actual: 0,
            course: Course { first: 0, last: 0 },
        });
        self.after(self.hops() + delay, Event::Arrive(call));
    }

    /// Sends a run's plain call to a service.
    pub(crate) fn place_service(&mut self, id: usize, length: u64) {
        let entry = self.entry(id);
        let affinity = self.runs[id].root as u64;
        let view = &mut self.services.views[entry];
        view.turn += 1;
        let need = Demand {
            sequence: view.turn,
            affinity,
            ..Demand::default()
        };
        let target = route::choose(&self.setup.policy, &view.candidates, &need);
        let target = target.expect("no service of the replay leaves");
        let cost = length * SERVICE_COST / 1_000_000;
        view.sent(target, Tokens(cost));
        let call = self.calls.len();
        self.calls.push(Call {
            run: id,
            kind: Kind::Service,
            target,
            input: 0,
            output: length,
            cost,
            issued: self.now,
            transferred: 0,
            actual: 0,
            course: Course { first: 0, last: 0 },
        });
        self.after(self.hops(), Event::Arrive(call));
    }

    /// Tokens of a customer's instructions that each engine has cached.
    fn prompts(&self, customer: usize, prompt: u64) -> Vec<u64> {
        let held = |cache: &crate::engine::Cache| cache.get(Prefix::Prompt(customer)).min(prompt);
        self.engines
            .targets
            .iter()
            .map(|engine| held(&engine.cache))
            .collect()
    }

    /// Tokens that an engine's cache really holds to be sent.
    fn transfer(&self, id: usize, from: Option<usize>) -> u64 {
        from.map_or(0, |from| {
            self.engines.targets[from].cache.get(Prefix::Program(id))
        })
    }

    /// Queues a call at its target.
    pub(crate) fn arrive(&mut self, id: usize) {
        let call = self.calls[id];
        let run = &self.runs[call.run];
        let account = &self.trace.head.customers[run.customer];
        let job = Job {
            id: id as u64,
            customer: account.name.clone(),
            weight: account.weight,
            program: None,
            attained: Tokens(self.runs[run.root].attained),
            cost: Tokens(call.cost),
            warm: run.held.iter().any(|(at, _)| *at == call.target),
            arrived: millis(self.now),
        };
        let now = millis(self.now);
        let target = &mut self.fleet(call.kind).targets[call.target];
        if call.transferred > 0 {
            target
                .cache
                .put(Prefix::Program(call.run), call.transferred);
        }
        let begun = Instant::now();
        target.queue.push(job, now);
        self.deciding += begun.elapsed();
        self.pump(call.kind, call.target);
    }

    pub(crate) fn wake(&mut self, engine: usize) {
        self.engines.targets[engine].waking = false;
        self.pump(Kind::Engine, engine);
    }

    /// Hands calls to a target while it takes them, and starts those that have a slot.
    fn pump(&mut self, kind: Kind, index: usize) {
        let (now, spare, window) = (self.now, self.setup.spare, self.setup.window);
        loop {
            let target = &mut self.fleet(kind).targets[index];
            let given = target.running + target.inside.len() as u32;
            if given >= target.slots() + spare || target.queue.is_empty() {
                break;
            }
            let backlog = target.compute.prefill_backlog(now);
            if let Some(window) = window.filter(|window| backlog > *window) {
                let sleeps = !std::mem::replace(&mut target.waking, true);
                if sleeps {
                    self.after(backlog - window, Event::Wake(index));
                }
                break;
            }
            let begun = Instant::now();
            let job = target.queue.pop(millis(now));
            self.deciding += begun.elapsed();
            let Some(job) = job else { break };
            let target = &mut self.fleet(kind).targets[index];
            target.inside.push_back(job.id as usize);
            target.inside_cost += job.cost.0;
            self.fill(kind, index);
        }
        self.fill(kind, index);
    }

    fn fill(&mut self, kind: Kind, index: usize) {
        loop {
            let target = &mut self.fleet(kind).targets[index];
            if target.running >= target.slots() {
                return;
            }
            let Some(call) = target.inside.pop_front() else {
                return;
            };
            target.running += 1;
            self.begin(call);
        }
    }

    fn begin(&mut self, id: usize) {
        let call = self.calls[id];
        let now = self.now;
        let target = &mut self.fleet(call.kind).targets[call.target];
        target.inside_cost -= call.cost;
        target.running_cost += call.cost;
        if call.kind == Kind::Service {
            return self.after(call.output, Event::Done(id));
        }
        let customer = self.runs[call.run].customer;
        let own = Prefix::Program(call.run);
        let prompt = u64::from(self.trace.head.customers[customer].prompt);
        let target = &mut self.engines.targets[call.target];
        let cached = match target.cache.get(own) {
            0 => target.cache.get(Prefix::Prompt(customer)).min(prompt),
            tokens => tokens.min(call.input),
        };
        target.cache.pin(own);
        let uncached = call.input - cached;
        let course = target.compute.start(now, uncached, call.output);
        self.calls[id].course = course;
        let fresh = call.input - self.runs[call.run].computed.min(call.input);
        self.tally.prefill_tokens += uncached;
        if now < self.arriving() {
            self.tally.busy_tokens += uncached;
        }
        self.tally.recomputed_tokens += uncached.saturating_sub(fresh);
        let actual = cost::prefill_equivalent(Tokens(uncached), Tokens(call.output));
        self.calls[id].actual = actual.0;
        self.after(course.first - now, Event::First(id));
        self.after(course.last - now, Event::Done(id));
    }

    pub(crate) fn first(&mut self, id: usize) {
        let call = self.calls[id];
        let customer = &self.trace.head.customers[self.runs[call.run].customer];
        if customer.name != self.trace.head.flood.customer {
            self.tally
                .first_tokens
                .push(self.now + self.hops() - call.issued);
        }
    }

    pub(crate) fn done(&mut self, id: usize) {
        let call = self.calls[id];
        let customer = self.runs[call.run].customer;
        let name = &self.trace.head.customers[customer].name;
        let fleet = match call.kind {
            Kind::Engine => &mut self.engines,
            Kind::Service => &mut self.services,
        };
        let target = &mut fleet.targets[call.target];
        target.running -= 1;
        target.running_cost -= call.cost;
        match call.kind {
            Kind::Engine => {
                target
                    .queue
                    .settle(name, Tokens(call.cost), Tokens(call.actual));
                self.store(call);
                self.pump(call.kind, call.target);
                self.turned(call.run);
            }
            Kind::Service => {
                self.pump(call.kind, call.target);
                self.resume(call.run);
            }
        }
    }

    /// Books a model call's result.
    fn store(&mut self, call: Call) {
        let (run, actual) = (call.run, call.actual);
        let customer = self.runs[run].customer;
        let root = self.runs[run].root;
        let expected = &mut self.outputs[customer];
        *expected += NEW_WEIGHT * (call.output as f64 - *expected);
        let length = call.input + call.output;
        let prompt = u64::from(self.trace.head.customers[customer].prompt);
        self.runs[root].attained += actual;
        let state = &mut self.runs[run];
        state.history = length;
        state.computed = length;
        state.held.retain(|(at, _)| *at != call.target);
        state.held.push((call.target, length));
        let cache = &mut self.engines.targets[call.target].cache;
        cache.put(Prefix::Program(run), length);
        cache.put(Prefix::Prompt(customer), prompt);
        for prefix in cache.take_evicted() {
            self.tell(prefix, call.target);
        }
        if self.runs[root].ended {
            self.release(run);
        }
    }

    /// Sends a cache event, unless it is lost.
    fn tell(&mut self, prefix: Prefix, engine: usize) {
        let lost = self.random.random_ratio(1, EVENT_LOSS);
        match prefix {
            Prefix::Program(run) if !lost => self.after(EVENT_LAG, Event::Evicted { run, engine }),
            _ => (),
        }
    }

    pub(crate) fn evicted(&mut self, run: usize, engine: usize) {
        let cache = &self.engines.targets[engine].cache;
        if cache.get(Prefix::Program(run)) == 0 {
            self.runs[run].held.retain(|(at, _)| *at != engine);
        }
    }

    /// Releases an ended run's caches.
    pub(crate) fn release(&mut self, run: usize) {
        let held = std::mem::take(&mut self.runs[run].held);
        if !self.setup.release {
            return;
        }
        for (engine, _) in held {
            self.engines.targets[engine]
                .cache
                .release(Prefix::Program(run));
        }
    }
}
