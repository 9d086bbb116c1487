//! Encoding of the state that an entry fetches from another one.

use std::time::Duration;

use gateway::adapter::Stage;
use gateway::adapter::Target;
use gateway::fleet::news::Response;
use history::membership::Membership;
use rstest::rstest;

fn target(id: &str, version: &str) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "a".parse().expect("name"),
        stage: Stage::Ready,
        slots: 6,
        born: Some(1),
        version: Some(version.parse().expect("version")),
        cold: Some(Duration::from_millis(400)),
    }
}

fn response() -> Response {
    Response {
        config: None,
        targets: Some((7, vec![target("t0", "v1"), target("t1", "v2")])),
        membership: Membership::default(),
    }
}

/// Guards also against targets that an entry takes to be cold, and sends next to nothing, since the entry
/// that told it of them doesn't say that they are warm.
#[rstest]
fn targets_keep_their_software_versions_and_how_long_they_stay_cold() {
    let bytes = response().encode().expect("encodable");
    assert_eq!(Response::decode(&bytes), Ok(response()));
}

/// Entries of an earlier build send targets without versions, and ignore versions that they receive.
#[rstest]
fn earlier_builds_exchange_targets_without_versions() {
    let earlier = postcard::to_stdvec(&response()).expect("encodable");
    let decoded = Response::decode(&earlier).expect("readable");
    let (_, targets) = decoded.targets.expect("targets");
    assert!(targets.iter().all(|target| target.version.is_none()));
    let bytes = response().encode().expect("encodable");
    let read_by_earlier: Response = postcard::from_bytes(&bytes).expect("readable");
    assert_eq!(read_by_earlier, decoded_without_versions());
}

/// A build that sends versions alone; its targets count as cold until their registrations are known.
#[rstest]
fn a_response_with_software_versions_alone_is_read() {
    let earlier = postcard::to_stdvec(&response()).expect("encodable");
    let versions = vec![Some("v1"), Some("v2")];
    let earlier = postcard::to_extend(&versions, earlier).expect("encodable");
    let decoded = Response::decode(&earlier).expect("readable");
    let (_, targets) = decoded.targets.expect("targets");
    let versions: Vec<&str> = targets.iter().map(Target::version_text).collect();
    assert_eq!(versions, ["v1", "v2"]);
    assert!(targets.iter().all(|target| target.cold.is_none()));
}

fn decoded_without_versions() -> Response {
    let mut response = response();
    let targets = response.targets.iter_mut().flat_map(|(_, targets)| targets);
    targets.for_each(|target| (target.version, target.cold) = (None, None));
    response
}
