//! Adapter and targets of the tests of a directory.

use coord::id::DataCentre;
use gateway::adapter::Adapter;
use gateway::adapter::Call;
use gateway::adapter::Dispatch;
use gateway::adapter::Malformed;
use gateway::adapter::Reply;
use gateway::adapter::Stage;
use gateway::adapter::Target;
use gateway::config::Config;
use http::HeaderMap;
use node::object::Object;

/// Reads a target's service and stage from `spec`.
pub struct Plain;

impl Adapter for Plain {
    fn ready_path(&self) -> &str {
        "/"
    }

    fn config(&self, _: &Object) -> Result<Config, Malformed> {
        Err(Malformed("no configuration".to_owned()))
    }

    fn target(&self, object: &Object) -> Result<Target, Malformed> {
        let stage = match object.spec["stage"].as_str() {
            Some("ready") => Stage::Ready,
            Some("leaving") => Stage::Leaving,
            _ => return Err(Malformed("stage".to_owned())),
        };
        let mut target = target(&object.name, stage);
        target.born = object.spec["born"].as_u64();
        let version = object.spec["version"].as_str();
        target.version = version.and_then(|version| version.parse().ok());
        Ok(target)
    }

    fn evacuation(&self, object: &Object) -> Result<DataCentre, Malformed> {
        let name = object.name.parse();
        name.map_err(|_| Malformed("data centre".to_owned()))
    }

    fn call(&self, _: &HeaderMap) -> Result<Call, Malformed> {
        Err(Malformed("no call".to_owned()))
    }

    fn dispatch(&self, _: &mut HeaderMap, _: &Dispatch<'_>) {}

    fn reply(&self, _: &HeaderMap) -> Reply {
        Reply::default()
    }

    fn set_request_id(&self, _: &mut HeaderMap, _: &str) {}
}

/// Target of service `s` that started at 1 ms.
pub fn target(id: &str, stage: Stage) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "a".parse().expect("name"),
        stage,
        slots: 6,
        born: Some(1),
        version: None,
        cold: Some(std::time::Duration::ZERO),
    }
}
