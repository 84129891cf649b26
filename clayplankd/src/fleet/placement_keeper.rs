//! Placement of prompts by a keeper: the load of the engines, the admission queue, and the
//! placements to replicate.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use clayplank_admission::{Admission, AdmissionStats};
use clayplank_clock::Instant;
use clayplank_placement::{
    Event, Fleet, PlacementId, PlacementOutcome, PlacementRequest, RunningPlacement,
};
use clayplank_registry::Record;
use clayplank_routes::PlanIndex;
use clayplank_turns::{AWAIT_HOLD_MS, Decision, Decisions, KeeperQueue};
use clayplank_types::{DataCentre, UpstreamId};
use tokio::sync::Notify;

use crate::fleet::decision_log::DecisionLog;
use crate::fleet::fleet_engines::{set_cordoned, set_engines, update_engines};
use crate::fleet::placement_replication::{PlacementReplicator, PlacementUpdates};
use crate::follow::leader_confirmation::RenewalsByIncarnation;
use crate::process::clock::{millis, monotonic_now_ms, now_ms};
use crate::process::lock::lock_ignoring_poison;

/// Interval at which the queue is examined without an event, while anything is queued, in ms.
const QUEUE_TICK_MS: u64 = 20;

/// Minimum time between two examinations, in ms. Hundreds of hosts report events every few ms, and
/// each examination blocks arrivals for its duration.
const MIN_EXAMINATION_INTERVAL_MS: u64 = 2;

/// Time for which a keeper that begins to place leaves the lists of another keeper's queue aside, in
/// ms. Hosts find a new leader some ms after its election. Within this time the deputy sends it the
/// placements that it knows: it learns of the new leader by a heartbeat, within 80 ms, and sends every
/// 20 ms. Without them, occupied slots would be given away.
pub(crate) const TAKE_OVER_MS: u64 = 150;

/// Minimum time between two such times, in ms, so that hosts which turn to this keeper one after the
/// other do not delay its decisions again and again.
const MIN_TAKE_OVER_INTERVAL_MS: u64 = 1_500;

/// The keeper no longer places, or the host has sent a newer call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallEnded;

/// Places prompts on engines, now or from the queue.
///
/// The locks of `replicator` and `log` are taken after that of `queue` where both are needed.
#[derive(Default)]
pub(crate) struct PlacementKeeper {
    queue: Mutex<KeeperQueue<Admission>>,
    replicator: Mutex<PlacementReplicator>,
    log: Mutex<DecisionLog>,
    /// Whether this keeper has led for [`TAKE_OVER_MS`].
    has_led: AtomicBool,
    /// Time until which lists of another keeper's queue are not queued here, in ms.
    collects_until_ms: AtomicU64,
    /// Notified when the queue may be able to decide: something was queued, or an event arrived.
    queue_changed: Notify,
}

impl PlacementKeeper {
    /// Decides on a prompt that arrives.
    pub(crate) fn place(&self, request: &PlacementRequest) -> PlacementOutcome {
        let now_ms = monotonic_now_ms();
        let mut queue = self.lock_queue();
        let outcome = queue.place(now_ms, request);
        match &outcome {
            PlacementOutcome::At(assignment) => {
                lock_ignoring_poison(&self.replicator).record_placement(request, assignment);
            }
            PlacementOutcome::Full { retry_after_ms } => {
                let fleet = queue.admission().fleet();
                let mut log = lock_ignoring_poison(&self.log);
                log.log_rejection(now_ms, fleet, request, *retry_after_ms);
            }
            PlacementOutcome::Queued { .. } => {
                let fleet = queue.admission().fleet();
                let mut log = lock_ignoring_poison(&self.log);
                log.log_queue_decision(now_ms, fleet, request, &outcome);
                self.queue_changed.notify_one();
            }
            PlacementOutcome::Soon { .. } => {}
        }
        outcome
    }

    /// Renews the queued requests of a host, and waits for a decision on any of its requests, for a
    /// short time.
    ///
    /// # Errors
    /// The call was replaced by a newer one, or the keeper stops placing.
    pub(crate) async fn await_turns(
        &self,
        host: u64,
        queued: &[PlacementRequest],
    ) -> Result<Decisions, CallEnded> {
        let hold_until = Instant::now() + millis(AWAIT_HOLD_MS);
        clayplank_clock::sleep(self.collection_delay(host, queued)).await;
        let mut decisions = {
            let now_ms = monotonic_now_ms();
            let mut queue = self.lock_queue();
            let call = {
                let replicator = lock_ignoring_poison(&self.replicator);
                queue.start_call(now_ms, host, queued, |id| replicator.recent_assignment(id))
            };
            self.record_sent(now_ms, &queue, &call.sent);
            call.decisions
        };
        self.queue_changed.notify_one();
        match clayplank_clock::timeout_at(hold_until, &mut decisions).await {
            Ok(answer) => answer.map_err(|_| CallEnded),
            Err(_) => {
                // Decisions that were sent before the close are still received; later ones are kept
                // for the next call.
                decisions.close();
                Ok(decisions.try_recv().unwrap_or_default())
            }
        }
    }

    /// Sets whether this keeper has led for [`TAKE_OVER_MS`].
    pub(crate) fn set_has_led(&self, has_led: bool) {
        self.has_led.store(has_led, Ordering::SeqCst);
    }

    /// Time for which a list waits before it is queued here: the rest of [`TAKE_OVER_MS`] after the
    /// first list of another keeper's queue.
    fn collection_delay(&self, host: u64, queued: &[PlacementRequest]) -> Duration {
        if self.has_led.load(Ordering::SeqCst) || self.lock_queue().knows_all(host, queued) {
            return Duration::ZERO;
        }
        let now_ms = now_ms();
        let mut until_ms = self.collects_until_ms.load(Ordering::SeqCst);
        if now_ms >= until_ms + MIN_TAKE_OVER_INTERVAL_MS {
            until_ms = now_ms + TAKE_OVER_MS;
            self.collects_until_ms.store(until_ms, Ordering::SeqCst);
        }
        millis(until_ms.saturating_sub(now_ms))
    }

    /// Decides what can be decided in the queue now.
    fn examine_queue(&self) {
        let now_ms = monotonic_now_ms();
        let mut queue = self.lock_queue();
        let sent = queue.advance(now_ms);
        self.record_sent(now_ms, &queue, &sent);
    }

    /// Replicates the placements among decisions that were sent to hosts, and logs all of them.
    fn record_sent(&self, now_ms: f64, queue: &KeeperQueue<Admission>, sent: &[Decision]) {
        for Decision { request, outcome } in sent {
            if let PlacementOutcome::At(assignment) = outcome {
                lock_ignoring_poison(&self.replicator).record_placement(request, assignment);
            }
            let fleet = queue.admission().fleet();
            lock_ignoring_poison(&self.log).log_queue_decision(now_ms, fleet, request, outcome);
        }
    }

    /// Records events of placements and of queued requests.
    pub(crate) fn record_events(&self, events: &[(PlacementId, Event)]) {
        lock_ignoring_poison(&self.replicator).record_events(events);
        let mut queue = self.lock_queue();
        for (id, event) in events {
            queue.apply_event(monotonic_now_ms(), *id, *event);
        }
        if queue.has_waiting() {
            self.queue_changed.notify_one();
        }
    }

    /// Adds placements that another keeper made, except those whose ends were reported here before.
    pub(crate) fn add_placements(&self, mut placed: Vec<RunningPlacement>) {
        {
            // A call that arrives before the queue knows them finds them here.
            let mut replicator = lock_ignoring_poison(&self.replicator);
            placed.retain(|one| !replicator.has_ended(one.ask.id));
            replicator.take_over(&placed);
        }
        self.lock_queue().take_over(monotonic_now_ms(), &placed);
    }

    /// Replaces the placements of each entry host incarnation in `renewals` by those it still runs. A
    /// list may be older than the report of an end; what has ended is not added again.
    pub(crate) fn renew_all(&self, mut renewals: RenewalsByIncarnation) {
        {
            let replicator = lock_ignoring_poison(&self.replicator);
            let placements = renewals.values_mut();
            placements.for_each(|list| list.retain(|one| !replicator.has_ended(one.ask.id)));
        }
        self.change_fleet(|fleet| {
            for (incarnation, placements) in &renewals {
                fleet.sync_host(monotonic_now_ms(), *incarnation, placements);
            }
        });
    }

    /// Removes and returns the placements known here, for the new leader, and drops the queue: the
    /// hosts send their lists to the keeper that places now.
    pub(crate) fn take_placements(&self) -> PlacementUpdates {
        self.lock_queue().forget();
        lock_ignoring_poison(&self.replicator).take_all()
    }

    /// Removes all placements if no update arrived recently. Called on keepers that do not lead. One
    /// whose queue is renewed by hosts stands in for the leader, also while no placement ends.
    pub(crate) fn clear_stale_placements(&self) {
        let is_current = lock_ignoring_poison(&self.replicator).is_current();
        if !is_current && !self.lock_queue().has_waiting() {
            self.take_placements();
        }
    }

    /// Drops placements of hosts that sent no report, and appointments whose callers did not come.
    pub(crate) fn drop_expired(&self) {
        self.change_fleet(|fleet| fleet.drop_expired(monotonic_now_ms()));
        self.examine_queue();
    }

    /// Placements and events to replicate to the keeper that may have to place prompts next.
    pub(crate) fn replicator(&self) -> &Mutex<PlacementReplicator> {
        &self.replicator
    }

    /// Replaces the engines.
    pub(crate) fn set_engines(&self, plan: &PlanIndex, records: &[Record]) {
        self.change_fleet(|fleet| set_engines(fleet, plan, records));
    }

    /// Adds or updates some of the engines.
    pub(crate) fn update_engines(&self, plan: &PlanIndex, records: &[Record]) {
        self.change_fleet(|fleet| update_engines(fleet, plan, records));
    }

    /// Excludes the engines of cordoned data centres.
    pub(crate) fn set_cordoned(&self, plan: &PlanIndex, cordoned: &BTreeSet<DataCentre>) {
        self.change_fleet(|fleet| set_cordoned(fleet, plan, cordoned));
    }

    /// Applies rate limits that engines named; `None` lifts one.
    pub(crate) fn set_declared_limits<'a>(
        &self,
        limits: impl IntoIterator<Item = (&'a UpstreamId, Option<f64>)>,
    ) {
        self.change_fleet(|fleet| {
            for (id, per_s) in limits {
                fleet.set_declared_limit(id, per_s);
            }
        });
    }

    /// Records heartbeats, after which unreachable engines are probed again.
    pub(crate) fn record_heartbeats<'a>(&self, ids: impl IntoIterator<Item = &'a UpstreamId>) {
        self.change_fleet(|fleet| {
            for id in ids {
                fleet.record_heartbeat(monotonic_now_ms(), id);
            }
        });
    }

    /// Records the pace that an engine reported.
    pub(crate) fn record_pace(&self, id: &UpstreamId, pace: f64) {
        self.change_fleet(|fleet| fleet.record_pace(monotonic_now_ms(), id, pace));
    }

    /// Records that a connection to an engine could not be established.
    pub(crate) fn record_unreachable(&self, id: &UpstreamId) {
        self.change_fleet(|fleet| fleet.record_unreachable(monotonic_now_ms(), id));
    }

    /// Removes and returns the engines that should be queried for a load report.
    pub(crate) fn take_engines_to_query(&self) -> Vec<UpstreamId> {
        self.change_fleet(|fleet| fleet.take_engines_to_query(monotonic_now_ms()))
    }

    fn change_fleet<T>(&self, change: impl FnOnce(&mut Fleet) -> T) -> T {
        change(self.lock_queue().admission_mut().fleet_mut())
    }

    fn lock_queue(&self) -> MutexGuard<'_, KeeperQueue<Admission>> {
        lock_ignoring_poison(&self.queue)
    }

    /// Waits until something may be decided. Without anything queued or promised, nothing ticks.
    async fn wait_for_examination(&self) {
        loop {
            let is_in_use = {
                let queue = self.lock_queue();
                queue.has_waiting() || queue.admission().stats().open_appointments > 0
            };
            if is_in_use {
                let tick = Duration::from_millis(QUEUE_TICK_MS);
                // Either way the queue is examined.
                clayplank_clock::timeout(tick, self.queue_changed.notified()).await.ok();
                return;
            }
            self.queue_changed.notified().await;
        }
    }

    /// Metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let (placed, unlisted, stats) = {
            let queue = self.lock_queue();
            let fleet = queue.admission().fleet();
            (fleet.placed_count(), fleet.unlisted_total(), *queue.admission().stats())
        };
        format!(
            "clayplank_keeper_placements {placed}\n\
             clayplank_keeper_unlisted_placements_total {unlisted}\n"
        ) + &queue_text(&stats)
    }
}

fn queue_text(stats: &AdmissionStats) -> String {
    let AdmissionStats {
        queued,
        open_appointments,
        queued_total,
        placed_total,
        refused_total,
        abandoned_total,
        promised_total,
        kept_total,
        broken_total,
        lapsed_total,
        refused_again_total,
    } = *stats;
    let counts = [
        ("queued", queued as u64),
        ("open_appointments", open_appointments as u64),
        ("queued_total", queued_total),
        ("queued_placed_total", placed_total),
        ("queued_refused_total", refused_total),
        ("queued_abandoned_total", abandoned_total),
        ("promised_total", promised_total),
        ("promises_kept_total", kept_total),
        ("promises_broken_total", broken_total),
        ("promises_lapsed_total", lapsed_total),
        ("refused_again_total", refused_again_total),
    ];
    let mut text = String::new();
    for (name, count) in counts {
        writeln!(text, "clayplank_keeper_{name} {count}").ok();
    }
    text
}

/// Examines the queue when events arrive, and at a short interval while anything is queued.
pub(crate) async fn run_queue(placement: Arc<PlacementKeeper>) {
    loop {
        placement.wait_for_examination().await;
        placement.examine_queue();
        clayplank_clock::sleep(millis(MIN_EXAMINATION_INTERVAL_MS)).await;
    }
}
