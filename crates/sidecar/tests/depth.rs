//! Queue depth reported by a sidecar.

use coord::id::Tokens;
use coord::time::Time;
use sched::policy::Policy;
use sched::queue::Job;
use sidecar::clock::Clock;
use sidecar::queue::Queue;

fn job(cost: u64) -> Job {
    Job {
        id: 0,
        customer: "large".parse().expect("a name"),
        weight: 1,
        program: None,
        attained: Tokens(0),
        cost: Tokens(cost),
        warm: false,
        arrived: Time(0),
    }
}

#[tokio::test]
async fn a_running_prompt_counts_as_waiting_until_its_first_token() {
    let queue = Queue::new(&Policy::default(), 1, 8, Clock::start());
    let mut running = queue
        .enqueue(job(5_000), Tokens(4_000), false)
        .expect("room");
    let permit = running.permit().await;
    let _waiting = queue.enqueue(job(700), Tokens(600), false).expect("room");
    assert_eq!(queue.depth().queued_tokens, Tokens(4_700));
    permit.mark_prefilled();
    assert_eq!(queue.depth().queued_tokens, Tokens(700));
    drop(permit);
    assert_eq!(queue.depth().running_tokens, Tokens(700));
}
