//! Readings and waits on a machine that is suspended.

use std::time::Duration;

use clayplank_clock::{Elapsed, Instant, now_ms, sleep, suspend, timeout_at};

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn a_suspension_counts_and_so_does_the_time_beside_it() {
    let (began, began_ms) = (Instant::now(), now_ms());
    tokio::time::advance(2 * SECOND).await;
    suspend(30 * SECOND);
    tokio::time::advance(SECOND).await;
    assert_eq!(began.elapsed(), 33 * SECOND);
    assert_eq!(now_ms() - began_ms, 33_000);
}

#[tokio::test(start_paused = true)]
async fn a_wait_is_over_as_soon_as_the_machine_wakes() {
    let awake = tokio::time::Instant::now();
    let waits = tokio::spawn(sleep(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    suspend(30 * SECOND);
    waits.await.ok();
    assert_eq!(awake.elapsed(), SECOND, "by the clock that stood still");
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_is_not_over_goes_on_for_what_is_left() {
    let awake = tokio::time::Instant::now();
    let waits = tokio::spawn(sleep(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    suspend(5 * SECOND);
    waits.await.ok();
    assert_eq!(awake.elapsed(), 5 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn a_time_limit_ends_what_takes_longer_and_nothing_else() {
    let until = Instant::now() + 10 * SECOND;
    assert_eq!(timeout_at(until, std::future::ready(7)).await, Ok(7));
    let waits = tokio::spawn(timeout_at(until, std::future::pending::<()>()));
    tokio::time::sleep(SECOND).await;
    suspend(9 * SECOND);
    assert!(matches!(waits.await, Ok(Err(Elapsed))));
}

#[test]
fn a_reading_never_goes_back() {
    let mut last = Instant::now();
    for _ in 0..100_000 {
        let next = Instant::now();
        assert!(next >= last);
        last = next;
    }
}

/// Other threads are suspended at other times: a machine that was not suspended finds none.
#[test]
fn a_machine_that_was_not_suspended_finds_no_suspension() {
    let began = std::time::Instant::now();
    let first = Instant::now();
    while began.elapsed() < Duration::from_millis(200) {
        Instant::now();
    }
    let own = first.elapsed();
    let std = began.elapsed();
    assert!(own <= std, "{own:?} {std:?}");
}
