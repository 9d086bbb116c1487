//! Slopes against programs, their turns and their requests.

use coord::decision::Begin;
use coord::decision::Decision;
use coord::id;
use coord::id::Attempt;
use coord::id::Step;
use coord::id::Tokens;
use coord::record::Call;
use coord::record::Outcome;
use coord::record::Record;
use coord::replica::Limits;
use coord::replica::Replica;
use coord::tombstone::Tombstone;
use coord::tombstone::Tombstones;

use super::gauge;
use super::report::Measure;
use super::report::Report;
use super::sample;
use super::size;

const TURNS: [usize; 4] = [43, 85, 170, 340];

const PROGRAMS: [usize; 4] = [42, 84, 167, 334];

/// Turns of a program where the number of programs is what varies.
const FEW_TURNS: usize = 2;

/// Measures everything that grows with programs.
pub fn measure(report: &mut Report) {
    memory(report);
    turns(report);
    records(report);
    ledger(report);
    tombs(report);
    sweep(report);
}

/// Text of one turn of the longest program, in bytes.
fn turn_bytes() -> usize {
    (size::HISTORY / size::TURNS * size::TOKEN_BYTES) as usize
}

fn memory(report: &mut Report) {
    let control = Measure {
        name: "program.control.memory",
        unit: "bytes",
        per: "programs of 2 turns, without text",
    };
    report.measure(control, &PROGRAMS, |count| {
        gauge::bytes(|| replica(count, FEW_TURNS, 0)).1
    });
    let control = Measure {
        name: "program.turn.memory",
        unit: "bytes",
        per: "turns of one program, without text",
    };
    report.measure(control, &TURNS, |turns| {
        gauge::bytes(|| replica(1, turns, 0)).1
    });
    let history = Measure {
        name: "program.history.memory",
        unit: "bytes",
        per: "turns of one program, 882 tokens each",
    };
    report.measure(history, &TURNS, |turns| {
        gauge::bytes(|| replica(1, turns, turn_bytes())).1
    });
    let many = Measure {
        name: "program.part.memory",
        unit: "bytes",
        per: "programs of 34 turns, 882 tokens each",
    };
    report.measure(many, &PROGRAMS, |count| {
        gauge::bytes(|| replica(count, 34, turn_bytes())).1
    });
}

fn turns(report: &mut Report) {
    let encoded = Measure {
        name: "program.encoded",
        unit: "bytes",
        per: "turns of one program, 882 tokens each",
    };
    report.measure(encoded, &TURNS, |turns| {
        let encoded = replica(1, turns, turn_bytes()).encode();
        encoded.map_or(0.0, |bytes| bytes.len() as f64)
    });
    let cpu = Measure {
        name: "program.encode.cpu",
        unit: "us a checkpoint",
        per: "turns of one program, 882 tokens each",
    };
    report.measure(cpu, &TURNS, |turns| {
        let replica = replica(1, turns, turn_bytes());
        gauge::micros(|| replica.encode())
    });
    let cpu = Measure {
        name: "history.cpu",
        unit: "us a request",
        per: "turns of one program, 882 tokens each",
    };
    report.measure(cpu, &TURNS, |turns| {
        let replica = replica(1, turns, turn_bytes());
        gauge::micros(|| replica.messages(&program(0)))
    });
    let cpu = Measure {
        name: "step.cpu",
        unit: "us a request",
        per: "turns of one program, 882 tokens each",
    };
    report.measure(cpu, &TURNS, |turns| {
        let mut replica = replica(1, turns, turn_bytes());
        let mut step = turns as u32;
        gauge::micros(|| {
            step += 1;
            turn(&mut replica, 0, step, turn_bytes())
        })
    });
}

fn records(report: &mut Report) {
    let bytes = Measure {
        name: "step.records",
        unit: "bytes a request",
        per: "tokens of the turn",
    };
    report.measure(bytes, &[55, 110, 220, 440, 882], |tokens| {
        let mut replica = replica(1, 0, 0);
        let bytes = (tokens as f64 * size::TOKEN_BYTES) as usize;
        turn(&mut replica, 0, 1, bytes) as f64
    });
}

fn ledger(report: &mut Report) {
    let memory = Measure {
        name: "ledger.memory",
        unit: "bytes",
        per: "requests on their own, without text",
    };
    report.measure(memory, &[2_500, 5_000, 10_000, 20_000], |count| {
        gauge::bytes(|| {
            let mut replica = Replica::new(Limits::default());
            (0..count).for_each(|number| single(&mut replica, number));
            replica
        })
        .1
    });
}

fn tombs(report: &mut Report) {
    let memory = Measure {
        name: "tomb.memory",
        unit: "bytes",
        per: "used names",
    };
    report.measure(memory, &[25_000, 50_000, 100_000, 200_000], |count| {
        gauge::bytes(|| {
            let mut tombs = Tombstones::default();
            let names = (0..count).map(program);
            names.for_each(|name| {
                tombs.insert(Tombstone::of_program(&sample::customer_id(1), &name), 1)
            });
            tombs
        })
        .1
    });
}

fn sweep(report: &mut Report) {
    let cpu = Measure {
        name: "program.sweep.cpu",
        unit: "us a sweep",
        per: "programs",
    };
    report.measure(cpu, &PROGRAMS, |count| {
        let replica = replica(count, FEW_TURNS, 0);
        gauge::micros(|| replica.sweep(1))
    });
}

fn program(number: usize) -> id::Program {
    sample::name(&format!("0190a5c2-7b3e-7cc3-98c4-dc0c{number:08}"))
}

/// So many programs of so many turns, each with so many bytes of text.
fn replica(programs: usize, turns: usize, bytes: usize) -> Replica {
    let mut replica = Replica::new(Limits::default());
    for number in 0..programs {
        replica.apply(&Record::Opened {
            program: program(number),
            customer: sample::customer_id(1),
            budget: sample::budget(),
            at_ms: 1,
        });
        for step in 1..=turns {
            turn(&mut replica, number, step as u32, bytes);
        }
    }
    replica
}

/// One turn as its owner runs it; gives the bytes of its records.
fn turn(replica: &mut Replica, number: usize, step: u32, bytes: usize) -> usize {
    let call = Call::Step(program(number), Step(step));
    let ask = begin(call.clone(), step, bytes / 2);
    let attempt = ask.attempt.clone();
    let Decision::Dispatch(dispatched) = replica.begin(ask) else {
        unreachable!("a step in its turn is dispatched")
    };
    let sent = apply(replica, &dispatched);
    let outcome = Outcome::Answered(sample::answer(bytes / 2));
    let settled = replica.settle(&call, &attempt, outcome, 2);
    sent + apply(replica, &settled)
}

fn single(replica: &mut Replica, number: usize) {
    let name = sample::name(&format!("0190a5c2-7b3e-7cc3-98c4-dc0d{number:08}"));
    let call = Call::Single(sample::customer_id(1), name);
    let ask = begin(call.clone(), 1, 0);
    let attempt = ask.attempt.clone();
    apply(replica, &[ask.into_record()]);
    let settled = replica.settle(&call, &attempt, Outcome::Unknown, 2);
    apply(replica, &settled);
}

fn begin(call: Call, step: u32, bytes: usize) -> Begin {
    let attempt: Attempt = sample::name(&format!("0190a5c2-7b3e-7cc3-98c4-{step:012}"));
    Begin {
        call,
        customer: sample::customer_id(1),
        attempt,
        target: sample::target_id(1),
        sender: sample::name("region-1-centre-1-entry-001"),
        content: u64::from(step),
        input: sample::input(bytes),
        model: Some(sample::name("model-07")),
        estimate: Tokens(100),
        max_tokens: Tokens(100),
        idempotent: false,
        fresh: false,
        at_ms: 1,
    }
}

/// Encodes and applies records as a primary does; gives their bytes.
fn apply(replica: &mut Replica, records: &[Record]) -> usize {
    let mut bytes = 0;
    for record in records {
        bytes += postcard::to_allocvec(record).map_or(0, |record| record.len());
        replica.apply(record);
    }
    bytes
}
