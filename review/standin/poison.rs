//! A request crashes each server that runs it, and comes again at any front; the fronts are restarted in
//! turn as planned.
//!
//! Three fronts, three store machines, eight servers. A crashed server is back after 3 s with a new id.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{
    Arrival, Deployment, Record, Reply, Server, Store, give_up, send, with_trouble,
};

const STABLE_S: f64 = 3.0;
const POISON: &str = "poison";
const BACK_AFTER: Duration = Duration::from_secs(3);

/// Keeps a server running: starts it again, with a new id, after each crash.
fn keep(
    mut server: Server,
    store: Store,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
    stop: Arc<AtomicBool>,
) {
    let mut number = 1;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(50));
        if server.crashed.lock().unwrap().is_none() {
            continue;
        }
        std::thread::sleep(BACK_AFTER);
        number += 1;
        let name = server.id.split('.').next().unwrap_or("").to_owned();
        let next = Server::start(
            &format!("{name}.{number}"),
            "app",
            "zone-a",
            server.address,
            8,
            server.work,
            0,
            POISON,
            &arrivals,
            &record,
        );
        next.register(&store, "ready", 1);
        // The entry of the one that crashed goes after three heartbeats of silence, 3.6 s.
        std::thread::sleep(Duration::from_millis(600));
        store.remove("servers", &server.id);
        server = next;
    }
}

pub fn play(root: &Path, folder: &Path, record: &Record) -> bool {
    let mut deployment = Deployment::new(root, folder, record);
    let config = r#"{"version":3,"routes":[{"name":"fee","host":"app.example","pathPrefix":"/fee/","kind":"unsafe","timeoutMs":3000,"goalMs":400,"priority":1,"service":"app","attempts":2,"public":false,"sticky":false}],"services":[{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"office","apiKeys":["key-of-the-office"],"priority":1,"ratePerS":0,"burst":0}]}"#;
    deployment.store.put("config", "main", config, None);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for host in 1..=8 {
        let server = Server::start(
            &format!("i-app{host}"),
            "app",
            "zone-a",
            deployment.server_address(host),
            8,
            Duration::from_millis(300),
            0,
            POISON,
            &arrivals,
            record,
        );
        server.register(&deployment.store, "ready", 1);
        let (store, arrivals, record, stop) = (
            deployment.store.clone(),
            Arc::clone(&arrivals),
            record.clone(),
            Arc::clone(&stop),
        );
        threads.push(std::thread::spawn(move || {
            keep(server, store, arrivals, record, stop)
        }));
    }
    let zones = ["zone-a", "zone-b", "zone-c"];
    for number in 0..3 {
        deployment.add("store", number as u8 + 1, zones[number]);
    }
    let fronts: Vec<usize> = (0..3)
        .map(|number| deployment.add("front", number as u8 + 1, zones[number]))
        .collect();
    deployment.end_bootstrap();
    deployment.wait_ready(&fronts, Duration::from_secs(15));
    record.say("three fronts are ready");
    std::thread::sleep(Duration::from_secs_f64(STABLE_S + 0.5));

    // Other clients, at all fronts.
    let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
    let addresses: Vec<_> = fronts
        .iter()
        .map(|front| deployment.front(*front))
        .collect();
    for client in 0..16 {
        let (stop, replies, record, addresses) = (
            Arc::clone(&stop),
            Arc::clone(&replies),
            record.clone(),
            addresses.clone(),
        );
        threads.push(std::thread::spawn(move || {
            let (mut number, mut at) = (0, client);
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let key = [("Authorization", "Token key-of-the-office".to_owned())];
                let body = format!("fee={client}-{number}");
                let reply = send(
                    addresses[at % 3],
                    "POST",
                    "/fee/post",
                    &key,
                    body.as_bytes(),
                    Duration::from_millis(3000),
                    &record,
                );
                match reply.error.contains("refused") {
                    // The platform sends no one to a front that doesn't answer.
                    true => at += 1,
                    false => replies.lock().unwrap().push(reply),
                }
                std::thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    let poison = |deployment: &Deployment, front: usize| {
        let key = [("Authorization", "Token key-of-the-office".to_owned())];
        let reply = send(
            deployment.front(front),
            "POST",
            "/fee/post",
            &key,
            b"fee=poison",
            Duration::from_millis(3000),
            record,
        );
        record.say(format!(
            "the request that crashes servers, at {}: {}",
            deployment.machines[front].name,
            if reply.status == 0 {
                reply.error
            } else {
                reply.status.to_string()
            }
        ));
    };
    // It crashes three servers, then comes again at all fronts, which refuse it.
    for attempt in 0..6 {
        poison(&deployment, fronts[attempt % 3]);
        std::thread::sleep(Duration::from_millis(1500));
    }
    let third = {
        let arrivals = arrivals.lock().unwrap();
        let runs: Vec<f64> = arrivals
            .iter()
            .filter(|arrival| arrival.body == b"fee=poison" && arrival.runs)
            .map(|arrival| arrival.at)
            .collect();
        runs.get(2).copied()
    };
    let Some(third) = third else {
        give_up("the request didn't crash three servers");
    };
    record.say(format!("it has crashed its third server at {third:.1}"));
    // The fronts are stopped and started in turn; each is in touch again before the request comes to it.
    for front in &fronts {
        if with_trouble() {
            deployment.terminate(*front);
            record.say(format!(
                "platform: SIGTERM to {}",
                deployment.machines[*front].name
            ));
            deployment.wait_end(*front, Duration::from_secs(8));
            deployment.start(*front);
            deployment.wait_ready(&[*front], Duration::from_secs(10));
            record.say(format!(
                "platform: {} is ready again",
                deployment.machines[*front].name
            ));
        } else {
            std::thread::sleep(Duration::from_secs(4));
        }
        std::thread::sleep(Duration::from_secs_f64(STABLE_S + 1.0));
        for _ in 0..4 {
            poison(&deployment, *front);
            std::thread::sleep(Duration::from_millis(1500));
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.body == b"fee=poison" && arrival.at > third + STABLE_S)
        .count();
    let replies = replies.lock().unwrap();
    let served = replies.iter().filter(|reply| reply.served()).count();
    let broken_off = arrivals
        .iter()
        .filter(|arrival| {
            arrival.runs
                && arrival.body != b"fee=poison"
                && replies
                    .iter()
                    .any(|reply| reply.id == arrival.request && !reply.served())
        })
        .count();
    record.say(format!("other clients: {served} of {} requests served; {broken_off} were broken off by a crash while they ran", replies.len()));
    record.say(format!("BUDGET: the request reached servers in {late} retries later than {STABLE_S} s after it had crashed the third, at fronts in touch; three are allowed"));
    let broken = late > 3;
    record.say(if broken {
        "the rule is broken"
    } else {
        "the rule held"
    });
    broken
}
