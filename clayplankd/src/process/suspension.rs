//! Looks for times in which the machine was suspended, and tells of them.

use std::time::Duration;

use clayplank_clock::{Suspensions, sleep, subscribe};

use crate::process::logging::part;

/// Between two looks: whoever asks for the time finds a suspension too, and most do so more often.
/// Waits that nothing else ends go on for this long after the machine woke, in the worst case.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Looks for suspensions until the task is dropped.
pub(crate) async fn run_suspension_watch() {
    let mut found = subscribe();
    let mut told = *found.borrow_and_update();
    loop {
        // The wait itself looks at the time.
        sleep(LOOK_EVERY).await;
        let now = *found.borrow_and_update();
        if now.count > told.count {
            log::warn!(target: part::DAEMON,
                span_ms = now.span.saturating_sub(told.span).as_millis() as u64,
                times = now.count - told.count;
                "The machine was suspended");
        }
        told = now;
    }
}

/// Figures in the Prometheus text format.
pub(crate) fn suspension_figures() -> String {
    let Suspensions { count, span } = *subscribe().borrow();
    let span_ms = span.as_millis();
    format!("clayplank_suspensions_total {count}\nclayplank_suspended_ms_total {span_ms}\n")
}
