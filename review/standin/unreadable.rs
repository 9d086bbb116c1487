//! Another writer's entry among the servers can't be read; then the servers of a service are replaced.
//!
//! Two fronts, three store machines and two servers. At 4 s another writer puts one entry. At 7 s two
//! new servers register; at 8 s and 9 s the old ones report `draining`, serve on for longer than
//! `drainMs`, and exit 8 s after their report.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{Arrival, Deployment, Record, Reply, Server, send, with_trouble};

const DRAIN_S: f64 = 2.0;

/// An entry with a text that ends in half a character, as a writer leaves that cuts texts by their
/// length. It is JSON, but no text can be made of it.
const UNREADABLE: &str = r#"{"service":"app","address":"127.0.0.1:9","zone":"zone-a","version":"build-\ud83d","slots":4,"state":"ready","coldLeftMs":0,"seq":1}"#;

pub fn play(root: &Path, folder: &Path, record: &Record) -> bool {
    let mut deployment = Deployment::new(root, folder, record);
    let config = r#"{"version":3,"routes":[{"name":"fee","host":"app.example","pathPrefix":"/fee/","kind":"unsafe","timeoutMs":3000,"goalMs":400,"priority":1,"service":"app","attempts":2,"public":false,"sticky":false}],"services":[{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"office","apiKeys":["key-of-the-office"],"priority":1,"ratePerS":0,"burst":0}]}"#;
    deployment.store.put("config", "main", config, None);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let start_server = |deployment: &Deployment, name: &str, host: u8| {
        let server = Server::start(
            name,
            "app",
            "zone-a",
            deployment.server_address(host),
            8,
            Duration::from_millis(150),
            0,
            "",
            &arrivals,
            record,
        );
        server.register(&deployment.store, "ready", 1);
        record.line(format!("store: {name} registers as ready"));
        server
    };
    let old = [
        start_server(&deployment, "i-old-1", 1),
        start_server(&deployment, "i-old-2", 2),
    ];
    for (number, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-c")] {
        deployment.add("store", number, zone);
    }
    let fronts = [
        deployment.add("front", 1, "zone-a"),
        deployment.add("front", 2, "zone-b"),
    ];
    deployment.end_bootstrap();
    deployment.wait_ready(&fronts, Duration::from_secs(15));
    record.say("both fronts are ready");
    std::thread::sleep(Duration::from_secs(1));

    // Clients: four, one request after the other, each at the front that the platform chose.
    let stop = Arc::new(AtomicBool::new(false));
    let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..4 {
        let (stop, replies, record) = (Arc::clone(&stop), Arc::clone(&replies), record.clone());
        let front = deployment.front(fronts[client % 2]);
        clients.push(std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let key = [("Authorization", "Token key-of-the-office".to_owned())];
                let reply = send(
                    front,
                    "POST",
                    "/fee/post",
                    &key,
                    b"fee=10",
                    Duration::from_millis(3000),
                    &record,
                );
                replies.lock().unwrap().push(reply);
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let began = record.now();
    let until = |at: f64| {
        let left = began + at - record.now();
        std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    };
    until(4.0);
    if with_trouble() {
        deployment.store.put("servers", "agent-7", UNREADABLE, None);
        record.say("store: another writer puts servers/agent-7, which can't be read");
    }
    until(7.0);
    let new = [
        start_server(&deployment, "i-new-1", 3),
        start_server(&deployment, "i-new-2", 4),
    ];
    let mut drained = Vec::new();
    for (server, at) in old.iter().zip([8.0, 9.0]) {
        until(at);
        server.register(&deployment.store, "draining", 2);
        drained.push(record.now());
        record.say(format!("store: accepts that {} is draining", server.id));
    }
    for (server, at) in old.iter().zip([16.0, 17.0]) {
        until(at);
        deployment.store.remove("servers", &server.id);
        server.end();
        record.say(format!("{} has left", server.id));
    }
    let left = record.now();
    until(27.0);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(new);

    // The rule: requests that reach a server later than drainMs after the store's acknowledgement.
    let arrivals = arrivals.lock().unwrap();
    let late = |server: &Server, drained: f64| {
        arrivals
            .iter()
            .filter(|arrival| arrival.server == server.id && arrival.at > drained + DRAIN_S)
            .count()
    };
    let late: Vec<usize> = old
        .iter()
        .zip(&drained)
        .map(|(server, drained)| late(server, *drained))
        .collect();
    let replies = replies.lock().unwrap();
    let part = |from: f64, to: f64| {
        let of_part: Vec<&Reply> = replies
            .iter()
            .filter(|reply| reply.sent >= from && reply.sent < to)
            .collect();
        let served = of_part.iter().filter(|reply| reply.served()).count();
        format!("{served} of {} requests served", of_part.len())
    };
    let cut = arrivals
        .iter()
        .filter(|arrival| {
            arrival.runs
                && replies
                    .iter()
                    .any(|reply| reply.id == arrival.request && !reply.served())
        })
        .count();
    record.say(format!("before the entry: {}", part(0.0, began + 4.0)));
    record.say(format!(
        "from the entry to the end of the old servers: {}",
        part(began + 4.0, left)
    ));
    record.say(format!(
        "from 1 s after the old servers have left, with two sound servers registered: {}",
        part(left + 1.0, f64::MAX)
    ));
    record.say(format!(
        "requests that ran and whose clients have no answer: {cut}"
    ));
    record.say(format!("DRAIN: requests that reached a server later than {DRAIN_S} s after it was draining: {} at i-old-1, {} at i-old-2", late[0], late[1]));
    let broken = late.iter().sum::<usize>() > 0;
    record.say(if broken {
        "the rule is broken"
    } else {
        "the rule held"
    });
    broken
}
