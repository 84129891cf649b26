//! Elapsed time that includes suspensions of the machine, and waits based on it.
//!
//! The runtime's clock is monotonic, but it stops while the machine is suspended, whereas other
//! machines continue. A lease measured by it is held for too long after the machine resumes, and
//! any other comparison of two of its readings is wrong in the same way. [`Instant`] adds the time
//! of suspensions, which it derives from two system clocks; it never decreases. Tests that pause
//! and advance the runtime's clock affect it too.
//!
//! ```
//! use std::time::Duration;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let deadline = clayplank_clock::Instant::now() + Duration::from_millis(5);
//! let never = std::future::pending::<()>();
//! assert!(clayplank_clock::timeout_at(deadline, never).await.is_err());
//! # }
//! ```

mod instant;
mod suspension;
mod wait;

pub use instant::{Instant, now_ms};
#[cfg(feature = "test-util")]
pub use suspension::simulate_suspension;
pub use suspension::{Suspensions, subscribe};
pub use wait::{Elapsed, sleep, sleep_until, timeout, timeout_at};
