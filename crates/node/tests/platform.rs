//! Client of the object API against a fake platform.

use std::time::Duration;

use bytes::Bytes;
use coord::id::Version;
use fakes::platform::Faults;
use fakes::platform::Platform as Fake;
use node::platform::Condition;
use node::platform::Error;
use node::platform::Platform;
use rstest::fixture;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(500);

async fn start() -> (Fake, Platform) {
    let fake = Fake::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let client = Platform::new(&format!("http://{}", fake.address()), TIMEOUT);
    (fake, client)
}

#[fixture]
fn value() -> Bytes {
    Bytes::from_static(b"value")
}

#[rstest]
#[tokio::test]
async fn a_conditional_write_conflicts_with_another_version(value: Bytes) {
    let (_fake, client) = start().await;
    let first = client
        .put("a/b", value.clone(), Condition::Absent)
        .await
        .unwrap();
    let again = client.put("a/b", value.clone(), Condition::Absent).await;
    assert_eq!(again, Err(Error::Conflict { current: first }));
    let second = client
        .put("a/b", value, Condition::At(first))
        .await
        .unwrap();
    assert!(second > first);
}

#[rstest]
#[tokio::test]
async fn a_recreated_object_has_a_higher_version_than_the_deleted_one(value: Bytes) {
    let (_fake, client) = start().await;
    let first = client
        .put("a", value.clone(), Condition::Absent)
        .await
        .unwrap();
    client.delete("a", Condition::At(first)).await.unwrap();
    assert_eq!(client.get("a").await.unwrap(), None);
    let second = client.put("a", value, Condition::Absent).await.unwrap();
    assert!(second > first);
}

#[rstest]
#[tokio::test]
async fn a_write_whose_reply_is_lost_succeeds_after_reading_back(value: Bytes) {
    let (fake, client) = start().await;
    fake.set_faults(Faults {
        lose_replies: 1,
        ..Faults::default()
    });
    let version = client
        .update("a", value.clone(), Condition::Absent)
        .await
        .unwrap();
    let object = client.get("a").await.unwrap().unwrap();
    assert_eq!((object.version, object.value), (version, value));
    assert_eq!(fake.stats().lost, 1);
}

#[rstest]
#[tokio::test]
async fn a_write_whose_reply_is_lost_conflicts_with_an_earlier_write_of_another_client(
    value: Bytes,
) {
    let (fake, client) = start().await;
    let other = client
        .put("a", Bytes::from_static(b"other"), Condition::Absent)
        .await
        .unwrap();
    fake.set_faults(Faults {
        lose_replies: 1,
        ..Faults::default()
    });
    let lost = client.update("a", value, Condition::Absent).await;
    assert_eq!(lost, Err(Error::Conflict { current: other }));
}

#[rstest]
#[tokio::test]
async fn a_listing_contains_only_changes_after_the_given_revision(value: Bytes) {
    let (_fake, client) = start().await;
    client
        .put("p/1", value.clone(), Condition::Any)
        .await
        .unwrap();
    let first = client.list("p/", Version(0)).await.unwrap();
    client
        .put("p/2", value.clone(), Condition::Any)
        .await
        .unwrap();
    client.delete("p/1", Condition::Any).await.unwrap();
    let second = client.list("p/", first.revision).await.unwrap();
    assert_eq!(second.objects.len(), 1);
    assert_eq!(second.objects[0].name, "p/2");
    assert_eq!(second.deleted, ["p/1"]);
}

#[rstest]
#[tokio::test]
async fn a_watch_returns_on_a_change(value: Bytes) {
    let (_fake, client) = start().await;
    let watch = client.watch("p/", Version(0), Duration::from_secs(20));
    let write = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        client
            .put("p/1", value.clone(), Condition::Any)
            .await
            .unwrap()
    };
    let (changes, version) = tokio::join!(watch, write);
    assert_eq!(changes.unwrap().objects[0].version, version);
}

#[rstest]
#[case(Faults { down: true, ..Faults::default() }, Error::Unavailable)]
#[case(Faults { slow_ms: 2_000, ..Faults::default() }, Error::Unknown)]
#[case(Faults { rate_limit: 1, ..Faults::default() }, Error::RateLimited)]
#[tokio::test]
async fn each_fault_gives_its_own_error(
    value: Bytes,
    #[case] faults: Faults,
    #[case] expected: Error,
) {
    let (fake, client) = start().await;
    client
        .put("a", value.clone(), Condition::Any)
        .await
        .unwrap();
    fake.set_faults(faults);
    let _ = client.put("b", value.clone(), Condition::Any).await;
    let failed = client.put("b", value, Condition::Any).await;
    assert_eq!(failed, Err(expected));
}

#[rstest]
#[tokio::test]
async fn a_stale_read_returns_an_earlier_state(value: Bytes) {
    let (fake, client) = start().await;
    client.put("a", value, Condition::Any).await.unwrap();
    fake.set_faults(Faults {
        stale_reads_ms: 60_000,
        ..Faults::default()
    });
    assert_eq!(client.get("a").await.unwrap(), None);
}

#[rstest]
#[tokio::test]
async fn writes_in_an_outage_are_retried_within_the_retry_budget(value: Bytes) {
    const CALLS: u64 = 200;
    const INITIAL_RETRIES: u64 = 20;
    let (fake, client) = start().await;
    fake.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    for _ in 0..CALLS {
        let failed = client.update("a", value.clone(), Condition::Absent).await;
        assert_eq!(failed, Err(Error::Unavailable));
    }
    let attempts = client.stats().writes;
    assert!(
        attempts <= CALLS + CALLS / 10 + INITIAL_RETRIES,
        "{attempts} attempts"
    );
}
