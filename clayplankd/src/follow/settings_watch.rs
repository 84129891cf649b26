//! Settings in force on this host, and how long they may be used.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use clayplank_state::SettingsView;
use clayplank_types::HostId;

use crate::keepers::keeper_messages::WATCH_WAIT_MS;
use crate::process::clock::{millis, now_ms};
use crate::process::host::Host;
use crate::process::logging::part;

/// The newest settings, and when they were confirmed.
#[derive(Debug)]
pub(crate) struct CurrentSettings {
    view: ArcSwap<SettingsView>,
    /// When the confirmation was asked for, plus one; 0 before the first.
    confirmed_ms: AtomicU64,
    lease_ms: u64,
}

impl CurrentSettings {
    pub(crate) fn new(lease_ms: u64) -> Self {
        Self { view: ArcSwap::default(), confirmed_ms: AtomicU64::new(0), lease_ms }
    }

    /// The settings, if they were confirmed within the lease.
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

/// Follows the settings. The lease counts from when the keeper that confirmed
/// was asked, not from when its answer came: on the way it may have been held up.
pub(crate) async fn run_settings_watch(host: Arc<Host>, own: HostId) {
    let current = &host.current;
    let patience = millis(WATCH_WAIT_MS + current.lease_ms);
    loop {
        let applied = current.view();
        let watched = host.keepers.watch(&own, applied.revision(), patience).await;
        let (mut delta, asked_ms) = match watched {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(target: part::SETTINGS, "The settings are not confirmed: {error}.");
                continue;
            }
        };
        if let Some(held_back) = delta.held_back.take() {
            host.suspicion.set_held_back(held_back);
        }
        if !delta.items.is_empty() || delta.revision > applied.revision() {
            let mut next = SettingsView::clone(&applied);
            let (revision, count) = (delta.revision, delta.items.len());
            if let Err(stale) = next.apply(delta) {
                log::error!(target: part::SETTINGS, "Settings were not taken: {stale}.");
                continue;
            }
            log::info!(target: part::SETTINGS, "Revision {revision} is in force, {count} settings changed.");
            current.view.store(Arc::new(next));
        }
        current.confirmed_ms.store(asked_ms + 1, Ordering::SeqCst);
    }
}
