//! Data centres that operators evacuate: what entries know of them, and which targets they withdraw.

use coord::id::DataCentre;
use coord::time::Millis;
use coord::time::Time;
use gateway::Set;
use gateway::follow::Event;
use gateway::target::directory::Directory;
use gateway::target::directory::Withdrawal;
use gateway::target::evacuation::Evacuations;
use gateway::target::evacuation::Notice;
use node::object::Change;
use node::object::Object;
use node::object::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rstest::rstest;
use support::Plain;
use support::target;
use tokio::time::Instant;

mod support;

/// Largest number of changes in a play of [`notices_in_any_order_lead_to_the_newest_state`].
const CHANGES: u64 = 20;

fn object(name: &str) -> Object {
    Object {
        name: name.to_owned(),
        revision: Revision(1),
        spec: serde_json::json!({}),
        status: serde_json::Value::Null,
    }
}

fn listed(names: &[&str], revision: u64) -> Event {
    let objects = names.iter().map(|name| object(name)).collect();
    Event::Listed(objects, Revision(revision))
}

fn changed(changes: Vec<Change>, revision: u64) -> Event {
    Event::Changed(changes, Revision(revision))
}

fn notice(revision: u64, names: &[&str]) -> Notice {
    Notice {
        revision,
        age_ms: 0,
        data_centres: names.iter().map(|name| data_centre(name)).collect(),
    }
}

fn data_centre(name: &str) -> DataCentre {
    name.parse().expect("name")
}

fn evacuated(evacuations: &Evacuations) -> Vec<String> {
    let mut names: Vec<String> = evacuations
        .data_centres()
        .map(DataCentre::to_string)
        .collect();
    names.sort();
    names
}

#[rstest]
fn an_evacuation_holds_from_its_object_until_that_is_deleted() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.apply(&listed(&[], 5), &Plain, Time(0)));
    let put = changed(vec![Change::Put(object("a"))], 6);
    assert!(evacuations.apply(&put, &Plain, Time(10)));
    assert_eq!(evacuated(&evacuations), ["a"]);
    let again = changed(vec![Change::Put(object("a"))], 7);
    assert!(!evacuations.apply(&again, &Plain, Time(20)));
    let deleted = changed(vec![Change::Deleted("a".to_owned())], 8);
    assert!(evacuations.apply(&deleted, &Plain, Time(30)));
    assert!(evacuated(&evacuations).is_empty());
}

#[rstest]
fn an_object_whose_name_is_no_data_centre_evacuates_nothing_and_the_others_hold() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(&listed(&["a", "no name"], 5), &Plain, Time(0));
    assert_eq!(evacuated(&evacuations), ["a"]);
}

/// Guards against a data centre that gets requests again, or none any more, as an old listing or report
/// arrives after a newer one.
#[rstest]
fn an_older_answer_or_notice_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.merge(&notice(10, &["a"]), Time(0));
    assert!(!evacuations.merge(&notice(9, &[]), Time(10)));
    assert!(!evacuations.apply(&listed(&["b"], 8), &Plain, Time(20)));
    assert_eq!(evacuated(&evacuations), ["a"]);
    assert!(evacuations.merge(&notice(11, &[]), Time(30)));
    assert!(!evacuations.merge(&notice(10, &["a"]), Time(40)));
    assert!(evacuated(&evacuations).is_empty());
}

#[rstest]
fn knowledge_is_as_old_as_the_store_s_answer_that_it_comes_from() {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.age(Time(0)), None);
    assert_eq!(evacuations.notice(Time(0)), None);
    let mut old = notice(10, &["a"]);
    old.age_ms = 700;
    evacuations.merge(&old, Time(1_000));
    assert_eq!(evacuations.age(Time(1_500)), Some(Millis(1_200)));
    evacuations.apply(&Event::Unchanged(Revision(12)), &Plain, Time(2_000));
    assert_eq!(evacuations.age(Time(2_100)), Some(Millis(100)));
    let passed_on = evacuations.notice(Time(2_100)).expect("notice");
    assert_eq!((passed_on.revision, passed_on.age_ms), (12, 100));
    assert_eq!(evacuated(&evacuations), ["a"]);
}

/// Reports are lost, repeated and overtake each other: whatever arrives, no entry goes back, and all end
/// with what the last change left.
#[rstest]
fn notices_in_any_order_lead_to_the_newest_state() {
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut state: Set<&str> = Set::default();
        let mut history = Vec::new();
        for revision in 1..=CHANGES {
            let name = ["a", "b", "c"][random.random_range(0..3)];
            if !state.remove(name) {
                state.insert(name);
            }
            let names: Vec<&str> = state.iter().copied().collect();
            history.push(notice(revision, &names));
        }
        let last = history[history.len() - 1].clone();
        let mut deliveries: Vec<Notice> = history
            .iter()
            .flat_map(|notice| vec![notice.clone(); random.random_range(0..3)])
            .collect();
        deliveries.shuffle(&mut random);
        deliveries.insert(random.random_range(0..=deliveries.len()), last.clone());
        let mut evacuations = Evacuations::default();
        let mut newest = 0;
        for delivered in &deliveries {
            evacuations.merge(delivered, Time(0));
            newest = newest.max(delivered.revision);
            assert_eq!(evacuations.revision(), Revision(newest), "seed {seed}");
        }
        let known = evacuations.notice(Time(0)).expect("notice").data_centres;
        let mut expected = last.data_centres.clone();
        expected.sort();
        assert_eq!(known, expected, "seed {seed}");
    }
}

/// Guards against requests that are sent to an evacuated data centre because their target was chosen
/// before, while an origin was stored or a connection opened.
#[rstest]
fn targets_of_an_evacuated_data_centre_get_no_request_also_if_they_were_chosen_before() {
    let mut directory = Directory::default();
    let now = Instant::now();
    let mut elsewhere = target("t2", gateway::adapter::Stage::Ready);
    elsewhere.data_centre = data_centre("b");
    let here = target("t1", gateway::adapter::Stage::Ready);
    directory.put_target(here.clone());
    directory.put_target(elsewhere.clone());
    assert_eq!(directory.check(&here, now), Ok(()));
    directory.set_evacuated([data_centre("a")].into_iter().collect());
    assert_eq!(directory.check(&here, now), Err(Withdrawal::Evacuated));
    assert_eq!(directory.check(&elsewhere, now), Ok(()));
    let services = directory.services();
    let ids: Vec<&str> = services["s"].iter().map(|c| c.target.id.as_str()).collect();
    assert_eq!(ids, ["t2"]);
    directory.set_evacuated(Set::default());
    assert_eq!(directory.services()["s"].len(), 2);
}

/// A target that registers while its data centre is evacuated isn't used either.
#[rstest]
fn a_target_that_starts_in_an_evacuated_data_centre_gets_no_request() {
    let mut directory = Directory::default();
    directory.set_evacuated([data_centre("a")].into_iter().collect());
    directory.put_target(target("t1", gateway::adapter::Stage::Ready));
    assert!(directory.services().is_empty());
}
