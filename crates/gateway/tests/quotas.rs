//! Rate limits of customers on one entry.

use std::time::Duration;

use coord::id::Burst;
use coord::id::Rate;
use coord::quota::Fleet;
use coord::time::Time;
use gateway::config::CustomerLimits;
use gateway::quota::Exceeded;
use gateway::quota::Quotas;
use rstest::rstest;

/// Fleet that consists of this entry only.
const ALONE: Fleet = Fleet {
    entries: 1,
    silent: 0,
};

fn customer(rate: f64, burst: u32) -> CustomerLimits {
    CustomerLimits {
        name: "c".parse().expect("name"),
        keys: Vec::new(),
        priority: None,
        rate: (rate > 0.0).then(|| Rate::try_from(rate).expect("rate")),
        burst: Burst(burst),
        homes: Vec::new(),
    }
}

/// No request waits for the rate.
const IMPATIENT: Duration = Duration::ZERO;

/// A request is sent at once.
const AT_ONCE: Result<Duration, Exceeded> = Ok(Duration::ZERO);

fn wait<T>(result: Result<T, Exceeded>) -> Option<Duration> {
    result.err().map(|Exceeded(wait)| wait)
}

#[rstest]
fn a_customer_without_a_rate_is_never_refused() {
    let mut quotas = Quotas::default();
    let customer = customer(0.0, 0);
    for _ in 0..10_000 {
        assert_eq!(
            quotas.admit(&customer, true, IMPATIENT, ALONE, Time(0)),
            AT_ONCE
        );
    }
}

#[rstest]
fn programs_that_are_refused_together_get_increasing_retry_times() {
    let mut quotas = Quotas::default();
    let customer = customer(90.0, 90);
    let mut waits = Vec::new();
    for _ in 0..20 {
        waits.extend(wait(quotas.admit(
            &customer,
            true,
            IMPATIENT,
            ALONE,
            Time(0),
        )));
    }
    assert!(waits.len() >= 8, "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
    let spread = waits[waits.len() - 1] - waits[0];
    assert!(spread > Duration::from_millis(500), "{waits:?}");
}

#[rstest]
fn running_programs_are_admitted_while_new_ones_are_refused() {
    let mut quotas = Quotas::default();
    let customer = customer(90.0, 90);
    while quotas
        .admit(&customer, true, IMPATIENT, ALONE, Time(0))
        .is_ok()
    {}
    for _ in 0..40 {
        assert_eq!(
            quotas.admit(&customer, false, IMPATIENT, ALONE, Time(0)),
            AT_ONCE
        );
    }
}

#[rstest]
fn a_check_refuses_while_the_bucket_is_empty() {
    let mut quotas = Quotas::default();
    let customer = customer(10.0, 10);
    while quotas
        .admit(&customer, false, IMPATIENT, ALONE, Time(0))
        .is_ok()
    {}
    assert!(wait(quotas.check(&customer, IMPATIENT, ALONE, Time(0))).is_some());
    assert_eq!(
        quotas.check(&customer, IMPATIENT, ALONE, Time(2_000)),
        Ok(())
    );
}

#[rstest]
fn a_configured_customer_is_served_at_one_of_many_entries_from_its_first_request() {
    let fleet = Fleet {
        entries: 91,
        silent: 0,
    };
    let mut quotas = Quotas::default();
    let customer = customer(10.0, 10);
    quotas.configure(std::slice::from_ref(&customer), fleet, Time(0));
    for _ in 0..10 {
        let admitted = quotas.admit(&customer, false, IMPATIENT, fleet, Time(2_000));
        assert_eq!(admitted, AT_ONCE);
    }
}

#[rstest]
fn a_customer_that_leaves_the_configuration_and_returns_starts_anew() {
    let mut quotas = Quotas::default();
    let customer = customer(10.0, 10);
    quotas.configure(std::slice::from_ref(&customer), ALONE, Time(0));
    assert_eq!(
        quotas.admit(&customer, false, IMPATIENT, ALONE, Time(0)),
        AT_ONCE
    );
    quotas.configure(&[], ALONE, Time(1));
    assert!(quotas.totals(Time(0)).is_empty());
}

#[rstest]
fn a_check_returns_the_time_until_the_rate_allows_one_more_request() {
    let mut quotas = Quotas::default();
    let customer = customer(10.0, 10);
    for _ in 0..10 {
        let admitted = quotas.admit(&customer, false, IMPATIENT, ALONE, Time(0));
        assert_eq!(admitted, AT_ONCE);
    }
    // Each that is refused is told a time of its own.
    for place in 1..=3 {
        let wait = wait(quotas.check(&customer, IMPATIENT, ALONE, Time(0))).expect("refused");
        assert_eq!(wait, Duration::from_millis(100 * place));
    }
    assert_eq!(quotas.check(&customer, IMPATIENT, ALONE, Time(100)), Ok(()));
}

#[rstest]
fn a_request_that_the_rate_allows_soon_waits_for_it() {
    let mut quotas = Quotas::default();
    let customer = customer(10.0, 10);
    for _ in 0..10 {
        let admitted = quotas.admit(&customer, false, IMPATIENT, ALONE, Time(0));
        assert_eq!(admitted, AT_ONCE);
    }
    let patience = Duration::from_millis(250);
    let mut admit = || quotas.admit(&customer, false, patience, ALONE, Time(0));
    assert_eq!(admit(), Ok(Duration::from_millis(100)));
    assert_eq!(admit(), Ok(Duration::from_millis(200)));
    assert_eq!(wait(admit()), Some(Duration::from_millis(300)));
    assert_eq!(wait(admit()), Some(Duration::from_millis(400)));
}
