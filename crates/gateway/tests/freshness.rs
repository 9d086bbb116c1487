//! Age of the knowledge of the object store, by this process's answers and other entries' statements.

use std::time::Duration;

use gateway::fleet::peers;
use gateway::freshness;
use gateway::freshness::Answer;
use gateway::freshness::CHANGE_RESERVE;
use gateway::freshness::Freshness;
use gateway::freshness::Order;
use gateway::freshness::Statement;
use node::object::Kind;
use node::object::Revision;
use rstest::rstest;
use tokio::time::Instant;

const LIMIT: Duration = Duration::from_millis(600);

const SECOND: Duration = Duration::from_secs(1);

fn listed(revision: u64, now: Instant) -> Freshness {
    let freshness = Freshness::default();
    freshness.record_answer(Kind::Targets, Answer::Listing, Revision(revision), now);
    freshness
}

fn statement(since: u64, changed: u64, age_ms: u64) -> Statement {
    Statement {
        kind: Kind::Targets,
        since,
        changed,
        age_ms,
    }
}

/// Time until a check is due.
async fn time_until_due(freshness: &Freshness) -> Duration {
    let start = Instant::now();
    let overdue = freshness.overdue(Kind::Targets, || LIMIT);
    let _ = tokio::time::timeout(Duration::from_secs(60), overdue).await;
    start.elapsed()
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn knowledge_must_be_checked_at_its_age_limit() {
    let freshness = listed(5, Instant::now());
    assert_eq!(time_until_due(&freshness).await, LIMIT);
    let unchanged = Answer::Unchanged;
    freshness.record_answer(Kind::Targets, unchanged, Revision(6), Instant::now());
    assert_eq!(time_until_due(&freshness).await, LIMIT);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn knowledge_that_another_entry_confirms_must_be_checked_later() {
    let freshness = listed(5, Instant::now());
    tokio::time::advance(LIMIT - Duration::from_millis(100)).await;
    freshness.merge(statement(3, 4, 200), Instant::now());
    assert_eq!(
        time_until_due(&freshness).await,
        LIMIT - Duration::from_millis(200)
    );
}

/// Guards against a lost watch that goes unnoticed although others have heard a change.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_that_another_entry_knows_of_is_asked_for_soon() {
    let freshness = listed(5, Instant::now());
    freshness.merge(statement(3, 7, 0), Instant::now());
    let due = time_until_due(&freshness).await;
    assert!(due < LIMIT / 2, "{due:?}");
    let changes = Answer::Changes(Revision(7));
    freshness.record_answer(Kind::Targets, changes, Revision(7), Instant::now());
    assert_eq!(time_until_due(&freshness).await, LIMIT);
}

/// Guards against a target that is gone and yet confirmed: a listing shows no deletions.
#[rstest]
fn an_entry_that_listed_later_confirms_nothing() {
    let start = Instant::now();
    let freshness = listed(5, start);
    let now = start + SECOND;
    freshness.merge(statement(8, 8, 0), now);
    assert_eq!(freshness.age(Kind::Targets, now), Some(SECOND));
}

/// Guards against entries that take each other's word for knowledge that the store confirmed to none.
#[rstest]
fn a_confirmation_of_another_entry_is_not_passed_on() {
    let start = Instant::now();
    let freshness = listed(5, start);
    let now = start + SECOND;
    freshness.merge(statement(3, 4, 0), now);
    assert_eq!(freshness.age(Kind::Targets, now), Some(Duration::ZERO));
    assert_eq!(freshness.statements(now)[0].age_ms, 1000);
}

#[rstest]
fn an_older_confirmation_does_not_make_the_knowledge_older() {
    let now = Instant::now() + SECOND;
    let freshness = listed(5, now);
    freshness.merge(statement(3, 4, 900), now);
    assert_eq!(freshness.age(Kind::Targets, now), Some(Duration::ZERO));
}

#[rstest]
fn a_kind_that_was_never_listed_has_no_age() {
    let freshness = Freshness::default();
    freshness.merge(statement(3, 4, 0), Instant::now());
    assert_eq!(freshness.age(Kind::Targets, Instant::now()), None);
}

/// Guards against a sum of the parts, from the store's acceptance to the sending, above the time in
/// which a change must be in force.
#[rstest]
fn the_age_limit_leaves_the_reserve_at_every_size_and_bound() {
    for entries in 1..=330 {
        let order = Order::After(peers::interval(entries));
        for bound_ms in [1_400, 2_000, 3_000, 4_000] {
            let bound = Duration::from_millis(bound_ms);
            for order in [Order::First, order] {
                let limit = freshness::age_limit(order, bound);
                assert!(
                    limit + CHANGE_RESERVE <= bound,
                    "{entries} entries: {limit:?}"
                );
            }
        }
    }
}

/// Guards against calls of every entry where the first one's report could do.
#[rstest]
#[case(3, 2_000)]
#[case(26, 3_000)]
#[case(91, 4_000)]
fn the_other_entries_wait_for_the_report_of_the_first(
    #[case] entries: usize,
    #[case] bound_ms: u64,
) {
    let interval = peers::interval(entries);
    let limit = freshness::age_limit(Order::After(interval), Duration::from_millis(bound_ms));
    assert_eq!(limit, freshness::FIRST_CHECK_AGE + 2 * interval);
}
