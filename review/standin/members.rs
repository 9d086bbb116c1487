//! Planned changes of the store machines, then a final fault.
//!
//! Three store machines, two fronts and three model servers. Programs run turns. Then, for `replaced`, a
//! fourth store machine starts, the first one gets SIGTERM and is gone for good, and later one machine
//! loses its disk; for `retired`, two machines are emptied one after the other, and later all processes
//! are killed. `recoveryS` after all are back, programs go on and new ones begin.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{
    Arrival, Deployment, KeptClient, Record, Reply, Server, give_up, with_trouble,
};

const RECOVERY_S: f64 = 12.0;
const CATCHUP_S: f64 = 4.7;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"chat","host":"app.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":4000,"goalMs":400,"priority":0,"service":"models","attempts":2,"retain":true,"retainS":60.0,"public":false,"sticky":true,"resumable":false,"gapTargetMs":400}],"services":[{"name":"models","healthPath":"/health","maxConns":300,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":1053547,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":true,"backups":true,"chunkTokens":15,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"office","apiKeys":["key-of-the-office"],"priority":1,"ratePerS":0,"burst":0}]}"#;

fn turn(front: SocketAddr, program: &str, previous: Option<&str>, record: &Record) -> Reply {
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
    let mut client = KeptClient::new(front, record);
    let limit = Duration::from_millis(4000);
    client
        .send("POST", "/chat/turn", &headers, b"what was asked", limit)
        .0
}

struct Scene {
    deployment: Deployment,
    stores: Vec<usize>,
    fronts: Vec<usize>,
    record: Record,
}

fn begin(root: &Path, folder: &Path, record: &Record) -> Scene {
    let mut deployment = Deployment::new(root, folder, record);
    deployment.store.put("config", "main", CONFIG, None);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for (host, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-c")] {
        let name = format!("i-model-{host}");
        let address = deployment.server_address(host);
        let work = Duration::from_millis(120);
        let server = Server::start(
            &name, "models", zone, address, 64, work, 4, "", &arrivals, record,
        );
        server.register(&deployment.store, "ready", 1);
    }
    let zones = ["zone-a", "zone-b", "zone-c"];
    let stores = (0..3)
        .map(|index| deployment.add("store", index as u8 + 1, zones[index]))
        .collect();
    let fronts: Vec<usize> = (0..2)
        .map(|index| deployment.add("front", index as u8 + 1, zones[index]))
        .collect();
    deployment.end_bootstrap();
    deployment.wait_ready(&fronts, Duration::from_secs(15));
    record.say("two fronts are ready");
    std::thread::sleep(Duration::from_secs(3));
    Scene {
        deployment,
        stores,
        fronts,
        record: record.clone(),
    }
}

impl Scene {
    /// Runs programs of two turns each; returns those whose last turn was answered whole.
    fn programs(&self, name: &str, count: usize) -> Vec<(String, Reply)> {
        let mut kept = Vec::new();
        for number in 0..count {
            let program = format!("{name}{number}");
            let front = self.deployment.front(self.fronts[number % 2]);
            let first = turn(front, &program, None, &self.record);
            let second = turn(front, &program, Some(&first.id), &self.record);
            if second.served() {
                kept.push((program, second));
            }
        }
        self.record.say(format!(
            "programs {name}: {} of {count} had both turns answered whole",
            kept.len()
        ));
        kept
    }

    /// Judges what is served later than `recoveryS` after all machines are back.
    fn judge(&self, kept: &[(String, Reply)], back: f64) -> bool {
        let wait = back + RECOVERY_S + 0.5 - self.record.now();
        std::thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
        let (mut served, mut sent, mut gone) = ([0, 0], [0, 0], 0);
        for index in 0..20 {
            let front = self.deployment.front(self.fronts[(index + 1) % 2]);
            let began = turn(front, &format!("new{index}"), None, &self.record);
            sent[0] += 1;
            served[0] += usize::from(began.served());
            let Some((program, last)) = kept.get(index) else {
                continue;
            };
            if last.ended < self.record.now() - 55.0 {
                continue;
            }
            let went_on = turn(front, program, Some(&last.id), &self.record);
            sent[1] += 1;
            served[1] += usize::from(went_on.served());
            gone += usize::from(matches!(went_on.status, 404 | 410));
        }
        self.record.say(format!(
            "later than {RECOVERY_S} s after the machines are back: {} of {} first turns served, {} of {} turns that go on from one answered whole less than 60 s ago ({gone} answered 404 or 410)",
            served[0], sent[0], served[1], sent[1]
        ));
        let recover = (served[0] + served[1]) * 4 < sent[0] + sent[1];
        let broken = recover || gone > 0;
        self.record.say(if broken {
            "the rule is broken"
        } else {
            "the rule held"
        });
        broken
    }
}

/// A planned replacement, then the loss of one disk.
pub fn replaced(root: &Path, folder: &Path, record: &Record) -> bool {
    let mut scene = begin(root, folder, record);
    scene.programs("before", 10);
    if with_trouble() {
        let first = scene.stores[0];
        scene.deployment.add("store", 4, "zone-a");
        record.say("platform: the successor starts, empty, at another address");
        std::thread::sleep(Duration::from_secs_f64(CATCHUP_S + 2.0));
        scene.deployment.terminate(first);
        scene.deployment.wait_end(first, Duration::from_secs(8));
        record.say("platform: the first store machine is gone for good");
        std::thread::sleep(Duration::from_secs_f64(CATCHUP_S + 4.0));
    }
    let kept = scene.programs("after", 20);
    if with_trouble() {
        let second = scene.stores[1];
        scene.deployment.lose_disk(second);
        record.say("platform: the second store machine loses its disk");
        std::thread::sleep(Duration::from_secs(1));
        scene.deployment.start(second);
        record.say("platform: it is back at its address, with an empty disk");
    }
    scene.judge(&kept, record.now())
}

/// Two retirements, then a kill of all processes.
pub fn retired(root: &Path, folder: &Path, record: &Record) -> bool {
    let mut scene = begin(root, folder, record);
    let mut kept = scene.programs("before", 20);
    if with_trouble() {
        for index in [scene.stores[0], scene.stores[1]] {
            let name = scene.deployment.machines[index].name.clone();
            scene
                .deployment
                .store
                .put("retirements", &name, r#"{"durationS":10}"#, None);
            record.say(format!("operator: {name} is to be emptied in 10 s"));
            let until = record.now() + 20.0;
            while !scene
                .deployment
                .store
                .status("retirements", &name)
                .contains("completed")
            {
                if record.now() > until {
                    give_up("a retirement isn't completed");
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            record.say(format!("system: the retirement of {name} is completed"));
            scene.deployment.lose_disk(index);
            record.say(format!("platform: {name} is removed with its disk"));
            std::thread::sleep(Duration::from_secs(3));
        }
    }
    let after = scene.programs("after", 20);
    if !after.is_empty() {
        kept = after;
    }
    if with_trouble() {
        let left = scene.stores[2];
        let running: Vec<usize> = scene.fronts.iter().copied().chain([left]).collect();
        running
            .iter()
            .for_each(|index| scene.deployment.kill(*index));
        record.say("platform: all processes are killed");
        std::thread::sleep(Duration::from_millis(1100));
        running
            .iter()
            .for_each(|index| scene.deployment.start(*index));
        record.say("platform: they are back");
        let back = record.now();
        return scene.judge(&kept, back);
    }
    scene.judge(&kept, record.now())
}
