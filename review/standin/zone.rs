//! A zone's store machines lose their disks.
//!
//! The store machines of the site `tapetenamt-by-now-grown` that run the role `history`: 3, 2 and 2 in
//! three zones, `tolerate` = 2 machines or 1 zone. Programs run turns. Then, at the same moment, the
//! processes of one zone's store machines are killed; a second later they are back with empty disks.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{Arrival, Deployment, Record, Reply, Server, send, with_trouble};

const RECOVERY_S: f64 = 15.0;
const STABLE_S: f64 = 4.0;

fn turn(front: std::net::SocketAddr, program: &str, previous: Option<&str>, record: &Record) -> Reply {
    let mut headers = vec![
        ("Authorization", "Token key-of-the-office".to_owned()),
        ("X-Program-Id", program.to_owned()),
        ("X-Session-Id", program.to_owned()),
        ("X-Finish-Ms", "30000".to_owned()),
        ("X-Token-Budget", "100000".to_owned()),
        ("X-Token-Usage", "100,60".to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20".to_owned()),
    ];
    headers.extend(previous.map(|previous| ("X-Previous-Turn", previous.to_owned())));
    send(front, "POST", "/chat/turn", &headers, b"what was asked", Duration::from_millis(4000), record)
}

pub fn play(root: &Path, folder: &Path, record: &Record) -> bool {
    let mut deployment = Deployment::new(root, folder, record);
    deployment.tolerate_machines = 2;
    let config = r#"{"version":3,"routes":[{"name":"chat","host":"app.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":4000,"goalMs":400,"priority":0,"service":"models","attempts":2,"retain":true,"retainS":60.0,"public":false,"sticky":true,"resumable":false,"gapTargetMs":400}],"services":[{"name":"models","healthPath":"/health","maxConns":300,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":1053547,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":true,"backups":true,"chunkTokens":15,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"office","apiKeys":["key-of-the-office"],"priority":1,"ratePerS":0,"burst":0}]}"#;
    deployment.store.put("config", "main", config, None);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for (host, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-c")] {
        let name = format!("i-model-{host}");
        let server = Server::start(&name, "models", zone, deployment.server_address(host), 64, Duration::from_millis(120), 4, "", &arrivals, record);
        server.register(&deployment.store, "ready", 1);
    }
    let zones = ["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"];
    let stores: Vec<usize> = zones.iter().enumerate().map(|(index, zone)| deployment.add("store", index as u8 + 1, zone)).collect();
    let fronts: Vec<usize> = (1..=3).map(|number| deployment.add("front", number, ["zone-a", "zone-b", "zone-c"][number as usize - 1])).collect();
    deployment.end_bootstrap();
    deployment.wait_ready(&fronts, Duration::from_secs(20));
    record.say("three fronts are ready");
    std::thread::sleep(Duration::from_secs(5));

    // Programs, each with two turns that are answered whole.
    let mut kept: Vec<(String, Reply)> = Vec::new();
    let mut before = (0, 0);
    for program in 0..60 {
        let name = format!("p{program}");
        let front = deployment.front(fronts[program % 3]);
        let first = turn(front, &name, None, record);
        let second = turn(front, &name, Some(&first.id), record);
        before.0 += usize::from(first.served()) + usize::from(second.served());
        before.1 += 2;
        if second.served() {
            kept.push((name, second));
        }
    }
    let fault = record.now();
    if with_trouble() {
        let lost = &stores[..3];
        for index in lost {
            deployment.kill(*index);
        }
        for index in lost {
            let _ = std::fs::remove_dir_all(deployment.data_folder(*index));
        }
        record.say("platform: the three store machines of zone-a lose their disks");
        std::thread::sleep(Duration::from_secs(1));
        for index in lost {
            deployment.start(*index);
        }
        record.say("platform: they are back, with empty disks, at their addresses");
    } else {
        std::thread::sleep(Duration::from_secs(1));
    }
    let back = record.now();

    // From recoveryS after they are back: each program goes on, and new ones begin.
    let wait = back + RECOVERY_S.max(STABLE_S) + 0.5 - record.now();
    std::thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
    let (mut served, mut sent, mut next_served, mut next_sent, mut gone) = (0, 0, 0, 0, 0);
    for (index, (program, last)) in kept.iter().enumerate() {
        let front = deployment.front(fronts[(index + 1) % 3]);
        let began = turn(front, &format!("q{index}"), None, record);
        sent += 1;
        served += usize::from(began.served());
        if last.ended < record.now() - 50.0 {
            continue;
        }
        let went_on = turn(front, program, Some(&last.id), record);
        next_sent += 1;
        next_served += usize::from(went_on.served());
        gone += usize::from(matches!(went_on.status, 404 | 410));
        if record.now() > 95.0 {
            break;
        }
    }
    record.say(format!("before the fault at {fault:.1} s: {} of {} turns served", before.0, before.1));
    record.say(format!("later than recoveryS = {RECOVERY_S} s after the machines are back: {served} of {sent} first turns served, {next_served} of {next_sent} turns served that go on from a turn answered whole less than retainS = 60 s ago ({gone} of these answered 404 or 410)"));
    let recover = (served + next_served) * 4 < sent + next_sent;
    record.say(format!("RECOVER is {}; LOST (404 or 410) is {}", if recover { "broken" } else { "kept" }, if gone > 0 { "broken" } else { "kept" }));
    let broken = recover || gone > 0;
    record.say(if broken { "the rule is broken" } else { "the rule held" });
    broken
}
