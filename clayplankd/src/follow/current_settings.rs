//! Settings in force on this host, and the lease for which they may be used.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use clayplank_state::SettingsView;
use clayplank_types::HostId;

use crate::keepers::keeper_messages::WATCH_HOLD_MS;
use crate::process::clock::{millis, now_ms};
use crate::process::host_state::Host;
use crate::process::logging::log_target;

/// The newest settings, and the time of their last confirmation.
#[derive(Debug)]
pub(crate) struct CurrentSettings {
    view: ArcSwap<SettingsView>,
    /// Time, in ms, at which the last confirmation was requested, plus one; 0 before the first.
    confirmed_ms: AtomicU64,
    lease_ms: u64,
}

impl CurrentSettings {
    pub(crate) fn new(lease_ms: u64) -> Self {
        Self { view: ArcSwap::default(), confirmed_ms: AtomicU64::new(0), lease_ms }
    }

    /// The settings, if their last confirmation is within the lease.
    pub(crate) fn confirmed(&self) -> Option<Arc<SettingsView>> {
        self.is_confirmed().then(|| self.view.load_full())
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        let confirmed_ms = self.confirmed_ms.load(Ordering::SeqCst);
        confirmed_ms > 0 && now_ms() < confirmed_ms - 1 + self.lease_ms
    }

    /// The settings, confirmed or not, for operators.
    pub(crate) fn view(&self) -> Arc<SettingsView> {
        self.view.load_full()
    }
}

/// Keeps the settings up to date. The lease counts from the time at which the confirmation was
/// requested, not from its arrival: the answer may have been delayed on its way.
pub(crate) async fn run_settings_watch(host: Arc<Host>, local_host: HostId) {
    let current = &host.replicated_settings;
    let timeout = millis(WATCH_HOLD_MS + current.lease_ms);
    loop {
        let applied = current.view();
        let result = host.keepers.watch(&local_host, applied.revision(), timeout).await;
        let (mut delta, requested_ms) = match result {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(target: log_target::SETTINGS,
                    "The keepers did not confirm the settings: {error}");
                continue;
            }
        };
        if let Some(requests) = delta.held_back.take() {
            host.quarantine.set_quarantined(requests);
        }
        if !delta.items.is_empty() || delta.revision > applied.revision() {
            let mut next = SettingsView::clone(&applied);
            let (revision, count) = (delta.revision, delta.items.len());
            if let Err(error) = next.apply(delta) {
                log::error!(target: log_target::SETTINGS,
                    "Could not apply an update of the settings: {error}");
                continue;
            }
            log::info!(target: log_target::SETTINGS,
                "Applied revision {revision} of the settings, which changed {count} of them.");
            current.view.store(Arc::new(next));
        }
        current.confirmed_ms.store(requested_ms + 1, Ordering::SeqCst);
    }
}
