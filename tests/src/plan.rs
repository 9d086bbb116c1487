//! What a fleet consists of and how its parts are set up.

use serde_json::Value;
use serde_json::json;

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// One entry in each, named by its data centre.
    pub data_centres: Vec<&'static str>,
    /// Each with one key and far more rate than it uses.
    pub customers: Vec<&'static str>,
    pub engines: usize,
    pub tools: usize,
    pub lease_ms: u64,
    pub slots: usize,
    /// Prompt tokens a second of an engine.
    pub prefill_rate: u64,
    /// Answer tokens a second and request of an engine.
    pub decode_rate: u64,
    /// Time that a tool works on a request.
    pub work_ms: u64,
    /// Text in a request that crashes its target.
    pub crash_on: Option<&'static str>,
    /// Laid over every entry's settings.
    pub entry: Value,
    /// Laid over every sidecar's settings.
    pub sidecar: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            data_centres: vec!["dc-1", "dc-2", "dc-3"],
            customers: vec!["large", "small"],
            engines: 2,
            tools: 1,
            lease_ms: 1_500,
            slots: 8,
            prefill_rate: 100_000,
            decode_rate: 2_000,
            work_ms: 5,
            crash_on: None,
            entry: json!({}),
            sidecar: json!({}),
        }
    }
}

/// Lays one JSON value over another, object by object.
pub fn lay_over(settings: &mut Value, over: &Value) {
    match (settings, over) {
        (Value::Object(settings), Value::Object(over)) => over
            .iter()
            .for_each(|(key, value)| lay_over(settings.entry(key).or_insert(Value::Null), value)),
        (settings, over) => *settings = over.clone(),
    }
}
