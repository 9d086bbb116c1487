//! How much a trace offers, and the scale that brings it to a given load.

use crate::engine::DECODE_RATE;
use crate::engine::PREFILL_RATE;
use crate::engine::SLOTS;
use crate::trace::CALL_LIMIT;
use crate::trace::Step;
use crate::trace::Trace;

/// A trace brought to a load: programs arrive `scale` times as fast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scaled {
    /// Factor of arrivals; the customers' rates grow by it but don't shrink.
    pub scale: f64,
}

impl Scaled {
    /// The scale at which a trace without its flood offers this share of what the engines can do
    /// with no cache at all.
    pub fn to(trace: &Trace, load: f64) -> Scaled {
        Scaled {
            scale: load / offered(trace),
        }
    }

    /// A recorded moment in milliseconds, in microseconds of the run.
    pub fn at(&self, recorded: u64) -> u64 {
        (recorded as f64 * 1_000.0 / self.scale) as u64
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Work {
    prefill: f64,
    decode: f64,
    calls: usize,
}

/// Share of the engines that a trace asks for at its recorded pace with no cache, without its
/// flood: the larger of prefill and slots.
pub fn offered(trace: &Trace) -> f64 {
    let mut sum = Work::default();
    for program in trace.programs.iter().filter(|program| !program.flood) {
        let mut work = Work::default();
        let prompt = trace.head.customers[program.customer].prompt;
        add(&mut work, &program.steps, prompt);
        sum.prefill += work.prefill;
        sum.decode += work.decode;
    }
    let seconds = trace.head.length as f64 / 1_000.0 * f64::from(trace.head.engines);
    let prefill = sum.prefill / seconds;
    let slots = (sum.prefill + sum.decode) / seconds / f64::from(SLOTS);
    prefill.max(slots)
}

fn add(work: &mut Work, steps: &[Step], prompt: u32) {
    let mut history = u64::from(prompt);
    for step in steps {
        if work.calls >= CALL_LIMIT {
            return;
        }
        work.calls += 1;
        history += u64::from(step.input);
        work.prefill += prefill_seconds(history);
        work.decode += decode_seconds(step);
        history += u64::from(step.output);
        step.agents
            .iter()
            .for_each(|agent| add(work, agent, prompt));
    }
}

/// Latency of these turns with the fleet to themselves and their cache at hand, in microseconds.
pub fn alone(steps: &[Step], prompt: u32, hops: u64) -> u64 {
    let turn = |(at, step): (usize, &Step)| {
        let head = if at == 0 { prompt } else { 0 };
        let call = prefill_seconds(u64::from(head + step.input)) + decode_seconds(step);
        let agents = step
            .agents
            .iter()
            .map(|agent| alone(agent, prompt, hops))
            .max();
        let pause = u64::from(step.pause) * 1_000;
        let call_hops = if step.service { 2 * hops } else { hops };
        (call * 1e6) as u64 + call_hops + pause.max(agents.unwrap_or(0))
    };
    steps.iter().enumerate().map(turn).sum()
}

fn prefill_seconds(tokens: u64) -> f64 {
    tokens as f64 / PREFILL_RATE as f64
}

fn decode_seconds(step: &Step) -> f64 {
    f64::from(step.output) / DECODE_RATE as f64
}
