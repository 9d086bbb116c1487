//! Planned stops cut off nothing, and a leaving target gets no new work.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fakes::generation;
use fakes::stats::unix_ms;
use holds::audit;
use holds::booking::Bookings;
use holds::booking::what;
use holds::caller::Answer;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::PATIENCE;
use holds::fleet::Plan;
use http::Method;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;

/// A leaving target gets no new work after this time.
const LEAVING_BOUND_MS: u64 = 3_000;
const INTERVAL: Duration = Duration::from_millis(40);
/// Between two looks of the balancer at the entries' health.
const LOOK: Duration = Duration::from_millis(100);
const MAX_TOKENS: u32 = 30;

/// The balancer before the entries: which of them are in service.
#[derive(Debug, Default)]
struct Balancer {
    sound: Mutex<Vec<bool>>,
}

impl Balancer {
    /// Looks at every entry again and again.
    async fn watch(self: Arc<Self>, fleet: Vec<Caller>, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            let looks = fleet
                .iter()
                .map(|admin| admin.call(Method::GET, "/healthz", ""));
            let looks = futures::future::join_all(looks).await;
            *self.sound.lock() = looks.iter().map(Answer::ok).collect();
            tokio::time::sleep(LOOK).await;
        }
    }

    /// An entry in service, each in turn.
    fn choose(&self, number: usize) -> usize {
        let sound = self.sound.lock();
        let places: Vec<usize> = (0..sound.len()).filter(|place| sound[*place]).collect();
        match places.is_empty() {
            true => number % sound.len().max(1),
            false => places[number % places.len()],
        }
    }
}

fn admins(fleet: &Fleet) -> Vec<Caller> {
    let patience = Duration::from_millis(500);
    let admins = fleet
        .entries
        .iter()
        .map(|entry| Caller::new(fleet.http.clone(), entry.admin, "").leaving_after(patience));
    admins.collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_of_everything_under_load_fails_no_request() -> eyre::Result<()> {
    let plan = Plan {
        engines: 2,
        tools: 2,
        decode_rate: 20,
        slots: 32,
        work_ms: 300,
        entry: json!({ "limits": { "grace_ms": 1_000 } }),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let callers: Vec<Caller> = (0..3).map(|entry| fleet.caller(entry, "large")).collect();
    let bookings = Bookings::new(callers.clone());
    let balancer = Arc::new(Balancer::default());
    let stop = Arc::new(AtomicBool::new(false));
    let watch = tokio::spawn(balancer.clone().watch(admins(&fleet), stop.clone()));
    tokio::time::sleep(LOOK * 3).await;
    let load = tokio::spawn(load(callers, bookings.clone(), balancer, stop.clone()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for entry in 0..3 {
        fleet.entries[entry].process.terminate();
        let status = fleet.entries[entry].process.wait(PATIENCE).await?;
        assert!(status.success(), "entry {entry}: {status}");
        fleet.restart_entry(entry)?;
        fleet.wait_serving(fleet.entries[entry].admin).await?;
        fleet.wait_replicated().await?;
    }
    for (index, plain) in [(0, true), (1, true), (0, false), (1, false)] {
        let target = fleet.target(index, plain);
        target.sidecar.terminate();
        let status = target.sidecar.wait(PATIENCE).await?;
        assert!(status.success(), "sidecar of {}: {status}", target.name);
        let admin = target.admin;
        fleet.restart_sidecar(index, plain)?;
        fleet.wait_serving(admin).await?;
        // Every entry has seen the new sidecar before the next one stops.
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let (streams, failed) = load.await?;
    watch.await?;
    let mut executions = Vec::new();
    for tool in &fleet.tools {
        executions.extend(audit::executions(&fleet.folder, &tool.name)?);
    }
    let tally = bookings.audit.check(&executions)?;
    eprintln!("{streams} streams, {tally:?}");
    assert!(streams > 50 && tally.requests > 50, "too little load");
    assert_eq!(failed, Vec::<String>::new());
    assert_eq!(tally.answered, tally.requests, "{tally:?}");
    Ok(())
}

/// Streams and bookings, each sent once, until told to stop; counts the streams that failed.
async fn load(
    callers: Vec<Caller>,
    bookings: Bookings,
    balancer: Arc<Balancer>,
    stop: Arc<AtomicBool>,
) -> (usize, Vec<String>) {
    let mut sent = Vec::new();
    let mut tick = tokio::time::interval(INTERVAL);
    while !stop.load(Ordering::Relaxed) {
        tick.tick().await;
        let number = sent.len();
        let entry = balancer.choose(number);
        let caller = callers[entry].clone();
        let bookings = bookings.clone();
        sent.push(tokio::spawn(async move {
            let content = format!("stream {number}");
            let name = format!("roll-{number}");
            let booking = bookings.send(&name, entry);
            let (answer, booked) = tokio::join!(caller.chat(&content, MAX_TOKENS), booking);
            let asked = json!([{ "role": "user", "content": content }]);
            let text = generation::text(&asked, u64::from(MAX_TOKENS));
            let stream = match answer.ok() && answer.text == text {
                true => None,
                false => Some(format!("entry {entry}: {answer:?}")),
            };
            let booking = match booked.ok() {
                true => None,
                false => Some(format!("entry {entry}: {booked:?}")),
            };
            stream.into_iter().chain(booking).collect::<Vec<String>>()
        }));
    }
    let count = sent.len();
    let mut failed = Vec::new();
    for sent in sent {
        failed.extend(sent.await.unwrap_or_else(|error| vec![error.to_string()]));
    }
    (count, failed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_gets_no_new_work_though_the_host_list_lags() -> eyre::Result<()> {
    let plan = Plan {
        engines: 2,
        tools: 2,
        slots: 32,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let lagging: Vec<Value> = ["engine-1", "engine-2", "tool-1", "tool-2"]
        .map(|name| json!({ "name": name, "leaving": false }))
        .to_vec();
    let hosts = Value::Array(lagging);
    let set = fleet
        .http
        .json(Method::POST, fleet.store, "/fake/hosts", "", &hosts)
        .await?;
    assert_eq!(set.0, 200);
    let stop = Arc::new(AtomicBool::new(false));
    let patience = Duration::from_secs(5);
    let callers = (0..3).map(|entry| fleet.caller(entry, "large").leaving_after(patience));
    let callers: Vec<Caller> = callers.collect();
    let bookings = Bookings::new(callers.clone());
    let balancer = Arc::new(Balancer {
        sound: Mutex::new(vec![true; 3]),
    });
    let load = tokio::spawn(load(callers, bookings.clone(), balancer, stop.clone()));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    // One entry hears nothing of the platform when the target leaves.
    fleet.entries[2].platform.cut();
    let leaving = [("engine-1", json!(["small"])), ("tool-1", json!([]))];
    let leaving = leaving.map(|(name, models)| {
        let place = &fleet.engines.iter().chain(&fleet.tools);
        let target = place.clone().find(|target| target.name == name);
        let sidecar = target.map(|target| target.inward.address);
        json!({ "target": {
            "id": name, "data_centre": "dc-1", "sidecar": sidecar, "models": models, "leaving": true,
        }})
    });
    fleet.change(json!(leaving), json!([])).await?;
    let bound_ms = unix_ms() + LEAVING_BOUND_MS;
    tokio::time::sleep(Duration::from_millis(LEAVING_BOUND_MS + 1_500)).await;
    fleet.entries[2].platform.heal();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    stop.store(true, Ordering::Relaxed);
    load.await?;
    let late = |name: &str| {
        let ran = audit::executions(&fleet.folder, name)?;
        let late = ran.iter().filter(|ran| ran.at_ms >= bound_ms).count();
        eyre::Ok((ran.len(), late))
    };
    for name in ["engine-1", "tool-1"] {
        let (ran, late) = late(name)?;
        assert!(ran > 0, "{name} never had work");
        assert_eq!(
            late, 0,
            "{name} got new work {LEAVING_BOUND_MS} ms after it was to leave"
        );
    }
    for name in ["engine-2", "tool-2"] {
        assert!(late(name)?.1 > 0, "{name} has no work");
    }
    let mut executions = audit::executions(&fleet.folder, "tool-1")?;
    executions.extend(audit::executions(&fleet.folder, "tool-2")?);
    bookings.audit.check(&executions)?;
    assert!(executions.iter().any(|ran| ran.what == what("roll-0")));
    Ok(())
}
