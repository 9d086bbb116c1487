//! Registration, draining, expiry and renewed registration of targets.

use std::time::Duration;

use gateway::adapter::Adapter;
use gateway::adapter::Target;
use gateway::target::cold::Remaining;
use gateway::target::directory::Directory;
use gateway::target::directory::REREGISTRATION_TIMEOUT;
use gateway::target::directory::Withdrawal;
use node::object::Change;
use node::object::Object;
use node::object::Revision;
use rstest::rstest;
use serde_json::json;
use support::Plain;
use tokio::time::Instant;

mod support;

fn object(name: &str, stage: &str) -> Object {
    Object {
        name: name.to_owned(),
        revision: Revision(1),
        spec: json!({ "stage": stage, "born": 1 }),
        status: json!(null),
    }
}

fn ready(directory: &Directory) -> Vec<String> {
    let services = directory.services();
    let entries = services.get("s").map_or(&[][..], Vec::as_slice);
    entries
        .iter()
        .map(|entry| entry.target.id.to_string())
        .collect()
}

#[rstest]
fn a_leaving_target_gets_no_new_requests() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_listing(&[object("a", "ready"), object("b", "ready")], &Plain, now);
    directory.apply_change(&Change::Put(object("a", "leaving")), &Plain, now);
    assert_eq!(ready(&directory), ["b"]);
}

#[rstest]
fn a_target_is_removed_at_once_if_its_registration_is_deleted_while_the_store_answers() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_listing(&[object("a", "ready"), object("b", "ready")], &Plain, now);
    directory.apply_change(&Change::Deleted("a".to_owned()), &Plain, now);
    assert_eq!(ready(&directory), ["b"]);
}

#[rstest]
fn targets_that_are_missing_after_an_outage_are_kept_until_the_reregistration_timeout() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_listing(&[object("a", "ready"), object("b", "ready")], &Plain, now);
    let recovered = now + Duration::from_secs(10);
    directory.record_store_recovery(recovered);
    directory.apply_listing(&[], &Plain, recovered);
    assert_eq!(ready(&directory), ["a", "b"]);
    let soon = recovered + Duration::from_millis(500);
    directory.apply_change(&Change::Put(object("a", "ready")), &Plain, soon);
    assert!(directory.expire(soon).is_some());
    directory.expire(recovered + REREGISTRATION_TIMEOUT);
    assert_eq!(ready(&directory), ["a"]);
}

#[rstest]
fn a_malformed_registration_removes_its_target_and_no_other() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_listing(&[object("a", "ready"), object("b", "odd")], &Plain, now);
    assert_eq!(ready(&directory), ["a"]);
    directory.apply_change(&Change::Put(object("a", "odd")), &Plain, now);
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_restarted_target_with_the_same_id_has_a_new_load() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_listing(&[object("a", "ready")], &Plain, now);
    let before = directory.services()["s"][0].load.clone();
    let mut again = object("a", "ready");
    again.spec["born"] = json!(2);
    directory.apply_change(&Change::Put(again), &Plain, now);
    let after = directory.services()["s"][0].load.clone();
    assert!(!std::sync::Arc::ptr_eq(&before, &after));
}

#[rstest]
fn a_snapshot_of_another_entry_is_applied_only_if_it_is_newer() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_listing(&[object("a", "ready")], &Plain, now);
    directory.revision = Revision(10);
    directory.apply_peer_snapshot(Revision(9), Vec::new(), now);
    assert_eq!(ready(&directory), ["a"]);
    let target = Plain.target(&object("c", "ready")).expect("target");
    directory.apply_peer_snapshot(Revision(11), vec![target], now);
    assert_eq!(ready(&directory), ["c"]);
}

fn incarnation(born: u64, version: &str) -> Object {
    Object {
        name: "t".to_owned(),
        revision: Revision(born),
        spec: json!({ "stage": "ready", "born": born, "version": version }),
        status: serde_json::Value::Null,
    }
}

/// Guards against streams that are resumed at a version that a target no longer has: a listing that
/// was on its way for long arrives after the target has registered again.
#[rstest]
fn a_late_listing_does_not_bring_back_an_earlier_incarnation_of_a_target() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_change(&Change::Put(incarnation(2, "v2")), &Plain, now);
    directory.apply_listing(&[incarnation(1, "v1")], &Plain, now);
    let services = directory.services();
    let target = &services["s"][0].target;
    assert_eq!((target.born, target.version_text()), (Some(2), "v2"));
}

#[rstest]
fn a_target_that_registered_again_supersedes_its_earlier_incarnation() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_change(&Change::Put(incarnation(1, "v1")), &Plain, now);
    let chosen = directory.services()["s"][0].target.clone();
    assert!(!directory.is_superseded(&chosen));
    directory.apply_change(&Change::Put(incarnation(2, "v1")), &Plain, now);
    assert!(directory.is_superseded(&chosen));
    directory.apply_change(&Change::Deleted("t".to_owned()), &Plain, now);
    assert!(!directory.is_superseded(&chosen));
}

/// Entries of an earlier build pass targets on without their versions.
#[rstest]
fn a_snapshot_without_software_versions_does_not_remove_known_ones() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_change(&Change::Put(incarnation(1, "v1")), &Plain, now);
    let mut target = directory.services()["s"][0].target.clone();
    target.version = None;
    directory.apply_peer_snapshot(Revision(5), vec![target.clone()], now);
    assert_eq!(directory.services()["s"][0].target.version_text(), "v1");
    target.born = Some(2);
    directory.apply_peer_snapshot(Revision(6), vec![target], now);
    assert_eq!(directory.services()["s"][0].target.version, None);
}

fn chosen(directory: &Directory) -> Target {
    directory.services()["s"][0].target.clone()
}

/// Guards against requests that are sent to a target that left after it was chosen, while an origin was
/// stored or a connection opened.
#[rstest]
#[case(Change::Put(object("a", "leaving")), Withdrawal::Leaving)]
#[case(Change::Put(restarted("a")), Withdrawal::Replaced)]
#[case(Change::Put(object("a", "odd")), Withdrawal::Gone)]
#[case(Change::Deleted("a".to_owned()), Withdrawal::Gone)]
fn a_target_that_changed_after_it_was_chosen_gets_no_request(
    #[case] change: Change,
    #[case] withdrawal: Withdrawal,
) {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_listing(&[object("a", "ready")], &Plain, now);
    let target = chosen(&directory);
    assert_eq!(directory.check(&target, now), Ok(()));
    directory.apply_change(&change, &Plain, now);
    assert_eq!(directory.check(&target, now), Err(withdrawal));
}

fn restarted(name: &str) -> Object {
    let mut restarted = object(name, "ready");
    restarted.spec["born"] = json!(2);
    restarted
}

/// Guards against a target that is kept for longer than registrations may take to return, because
/// nothing removes it in time.
#[rstest]
fn a_missing_target_gets_no_request_once_registrations_should_have_returned() {
    let mut directory = Directory::default();
    let recovered = Instant::now();
    directory.apply_listing(&[object("a", "ready")], &Plain, recovered);
    let target = chosen(&directory);
    directory.record_store_recovery(recovered);
    directory.apply_listing(&[], &Plain, recovered);
    let deadline = recovered + REREGISTRATION_TIMEOUT;
    let before = deadline - Duration::from_millis(1);
    assert_eq!(directory.check(&target, before), Ok(()));
    assert_eq!(directory.check(&target, deadline), Err(Withdrawal::Gone));
}

/// Guards against requests to a target that was gone before an outage of the object store: it counted
/// as one whose registration may return, as nothing had removed it yet.
#[rstest]
fn a_target_that_was_gone_before_an_outage_does_not_return_with_the_store() {
    let mut directory = Directory::default();
    let start = Instant::now();
    directory.apply_listing(&[object("a", "ready")], &Plain, start);
    let target = chosen(&directory);
    directory.record_store_recovery(start);
    directory.apply_change(&Change::Deleted("a".to_owned()), &Plain, start);
    let lost = start + REREGISTRATION_TIMEOUT;
    directory.record_store_loss(lost);
    let recovered = lost + Duration::from_secs(1);
    directory.record_store_recovery(recovered);
    assert_eq!(directory.check(&target, recovered), Err(Withdrawal::Gone));
    assert!(directory.services().is_empty());
}

/// Guards against an outage right after another one, in which no target could register again.
#[rstest]
fn a_target_that_may_still_register_again_is_kept_through_a_further_outage() {
    let mut directory = Directory::default();
    let start = Instant::now();
    directory.apply_listing(&[object("a", "ready")], &Plain, start);
    let target = chosen(&directory);
    directory.record_store_recovery(start);
    directory.apply_listing(&[], &Plain, start);
    let lost = start + REREGISTRATION_TIMEOUT / 2;
    directory.record_store_loss(lost);
    let recovered = lost + 2 * REREGISTRATION_TIMEOUT;
    directory.record_store_recovery(recovered);
    assert_eq!(directory.check(&target, recovered), Ok(()));
    let deadline = recovered + REREGISTRATION_TIMEOUT;
    assert_eq!(directory.check(&target, deadline), Err(Withdrawal::Gone));
}

/// Guards against requests to a target that left without notice shortly before an outage of the object
/// store: it looks like one whose registration expired meanwhile.
#[rstest]
fn a_target_that_is_missing_after_an_outage_is_not_used_while_most_others_are_registered() {
    let mut directory = Directory::default();
    let recovered = Instant::now();
    let objects = ["a", "b", "c"].map(|name| object(name, "ready"));
    directory.apply_listing(&objects, &Plain, recovered);
    let target = chosen(&directory);
    directory.record_store_recovery(recovered);
    directory.apply_listing(&objects[1..], &Plain, recovered);
    assert_eq!(ready(&directory), ["b", "c"]);
    assert_eq!(directory.check(&target, recovered), Err(Withdrawal::Gone));
    directory.apply_listing(&objects[2..], &Plain, recovered);
    assert_eq!(ready(&directory), ["a", "b", "c"]);
    assert_eq!(directory.check(&target, recovered), Ok(()));
}

fn cold(name: &str, born: u64, cold_ms: Option<u64>) -> Target {
    Target {
        born: Some(born),
        cold: cold_ms.map(Duration::from_millis),
        ..support::target(name, gateway::adapter::Stage::Ready)
    }
}

fn remaining(directory: &mut Directory) -> Vec<Remaining> {
    let cold = directory.take_cold().into_iter();
    cold.map(|warming| warming.remaining).collect()
}

/// Guards against a target that is taken to be warm since nobody said that it is cold.
#[rstest]
fn a_target_is_cold_as_long_as_it_registers_and_unknown_where_another_entry_told_of_it() {
    let mut directory = Directory::default();
    directory.put_target(cold("a", 1, Some(0)));
    assert!(remaining(&mut directory).is_empty());
    directory.put_target(cold("a", 2, Some(2_000)));
    let known = Remaining::Known(Duration::from_millis(2_000));
    assert_eq!(remaining(&mut directory), [known]);
    assert!(remaining(&mut directory).is_empty());
    // It may become cold again at any moment.
    directory.put_target(cold("a", 2, Some(0)));
    directory.put_target(cold("a", 2, Some(1_000)));
    let again = Remaining::Known(Duration::from_millis(1_000));
    assert_eq!(remaining(&mut directory), [again]);
    let snapshot = vec![cold("a", 2, None), cold("b", 1, None)];
    directory.apply_peer_snapshot(Revision(5), snapshot, Instant::now());
    assert_eq!(remaining(&mut directory), [Remaining::Unknown]);
}

#[rstest]
fn targets_count_as_cold_when_the_evacuation_of_their_data_centre_ends() {
    let mut directory = Directory::default();
    directory.put_target(cold("a", 1, Some(0)));
    let data_centre = directory.services()["s"][0].target.data_centre.clone();
    directory.set_evacuated([data_centre].into_iter().collect());
    assert!(remaining(&mut directory).is_empty());
    directory.set_evacuated(gateway::Set::default());
    assert_eq!(remaining(&mut directory), [Remaining::Unknown]);
}
