//! Order of calls in a target's queue.

use std::collections::VecDeque;

use coord::id::Customer;
use coord::id::Tokens;
use coord::time::Millis;
use coord::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use sched::Map;
use sched::policy::Order;
use sched::policy::Policy;
use sched::queue::Job;
use sched::queue::Queue;

const COST: u64 = 1_000;

fn customer(name: &str) -> Customer {
    name.parse().unwrap()
}

fn job(id: u64, name: &str, arrived: u64) -> Job {
    Job {
        id,
        customer: customer(name),
        weight: 1,
        program: None,
        attained: Tokens(0),
        cost: Tokens(COST),
        warm: false,
        arrived: Time(arrived),
    }
}

fn queue(order: Order, emphasis: f64) -> Queue {
    Queue::new(&Policy {
        order,
        emphasis,
        ..Policy::default()
    })
}

fn drain(queue: &mut Queue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(Time(0)))
        .map(|job| job.id)
        .collect()
}

#[test]
fn fifo_ignores_customer_attained_service_and_cache() {
    let mut queue = queue(Order::Fifo, 0.0);
    queue.push(
        Job {
            attained: Tokens(90_000),
            ..job(1, "large", 1)
        },
        Time(1),
    );
    queue.push(
        Job {
            warm: true,
            ..job(2, "small", 2)
        },
        Time(2),
    );
    queue.push(job(3, "large", 3), Time(3));
    assert_eq!(drain(&mut queue), [1, 2, 3]);
}

#[rstest]
#[case(Order::Fair)]
#[case(Order::Full)]
fn a_flood_of_one_customer_does_not_delay_another(#[case] order: Order) {
    let mut queue = queue(order, 0.0);
    for id in 0..100 {
        queue.push(job(id, "large", 0), Time(0));
    }
    queue.push(job(100, "small", 5), Time(5));
    let position = drain(&mut queue).iter().position(|id| *id == 100).unwrap();
    assert!(position <= 1, "served at place {position}");
}

#[test]
fn service_is_divided_in_proportion_to_the_weights() {
    let mut queue = queue(Order::Full, 0.0);
    for id in 0..300 {
        queue.push(
            Job {
                weight: 3,
                ..job(id, "heavy", 0)
            },
            Time(0),
        );
        queue.push(job(1_000 + id, "light", 0), Time(0));
    }
    let heavy = (0..200)
        .filter(|_| queue.pop(Time(0)).unwrap().weight == 3)
        .count();
    assert!((149..=151).contains(&heavy), "{heavy} of 200");
}

#[test]
fn an_idle_customer_accumulates_no_credit() {
    let mut queue = queue(Order::Fair, 0.0);
    queue.push(job(0, "idle", 0), Time(0));
    for id in 1..200 {
        queue.push(job(id, "busy", 0), Time(0));
    }
    for _ in 0..150 {
        queue.pop(Time(0));
    }
    for id in 300..340 {
        queue.push(job(id, "idle", 10), Time(10));
    }
    let first_ids: Vec<u64> = (0..20).map(|_| queue.pop(Time(10)).unwrap().id).collect();
    let idle = first_ids.iter().filter(|id| **id >= 300).count();
    assert!((9..=11).contains(&idle), "{idle} of 20");
}

#[test]
fn a_customer_with_one_queued_call_at_a_time_gets_no_more_than_its_share() {
    const SLOTS: usize = 16;
    const CALLS: u64 = 400;
    let mut queue = queue(Order::Full, 0.0);
    for id in 0..CALLS {
        queue.push(job(id, "backlogged", 0), Time(0));
    }
    let mut running = VecDeque::new();
    let mut greedy = 0;
    queue.push(job(CALLS, "greedy", 0), Time(0));
    for id in 1..=CALLS {
        let call = queue.pop(Time(id)).unwrap();
        if call.customer == customer("greedy") {
            greedy += 1;
            queue.push(job(CALLS + id, "greedy", id), Time(id));
        }
        running.push_back(call.customer);
        if running.len() == SLOTS {
            let ended = running.pop_front().unwrap();
            queue.settle(&ended, Tokens(COST), Tokens(COST));
        }
    }
    let share = greedy * 100 / CALLS;
    assert!((45..=55).contains(&share), "{share} % of the calls");
}

#[test]
fn settle_charges_the_cost_above_the_estimate() {
    let mut queue = queue(Order::Fair, 0.0);
    queue.push(job(0, "under", 0), Time(0));
    queue.push(job(1, "exact", 0), Time(0));
    queue.pop(Time(0));
    queue.pop(Time(0));
    queue.settle(&customer("under"), Tokens(COST), Tokens(6 * COST));
    for id in 10..20 {
        queue.push(job(id, "under", 1), Time(1));
        queue.push(job(id + 10, "exact", 1), Time(1));
    }
    let first_ids: Vec<u64> = (0..5).map(|_| queue.pop(Time(1)).unwrap().id).collect();
    assert!(first_ids.iter().all(|id| *id >= 20), "{first_ids:?}");
}

#[test]
fn the_least_attained_program_goes_first_within_a_customer() {
    let mut queue = queue(Order::Full, 0.0);
    queue.push(
        Job {
            attained: Tokens(50_000),
            ..job(1, "one", 0)
        },
        Time(0),
    );
    queue.push(
        Job {
            attained: Tokens(100),
            ..job(2, "one", 0)
        },
        Time(0),
    );
    assert_eq!(drain(&mut queue), [2, 1]);
}

#[test]
fn a_long_program_goes_before_a_new_one_after_a_long_wait() {
    let mut queue = queue(Order::Full, 0.0);
    queue.push(
        Job {
            attained: Tokens(50_000),
            ..job(1, "one", 0)
        },
        Time(0),
    );
    let later = 60_000;
    queue.push(job(2, "one", later), Time(later));
    assert_eq!(drain(&mut queue), [1, 2]);
}

#[test]
fn a_program_with_a_cache_on_the_target_goes_first_among_equals() {
    let mut queue = queue(Order::Full, 0.0);
    queue.push(job(1, "one", 0), Time(0));
    queue.push(
        Job {
            warm: true,
            ..job(2, "one", 1)
        },
        Time(1),
    );
    assert_eq!(drain(&mut queue), [2, 1]);
}

#[rstest]
#[case::worst_served_first(0.0, [2, 1])]
#[case::program_latency_first(1.0, [1, 2])]
fn emphasis_selects_between_fairness_and_program_latency(
    #[case] emphasis: f64,
    #[case] expected: [u64; 2],
) {
    let mut queue = queue(Order::Full, emphasis);
    queue.push(job(0, "served", 0), Time(0));
    queue.pop(Time(0));
    queue.push(job(1, "served", 0), Time(0));
    queue.push(
        Job {
            attained: Tokens(80_000),
            ..job(2, "unserved", 0)
        },
        Time(0),
    );
    assert_eq!(drain(&mut queue), expected);
}

#[test]
fn removed_and_replaced_calls_are_served_once() {
    let mut queue = queue(Order::Full, 0.5);
    queue.push(job(1, "one", 0), Time(0));
    queue.push(job(2, "one", 0), Time(0));
    queue.push(
        Job {
            cost: Tokens(7),
            ..job(2, "two", 0)
        },
        Time(0),
    );
    assert_eq!(queue.tokens(), Tokens(COST + 7));
    assert_eq!(queue.remove(1).map(|job| job.id), Some(1));
    assert_eq!(queue.remove(1), None);
    assert_eq!(drain(&mut queue), [2]);
    assert_eq!((queue.len(), queue.tokens()), (0, Tokens(0)));
}

#[test]
fn idle_customers_are_evicted() {
    let mut queue = queue(Order::Full, 0.0);
    for id in 0..20_000 {
        queue.push(job(id, &format!("c{id}"), id), Time(id));
        queue.pop(Time(id));
    }
    assert!(queue.customers() <= 2_048, "{}", queue.customers());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn backlogged_customers_receive_equal_service_within_the_cost_of_one_call(costs in prop::collection::vec(1u64..5_000, 20..80)) {
        let mut queue = queue(Order::Full, 0.0);
        for (id, cost) in costs.iter().enumerate() {
            let id = 2 * id as u64;
            queue.push(Job { cost: Tokens(*cost), ..job(id, "a", 0) }, Time(0));
            queue.push(Job { cost: Tokens(5_001 - *cost), ..job(id + 1, "b", 0) }, Time(0));
        }
        let mut waiting: Map<Customer, usize> = Map::default();
        waiting.insert(customer("a"), costs.len());
        waiting.insert(customer("b"), costs.len());
        let mut served: Map<Customer, u64> = Map::default();
        while waiting.values().all(|count| *count > 0) {
            let job = queue.pop(Time(0)).unwrap();
            *waiting.get_mut(&job.customer).unwrap() -= 1;
            *served.entry(job.customer).or_default() += job.cost.0;
        }
        let service = |name| served.get(&customer(name)).copied().unwrap_or(0);
        prop_assert!(service("a").abs_diff(service("b")) <= 5_001);
    }

    #[test]
    fn every_call_that_is_pushed_and_not_removed_is_popped_exactly_once(
        order in prop::sample::select(vec![Order::Fifo, Order::Fair, Order::Full]),
        steps in prop::collection::vec((0u8..4, 0u64..40, 0u8..3, 0u64..9_000), 1..200),
    ) {
        let mut queue = queue(order, 0.3);
        let mut expected: Map<u64, u64> = Map::default();
        for (step, (kind, id, customer_number, size)) in steps.into_iter().enumerate() {
            let now = Time(step as u64);
            match kind {
                0 | 1 => {
                    let cost = Tokens(size);
                    queue.push(Job { cost, ..job(id, &format!("c{customer_number}"), now.0) }, now);
                    expected.insert(id, size);
                }
                2 => {
                    let removed = queue.remove(id).map(|job| job.id);
                    prop_assert_eq!(removed, expected.remove(&id).map(|_| id));
                }
                _ => match queue.pop(now) {
                    Some(job) => prop_assert!(expected.remove(&job.id).is_some()),
                    None => prop_assert!(expected.is_empty()),
                },
            }
            queue.settle(&customer(&format!("c{customer_number}")), Tokens(size), Tokens(size / 2));
            prop_assert_eq!(queue.len(), expected.len());
            prop_assert_eq!(queue.tokens().0, expected.values().sum::<u64>());
        }
    }
}

#[test]
fn without_ageing_calls_are_ordered_by_arrival() {
    let mut queue = Queue::new(&Policy {
        ageing: Millis(0),
        ..Policy::default()
    });
    queue.push(
        Job {
            attained: Tokens(50_000),
            ..job(1, "one", 0)
        },
        Time(0),
    );
    queue.push(job(2, "one", 1), Time(1));
    assert_eq!(drain(&mut queue), [1, 2]);
}
