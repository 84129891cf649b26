//! Counters of the admission queue.

/// Counts since the start of the keeper, and current lengths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionStats {
    /// Requests that are queued now.
    pub queued: usize,
    /// Appointments that are open now.
    pub open_appointments: usize,
    /// Requests that were queued.
    pub queued_total: u64,
    /// Queued requests that were placed.
    pub placed_total: u64,
    /// Queued requests that were refused.
    pub refused_total: u64,
    /// Queued requests whose caller left or whose host did not renew them.
    pub abandoned_total: u64,
    /// Appointments that were made with reserved capacity.
    pub promised_total: u64,
    /// Those of them whose caller returned and was placed.
    pub kept_total: u64,
    /// Those of them whose caller returned and was refused.
    pub broken_total: u64,
    /// Those of them whose caller did not return.
    pub lapsed_total: u64,
    /// Requests that were refused a second time.
    pub refused_again_total: u64,
}
