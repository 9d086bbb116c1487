//! A store machine is killed that a front knows; the front never learned of the third one.
//!
//! At the first start, two store machines start at 0 s, two fronts at 0.15 s and 0.22 s, and the third
//! store machine at 0.29 s. Clients run turns on kept connections. At 13 s the first store machine's process is killed;
//! it is back after 2.8 s.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::common::{Arrival, Deployment, KeptClient, Record, Reply, Server, with_trouble};

pub fn play(root: &Path, folder: &Path, record: &Record) -> bool {
    let mut deployment = Deployment::new(root, folder, record);
    let config = r#"{"version":3,"routes":[{"name":"chat","host":"app.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":4000,"goalMs":400,"priority":0,"service":"models","attempts":2,"retain":true,"retainS":60.0,"public":false,"sticky":true,"resumable":false,"gapTargetMs":400}],"services":[{"name":"models","healthPath":"/health","maxConns":300,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":1053547,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":true,"backups":true,"chunkTokens":15,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"office","apiKeys":["key-of-the-office"],"priority":1,"ratePerS":0,"burst":0}]}"#;
    deployment.store.put("config", "main", config, None);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for (host, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-c")] {
        let name = format!("i-model-{host}");
        let server = Server::start(
            &name,
            "models",
            zone,
            deployment.server_address(host),
            64,
            Duration::from_millis(500),
            8,
            "",
            &arrivals,
            record,
        );
        server.register(&deployment.store, "ready", 1);
    }
    let started = Instant::now();
    let at = |seconds: f64| {
        std::thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(started.elapsed()))
    };
    let first = deployment.add("store", 1, "zone-a");
    deployment.add("store", 2, "zone-b");
    at(0.15);
    let mut fronts = vec![deployment.add("front", 1, "zone-a")];
    at(0.22);
    fronts.push(deployment.add("front", 2, "zone-b"));
    at(0.29);
    deployment.add("store", 3, "zone-c");
    deployment.end_bootstrap();
    deployment.wait_ready(&fronts, Duration::from_secs(15));
    record.say("two fronts are ready; all machines have started within 0.3 s");
    at(10.0);

    let stop = Arc::new(AtomicBool::new(false));
    let replies: Arc<Mutex<Vec<(Reply, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..16 {
        let (stop, replies, record) = (Arc::clone(&stop), Arc::clone(&replies), record.clone());
        let front = deployment.front(fronts[client % 2]);
        clients.push(std::thread::spawn(move || {
            let mut connection = KeptClient::new(front, &record);
            std::thread::sleep(Duration::from_millis(client as u64 * 30));
            for turn in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let headers = [
                    ("Authorization", "Token key-of-the-office".to_owned()),
                    ("X-Program-Id", format!("p{client}-{turn}")),
                    ("X-Session-Id", format!("p{client}-{turn}")),
                    ("X-Finish-Ms", "30000".to_owned()),
                    ("X-Token-Budget", "100000".to_owned()),
                    ("X-Token-Usage", "100,120".to_owned()),
                    ("X-Model", "m".to_owned()),
                    ("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20".to_owned()),
                ];
                let reply = connection.send(
                    "POST",
                    "/chat/turn",
                    &headers,
                    b"what was asked",
                    Duration::from_millis(4000),
                );
                let refused = reply.0.status == 503;
                replies.lock().unwrap().push(reply);
                std::thread::sleep(Duration::from_millis(if refused { 400 } else { 20 }));
            }
        }));
    }
    at(13.0);
    let killed = record.now();
    if with_trouble() {
        deployment.kill(first);
        record.say("platform: the first store machine's process is killed");
        at(15.8);
        deployment.start(first);
        record.say("platform: it is back");
    }
    at(26.0);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let replies = replies.lock().unwrap();
    let passed_on = |reply: &Reply| {
        arrivals
            .iter()
            .any(|arrival| arrival.request == reply.id && arrival.runs)
    };
    let lost: Vec<&(Reply, bool)> = replies
        .iter()
        .filter(|(reply, kept)| *kept && !reply.whole && passed_on(reply))
        .collect();
    let served = replies.iter().filter(|(reply, _)| reply.served()).count();
    let refused = replies
        .iter()
        .filter(|(reply, _)| reply.status == 503)
        .count();
    let last_refused = replies
        .iter()
        .filter(|(reply, _)| reply.status == 503)
        .map(|(reply, _)| reply.ended - killed)
        .fold(0.0, f64::max);
    record.say(format!("{served} of {} turns served, {refused} refused, the last one {last_refused:.1} s after the kill", replies.len()));
    record.say(format!("LOST: requests from kept connections that a server ran, and whose connection ended without a whole answer: {}; three are allowed", lost.len()));
    let broken = lost.len() > 3;
    record.say(if broken {
        "the rule is broken"
    } else {
        "the rule held"
    });
    broken
}
