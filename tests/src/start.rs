//! Starts the processes of a fleet, at first and again.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use crate::cut::Cut;
use crate::fleet::Entry;
use crate::fleet::Fleet;
use crate::fleet::MODEL;
use crate::object::customer_object;
use crate::object::key_object;
use crate::object::operator_hash;
use crate::plan::Plan;
use crate::plan::lay_over;
use crate::port;
use crate::process::Process;
use crate::target;
use crate::target::Kind;
use crate::target::Target;

impl Fleet {
    /// Starts an entry again from its settings after its process has ended.
    ///
    /// Errors: it doesn't start.
    pub fn restart_entry(&mut self, index: usize) -> eyre::Result<()> {
        let entry = &mut self.entries[index];
        let settings = entry.settings.to_string_lossy().into_owned();
        let args = ["serve", settings.as_str()];
        entry.process = Process::start(&self.folder, &entry.name, "teasellever-entry", &args)?;
        Ok(())
    }

    /// Starts a sidecar again from its settings after its process has ended.
    ///
    /// Errors: it doesn't start.
    pub fn restart_sidecar(&mut self, index: usize, plain: bool) -> eyre::Result<()> {
        let folder = self.folder.clone();
        let target = self.target(index, plain);
        let settings = target.settings.to_string_lossy().into_owned();
        let name = format!("sidecar-{}", target.name);
        let args = ["serve", settings.as_str()];
        target.sidecar = Process::start(&folder, &name, "teasellever-sidecar", &args)?;
        Ok(())
    }

    /// Starts a target again after it has crashed.
    ///
    /// Errors: it doesn't start.
    pub fn restart_target(&mut self, index: usize, plain: bool) -> eyre::Result<()> {
        let folder = self.folder.clone();
        let target = self.target(index, plain);
        let args: Vec<&str> = target.args.iter().map(String::as_str).collect();
        target.fake = Process::start(&folder, &target.name, "teasellever-fakes", &args)?;
        Ok(())
    }

    /// A target by its place among those of its kind.
    pub fn target(&mut self, index: usize, plain: bool) -> &mut Target {
        match plain {
            true => &mut self.tools[index],
            false => &mut self.engines[index],
        }
    }

    /// The objects of the first ticket.
    pub(crate) fn objects(&self, plan: &Plan) -> Value {
        let customers = plan.customers.iter().flat_map(|customer| {
            [
                customer_object(customer, 10_000.0, 10_000),
                key_object(customer),
            ]
        });
        let targets = self.engines.iter().chain(&self.tools).map(|target| {
            let models = match target.kind {
                Kind::Engine => json!([MODEL]),
                Kind::Plain => json!([]),
            };
            json!({ "target": {
                "id": target.name,
                "data_centre": plan.data_centres[0],
                "sidecar": target.inward.address,
                "models": models,
            }})
        });
        let tools: Vec<&str> = self
            .tools
            .iter()
            .map(|target| target.name.as_str())
            .collect();
        let routes = [
            ("book", false, false),
            ("look", true, false),
            ("open", true, true),
        ]
        .map(|(id, idempotent, public)| {
            json!({ "route": {
                "id": id, "targets": tools, "idempotent": idempotent, "public": public,
            }})
        });
        let model = json!({ "model": { "id": MODEL, "context": 300_000 } });
        customers
            .chain(targets)
            .chain(routes)
            .chain([model])
            .collect()
    }

    pub(crate) async fn start_entry(&self, plan: &Plan, data_centre: &str) -> eyre::Result<Entry> {
        let name = format!("entry-{data_centre}-{}", self.entries.len() + 1);
        let [callers, peers, admin] = [port::free(), port::free(), port::free()];
        let inward = Cut::new(peers).await?;
        let platform = Cut::new(self.store).await?;
        let mut settings = json!({
            "node": name,
            "data_centre": data_centre,
            "listen": {
                "callers": callers,
                "peers": peers,
                "advertised": inward.address,
                "admin": admin,
            },
            "platform": format!("http://{}", platform.address),
            "operators": [operator_hash()],
            "lease": { "duration_ms": plan.lease_ms, "margin_ms": plan.lease_ms / 10 },
        });
        lay_over(&mut settings, &plan.entry);
        let settings = self.write(&name, &settings)?;
        let args = ["serve", settings.to_str().unwrap_or_default()];
        let process = Process::start(&self.folder, &name, "teasellever-entry", &args)?;
        Ok(Entry {
            name,
            process,
            settings,
            callers,
            admin,
            inward,
            platform,
        })
    }

    pub(crate) async fn start_target(
        &self,
        plan: &Plan,
        kind: Kind,
        number: usize,
    ) -> eyre::Result<Target> {
        let name = match kind {
            Kind::Engine => format!("engine-{number}"),
            Kind::Plain => format!("tool-{number}"),
        };
        let [url, peers, admin] = [port::free(), port::free(), port::free()];
        let record = self.folder.join(format!("{name}.executions"));
        let args = target::args(plan, kind, url, &record);
        let words: Vec<&str> = args.iter().map(String::as_str).collect();
        let fake = Process::start(&self.folder, &name, "teasellever-fakes", &words)?;
        let inward = Cut::new(peers).await?;
        let mut settings = json!({
            "target": name,
            "data_centre": plan.data_centres[0],
            "listen": { "peers": peers, "admin": admin },
            "url": format!("http://{url}"),
            "kind": if kind == Kind::Engine { "engine" } else { "plain" },
            "platform": format!("http://{}", self.store),
            "operators": [operator_hash()],
            "limits": {
                "slots": plan.slots,
                "prefill_rate": plan.prefill_rate,
                "decode_rate": plan.decode_rate,
            },
        });
        lay_over(&mut settings, &plan.sidecar);
        let settings = self.write(&name, &settings)?;
        self.wait_for_port(url).await?;
        let args = ["serve", settings.to_str().unwrap_or_default()];
        let process = format!("sidecar-{name}");
        let sidecar = Process::start(&self.folder, &process, "teasellever-sidecar", &args)?;
        Ok(Target {
            name,
            fake,
            url,
            args: words.iter().map(|word| (*word).to_owned()).collect(),
            sidecar,
            settings,
            admin,
            inward,
            kind,
        })
    }

    fn write(&self, name: &str, settings: &Value) -> eyre::Result<PathBuf> {
        let file = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, serde_json::to_string_pretty(settings)?)?;
        Ok(file)
    }

    pub(crate) async fn wait_for_port(&self, address: SocketAddr) -> eyre::Result<()> {
        self.until("a port listens", async || {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await
    }
}
