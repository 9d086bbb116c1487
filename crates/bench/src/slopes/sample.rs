//! Objects of the sizes that are measured.

use std::fmt::Debug;
use std::str::FromStr;

use compact_str::CompactString;
use coord::config;
use coord::config::Change;
use coord::config::Config;
use coord::config::Object;
use coord::id;
use coord::id::Burst;
use coord::id::Rate;
use coord::id::Ticket;
use coord::id::Tokens;
use coord::record::Answer;
use coord::record::Budget;

/// A name; its text is one of this package's own.
pub fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Name of a customer.
pub fn customer_id(number: usize) -> id::Customer {
    name(&format!("customer-{number:05}"))
}

/// Name of a target.
pub fn target_id(number: usize) -> id::Target {
    name(&format!("region-1-engine-{number:05}"))
}

/// A customer and its key.
pub fn customer(number: usize) -> [Object; 2] {
    let id = customer_id(number);
    let key = config::Key {
        id: name(&format!("{id}-key")),
        customer: id.clone(),
        salt: format!("{number:032x}"),
        hash: format!("{number:064x}"),
    };
    let customer = config::Customer {
        id,
        rate: Rate::try_from(0.5).expect("a rate"),
        burst: Burst(20),
        weight: 1,
    };
    [Object::Customer(customer), Object::Key(key)]
}

/// A target that serves one of the models.
pub fn target(number: usize, models: usize) -> Object {
    Object::Target(config::Target {
        id: target_id(number),
        data_centre: name("region-1-centre-1"),
        sidecar: ([127, 0, 0, 1], 4000).into(),
        leaving: false,
        models: vec![name(&format!("model-{:02}", number % models))],
    })
}

/// A ticket that sets these.
pub fn change(number: u64, set: Vec<Object>) -> Change {
    Change {
        number: Ticket(number),
        set,
        remove: Vec::new(),
    }
}

/// A configuration of so many customers, each with a key, and so many targets.
pub fn config(customers: usize, targets: usize, models: usize) -> Config {
    let mut config = Config::default();
    for number in 0..customers {
        config.merge(&change(1 + number as u64, customer(number).into()));
    }
    for number in 0..targets {
        let ticket = 1 + (customers + number) as u64;
        config.merge(&change(ticket, vec![target(number, models)]));
    }
    config
}

/// Messages of one turn, so many bytes of text.
pub fn input(bytes: usize) -> Vec<u8> {
    let text = "i".repeat(bytes);
    format!(r#"[{{"role":"user","content":"{text}"}}]"#).into_bytes()
}

/// An answer of so many bytes of text.
pub fn answer(bytes: usize) -> Answer {
    let text = "o".repeat(bytes);
    Answer {
        status: 200,
        content_type: CompactString::const_new("text/plain"),
        body: text.into_bytes(),
        prompt_tokens: Tokens(bytes as u64),
        cached_tokens: Tokens(0),
        completion_tokens: Tokens(bytes as u64 / 4),
        finish: CompactString::const_new("stop"),
    }
}

/// A budget that isn't reached.
pub fn budget() -> Budget {
    Budget {
        tokens: Tokens(u64::MAX / 4),
        calls: u64::MAX / 4,
        wall_ms: u64::MAX / 4,
    }
}
