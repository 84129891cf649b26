//! Detects periods in which the machine was suspended, and logs and counts them.

use std::time::Duration;

use clayplank_clock::{Suspensions, sleep, subscribe};

use crate::process::logging::log_target;

/// Interval of the check for suspensions. Each read of the clock detects a suspension too, and
/// most tasks read it more often. A wait that nothing else ends lasts at most this long after the
/// machine resumed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Checks for suspensions until the task is dropped.
pub(crate) async fn run_suspension_watch() {
    let mut suspensions = subscribe();
    let mut reported = *suspensions.borrow_and_update();
    loop {
        // `sleep` reads the clock and so detects a suspension.
        sleep(CHECK_INTERVAL).await;
        let now = *suspensions.borrow_and_update();
        if now.count > reported.count {
            log::warn!(target: log_target::DAEMON,
                span_ms = now.total.saturating_sub(reported.total).as_millis() as u64,
                times = now.count - reported.count;
                "The machine was suspended");
        }
        reported = now;
    }
}

/// Number and total length of suspensions, in the Prometheus text format.
pub(crate) fn suspension_metrics() -> String {
    let Suspensions { count, total } = *subscribe().borrow();
    let span_ms = total.as_millis();
    format!("clayplank_suspensions_total {count}\nclayplank_suspended_ms_total {span_ms}\n")
}
