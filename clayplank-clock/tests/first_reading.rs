//! Readings by runtimes whose clocks began before the first reading of the process.

use std::time::Duration;

use clayplank_clock::{Instant, now_ms, sleep};

const SECOND: Duration = Duration::from_secs(1);

/// A runtime whose clock is paused at the current time.
fn paused_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().expect("a runtime without I/O")
}

/// Guards against readings that are cut off at the first one: the elapsed time was too short, and
/// waits too long, by as much as the other clock began earlier.
#[test]
fn a_clock_that_began_before_the_first_reading_counts_all_of_its_time() {
    let earlier = paused_runtime();
    std::thread::sleep(Duration::from_millis(3));
    paused_runtime().block_on(async { now_ms() });
    earlier.block_on(async {
        let (start, start_ms) = (Instant::now(), now_ms());
        let runtime_start = tokio::time::Instant::now();
        tokio::time::advance(2 * SECOND).await;
        assert_eq!(start.elapsed(), 2 * SECOND);
        assert_eq!(now_ms() - start_ms, 2_000);
        sleep(SECOND).await;
        assert_eq!(runtime_start.elapsed(), 3 * SECOND);
    });
}
