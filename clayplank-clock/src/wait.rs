//! Waits that end in time also where the machine was suspended meanwhile.
//!
//! A timer of the runtime lacks the time of a suspension: it fires that much too late. These look at
//! the time again as soon as a suspension is found.

use std::pin::pin;
use std::time::Duration;

use crate::instant::Instant;
use crate::suspension::subscribe;

/// The time was over first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits until a time.
pub async fn sleep_until(until: Instant) {
    let mut suspensions = subscribe();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => {}
            // The sender is never dropped.
            _ = suspensions.changed() => {}
        }
    }
}

/// Waits for a span.
pub async fn sleep(span: Duration) {
    sleep_until(Instant::now() + span).await;
}

/// Waits for a future, for a span at most.
///
/// # Errors
/// The time was over first.
pub async fn timeout<F: Future>(span: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + span, future).await
}

/// Waits for a future, up to a time.
///
/// # Errors
/// The time was over first.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    tokio::select! {
        biased;
        output = &mut future => Ok(output),
        () = sleep_until(until) => Err(Elapsed),
    }
}
