//! Elapsed time that counts while the machine is suspended, and waits by it.
//!
//! The runtime's clock is steady: it stands still while the machine is suspended, and others go on
//! meanwhile. A lease that is measured by it holds for too long after the machine wakes, and so does
//! all that compares two of its readings. [`Instant`] adds what the system's clocks tell of the
//! time in between; it never goes back. Tests that pause and advance the runtime's clock move it too.
//!
//! ```
//! use std::time::Duration;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let until = clayplank_clock::Instant::now() + Duration::from_millis(5);
//! let never = std::future::pending::<()>();
//! assert!(clayplank_clock::timeout_at(until, never).await.is_err());
//! # }
//! ```

mod instant;
mod suspension;
mod wait;

pub use instant::{Instant, now_ms};
#[cfg(feature = "test-util")]
pub use suspension::suspend;
pub use suspension::{Suspensions, subscribe};
pub use wait::{Elapsed, sleep, sleep_until, timeout, timeout_at};
