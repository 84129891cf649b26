//! Timestamps and waits while the machine is suspended.

use std::time::Duration;

use clayplank_clock::{Elapsed, Instant, now_ms, simulate_suspension, sleep, timeout_at};

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn elapsed_time_includes_suspensions_and_running_time() {
    let (start, start_ms) = (Instant::now(), now_ms());
    tokio::time::advance(2 * SECOND).await;
    simulate_suspension(30 * SECOND);
    tokio::time::advance(SECOND).await;
    assert_eq!(start.elapsed(), 33 * SECOND);
    assert_eq!(now_ms() - start_ms, 33_000);
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_when_the_machine_resumes_after_its_deadline() {
    let runtime_start = tokio::time::Instant::now();
    let task = tokio::spawn(sleep(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    simulate_suspension(30 * SECOND);
    task.await.ok();
    assert_eq!(runtime_start.elapsed(), SECOND, "by the runtime's clock, which stopped");
}

#[tokio::test(start_paused = true)]
async fn a_wait_continues_for_the_remaining_time_after_a_suspension() {
    let runtime_start = tokio::time::Instant::now();
    let task = tokio::spawn(sleep(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    simulate_suspension(5 * SECOND);
    task.await.ok();
    assert_eq!(runtime_start.elapsed(), 5 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn a_timeout_ends_only_futures_that_take_longer() {
    let deadline = Instant::now() + 10 * SECOND;
    assert_eq!(timeout_at(deadline, std::future::ready(7)).await, Ok(7));
    let task = tokio::spawn(timeout_at(deadline, std::future::pending::<()>()));
    tokio::time::sleep(SECOND).await;
    simulate_suspension(9 * SECOND);
    assert!(matches!(task.await, Ok(Err(Elapsed))));
}

#[test]
fn readings_never_decrease() {
    let mut last = Instant::now();
    for _ in 0..100_000 {
        let next = Instant::now();
        assert!(next >= last);
        last = next;
    }
}

/// Simulated suspensions apply to one thread each, so this thread must not detect any.
#[test]
fn no_suspension_is_detected_on_a_running_machine() {
    let start = std::time::Instant::now();
    let first = Instant::now();
    while start.elapsed() < Duration::from_millis(200) {
        Instant::now();
    }
    let measured = first.elapsed();
    let std = start.elapsed();
    assert!(measured <= std, "{measured:?} {std:?}");
}
