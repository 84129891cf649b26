//! Upstreams known to this host, and the choice of an upstream for plain services (those without
//! model engines).

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_placement::{ColdStart, HostShare, RateLimit};
use clayplank_registry::{
    Buckets, Digest, Heartbeat, LimitObservation, LimitUpdateResult, Limits, Record,
    UpstreamStatus, incarnation_ids,
};
use clayplank_routes::ServingPlan;
use clayplank_types::{DataCentre, UpstreamId};
use tokio::sync::watch;

use crate::availability::Unavailability;
use crate::clock::now_ms;
use crate::upstream_stats::UpstreamStats;

/// Latency added to upstreams in another data centre when upstreams are compared, in ms.
const REMOTE_PENALTY_MS: f64 = 5.0;

/// Time for which a departed upstream is remembered, in ms; far longer than updates about it may be
/// delayed.
const TOMBSTONE_RETENTION_MS: u64 = 120_000;

/// An upstream chosen for a request to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The request has been counted at this upstream.
    Counted(Record),
    /// The upstream has a rate limit: the request has to wait for a permit.
    NeedsPermit(Record),
}

impl Choice {
    /// Record of the chosen upstream.
    pub fn record(&self) -> &Record {
        match self {
            Self::Counted(record) | Self::NeedsPermit(record) => record,
        }
    }
}

/// State behind the lock of a [`Directory`].
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) records: BTreeMap<UpstreamId, Record>,
    /// Times at which this host learned that upstreams had departed, in ms.
    departed_at_ms: HashMap<UpstreamId, u64>,
    /// Upstreams replaced by another incarnation with their name, or by another upstream at their
    /// address: they no longer run anything. An upstream that has only departed may finish its
    /// requests.
    replaced: HashSet<UpstreamId>,
    pub(crate) stats: HashMap<UpstreamId, UpstreamStats>,
    /// Upstreams that stated that they want no requests from this host.
    pub(crate) unavailable: HashMap<UpstreamId, Unavailability>,
    /// Data centres whose upstreams receive no requests.
    cordoned: BTreeSet<DataCentre>,
    /// Limits on requests to cold upstreams (those that have just started), by service.
    cold_starts: HashMap<String, ColdStart>,
    /// Rate limits that upstreams have declared.
    limits: Limits,
    /// Share of this host in the requests that upstreams accept while they are cold or
    /// rate-limited.
    share: HostShare,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            departed_at_ms: HashMap::new(),
            replaced: HashSet::new(),
            stats: HashMap::new(),
            unavailable: HashMap::new(),
            cordoned: BTreeSet::new(),
            cold_starts: HashMap::new(),
            limits: Limits::new(rand::random()),
            share: HostShare { seed: rand::random(), hosts: 1 },
        }
    }
}

impl Inner {
    /// Applies a record unless its upstream has departed or a newer record is known. Appends all
    /// records changed by it to `changed`.
    fn apply_record(&mut self, record: Record, changed: &mut Vec<Record>) {
        let id = record.heartbeat.id.clone();
        let departs = record.heartbeat.standing == UpstreamStatus::Gone;
        if let Some(known) = self.records.get(&id) {
            let is_departed = known.heartbeat.standing == UpstreamStatus::Gone;
            let is_older = record.heartbeat.sequence < known.heartbeat.sequence;
            if is_departed || (is_older && !departs) {
                return;
            }
        }
        if departs {
            self.departed_at_ms.insert(id.clone(), now_ms());
        } else if self.has_later_incarnation(&record.heartbeat) {
            return;
        } else {
            changed.extend(self.end_former_incarnations(&record.heartbeat));
        }
        let cold_left_ms = record.heartbeat.cold_left_ms as f64;
        if cold_left_ms > 0.0 {
            self.stats
                .entry(id.clone())
                .or_default()
                .rate_limit
                .record_cold(now_ms() as f64, cold_left_ms);
        }
        self.records.insert(id, record.clone());
        self.mark_replaced(&record.heartbeat);
        changed.push(record);
    }

    /// Whether an upstream accepts new work.
    pub(crate) fn accepts_work(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.standing == UpstreamStatus::Ready
            && !self.cordoned.contains(&heartbeat.data_centre)
            && !self.is_leaving(&heartbeat.id)
    }

    /// Whether an upstream is known and accepts new work.
    fn is_accepting(&self, id: &UpstreamId) -> bool {
        self.records.get(id).is_some_and(|record| self.accepts_work(&record.heartbeat))
    }

    /// Heartbeats of the incarnations of an upstream that have not departed.
    fn running_incarnations(&self, name: &str) -> impl Iterator<Item = &Heartbeat> {
        let without_start = self.records.get(&UpstreamId::new(name));
        let with_start = self.records.range(incarnation_ids(name)).map(|(_, record)| record);
        let incarnations =
            without_start.into_iter().chain(with_start).map(|record| &record.heartbeat);
        incarnations.filter(|one| one.standing != UpstreamStatus::Gone)
    }

    fn has_later_incarnation(&self, heartbeat: &Heartbeat) -> bool {
        self.running_incarnations(&heartbeat.name).any(|one| one.born_ms > heartbeat.born_ms)
    }

    /// Marks earlier incarnations of an upstream as departed and returns their records. A keeper
    /// that has just become leader may know the later incarnation only, and would never report that
    /// the earlier ones have ended.
    fn end_former_incarnations(&mut self, later: &Heartbeat) -> Vec<Record> {
        let incarnations = self.running_incarnations(&later.name);
        let former: Vec<_> = incarnations
            .filter(|one| one.born_ms < later.born_ms)
            .map(|one| one.id.clone())
            .collect();
        let mut ended = Vec::new();
        for id in former {
            self.departed_at_ms.insert(id.clone(), now_ms());
            self.replaced.insert(id.clone());
            if let Some(record) = self.records.get_mut(&id) {
                record.heartbeat.standing = UpstreamStatus::Gone;
                ended.push(record.clone());
            }
        }
        ended
    }

    /// Marks upstreams as replaced after a record has changed: those that have departed and whose
    /// address is used by another upstream that is ready. A late record of an earlier incarnation
    /// replaces nothing.
    fn mark_replaced(&mut self, changed: &Heartbeat) {
        let is_in_place = |one: &Heartbeat| one.address == changed.address && one.id != changed.id;
        match changed.standing {
            UpstreamStatus::Gone => {
                let mut others = self.records.values().map(|record| &record.heartbeat);
                if others.any(|one| one.standing == UpstreamStatus::Ready && is_in_place(one)) {
                    self.replaced.insert(changed.id.clone());
                }
            }
            UpstreamStatus::Ready => {
                // Departed upstreams are few, whereas the records of all upstreams may arrive at
                // once.
                let departed = self.departed_at_ms.keys().filter_map(|id| self.records.get(id));
                let departed = departed.map(|record| &record.heartbeat);
                let former = departed.filter(|one| is_in_place(one)).map(|one| one.id.clone());
                self.replaced.extend(former);
            }
            UpstreamStatus::Draining => {}
        }
    }

    /// Rate limit of an upstream, which applies while it is cold or has declared a limit.
    fn rate_limit(&self, heartbeat: &Heartbeat) -> RateLimit {
        let stats = self.stats.get(&heartbeat.id);
        let mut rate_limit = stats.map(|stats| stats.rate_limit).unwrap_or_default();
        let start = self.cold_starts.get(&heartbeat.service);
        rate_limit.set_cold_limit(start.map_or(0.0, |start| start.requests_per_s));
        rate_limit.set_declared_limit(self.limits.limit_per_s(&heartbeat.id));
        rate_limit
    }

    /// Whether an upstream accepts one more request from this host without a permit.
    fn accepts_without_permit(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        self.rate_limit(heartbeat).may_send_without_permit(
            now_ms as f64,
            &heartbeat.id,
            &self.share,
        )
    }

    /// Whether a request needs a permit for an upstream: the upstream has declared a limit and is not
    /// cold. The leader grants permits to all hosts; while an upstream is cold, each host uses its
    /// share of the limit instead.
    pub(crate) fn needs_permit(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        let is_limited = self.limits.limit_per_s(&heartbeat.id).is_some();
        is_limited && !self.rate_limit(heartbeat).is_cold(now_ms as f64)
    }

    /// Whether an upstream may accept one more request from this host.
    fn may_accept(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        if self.backoff_left_ms(now_ms, &heartbeat.id) > 0 {
            return false;
        }
        if self.needs_permit(now_ms, heartbeat) {
            let stats = self.stats.get(&heartbeat.id);
            stats.is_none_or(|stats| stats.next_permit_ms <= now_ms)
        } else {
            self.accepts_without_permit(now_ms, heartbeat)
        }
    }

    /// Counts a request at an upstream.
    fn count_request(&mut self, now_ms: u64, id: &UpstreamId) {
        let stats = self.stats.entry(id.clone()).or_default();
        stats.in_flight += 1;
        stats.rate_limit.record_sent_without_permit(now_ms as f64);
    }

    /// Removes upstreams that departed long ago, and their statistics.
    fn remove_departed(&mut self, now_ms: u64) {
        let Self { records, departed_at_ms, replaced, stats, unavailable, limits, .. } = self;
        departed_at_ms.retain(|id, departed_at_ms| {
            let is_kept = now_ms < *departed_at_ms + TOMBSTONE_RETENTION_MS;
            if !is_kept {
                records.remove(id);
                replaced.remove(id);
                stats.remove(id);
            }
            is_kept
        });
        unavailable.retain(|id, one| records.contains_key(id) && one.is_in_force(now_ms));
        limits.expire(now_ms, |id| records.contains_key(id));
    }
}

/// Records of upstreams by id.
#[derive(Debug, Default)]
pub struct Directory {
    inner: Mutex<Inner>,
    /// Notified whenever an upstream has been replaced.
    replaced: watch::Sender<()>,
    /// Notified whenever an upstream may have stopped accepting work.
    stopped_accepting: watch::Sender<()>,
}

impl Directory {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changed records and returns those that have changed here. A complete list does not
    /// remove upstreams that it lacks: a keeper that has just started knows fewer than this host.
    pub fn apply(&self, records: Vec<Record>) -> Vec<Record> {
        let mut inner = self.lock();
        let mut changed = Vec::new();
        let known_replaced = inner.replaced.len();
        records.into_iter().for_each(|record| inner.apply_record(record, &mut changed));
        let is_one_replaced = inner.replaced.len() > known_replaced;
        inner.remove_departed(now_ms());
        drop(inner);
        if is_one_replaced {
            self.replaced.send_replace(());
        }
        if changed.iter().any(|record| record.heartbeat.standing != UpstreamStatus::Ready) {
            self.notify_stopped_accepting();
        }
        changed
    }

    /// Has those that wait for an upstream to stop accepting work look again.
    pub(crate) fn notify_stopped_accepting(&self) {
        self.stopped_accepting.send_replace(());
    }

    /// Waits until an upstream accepts no new work, whatever it accepts from this host meanwhile.
    pub(crate) async fn wait_until_not_accepting(&self, id: &UpstreamId) {
        self.wait_while(&self.stopped_accepting, |inner| inner.is_accepting(id)).await;
    }

    /// Waits until no upstream at an address accepts new work.
    pub(crate) async fn wait_until_none_accepting(&self, address: SocketAddr) {
        let is_one_accepting =
            |inner: &Inner| inner.running_at(address).any(|id| inner.is_accepting(id));
        self.wait_while(&self.stopped_accepting, is_one_accepting).await;
    }

    /// Waits until an upstream has been replaced, after which its requests get no answer.
    pub async fn wait_until_replaced(&self, id: &UpstreamId) {
        self.wait_while(&self.replaced, |inner| !inner.replaced.contains(id)).await;
    }

    /// Waits until a condition no longer holds, which is checked at each notification.
    async fn wait_while(&self, notifications: &watch::Sender<()>, is_so: impl Fn(&Inner) -> bool) {
        let mut notifications = notifications.subscribe();
        while is_so(&self.lock()) {
            // The sender lives as long as the directory.
            if notifications.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Digest of all records, by which two hosts find out where their records differ.
    pub fn digest(&self) -> Digest {
        Digest::of(self.lock().records.values())
    }

    /// Heartbeats of the upstreams in the given buckets of the digest.
    pub fn heartbeats_in(&self, buckets: Buckets) -> Vec<Heartbeat> {
        let inner = self.lock();
        let heartbeats = inner.records.values().map(|record| &record.heartbeat);
        heartbeats.filter(|one| buckets.contains(&one.id)).cloned().collect()
    }

    /// Records that an id is no longer valid: another incarnation responded at its address.
    pub fn record_replaced(&self, id: &UpstreamId) {
        let mut inner = self.lock();
        if let Some(record) = inner.records.get_mut(id) {
            record.heartbeat.standing = UpstreamStatus::Gone;
            inner.departed_at_ms.insert(id.clone(), now_ms());
            inner.replaced.insert(id.clone());
        }
        drop(inner);
        self.replaced.send_replace(());
        self.notify_stopped_accepting();
    }

    /// Whether an incarnation has departed, or is unknown, and another upstream of its service,
    /// with its name or at its address, is ready.
    pub fn has_successor(&self, former: &Heartbeat) -> bool {
        let inner = self.lock();
        let has_departed = inner
            .records
            .get(&former.id)
            .is_none_or(|record| record.heartbeat.standing == UpstreamStatus::Gone);
        let follows = |one: &Heartbeat| {
            let is_in_place = one.name == former.name || one.address == former.address;
            one.id != former.id
                && one.service == former.service
                && one.standing == UpstreamStatus::Ready
                && is_in_place
        };
        has_departed && inner.records.values().any(|record| follows(&record.heartbeat))
    }

    /// Record of an upstream, whether or not it accepts work.
    pub fn record(&self, id: &UpstreamId) -> Option<Record> {
        self.lock().records.get(id).cloned()
    }

    /// Record of an upstream that accepts new work from this host now.
    pub fn usable_record(&self, id: &UpstreamId) -> Option<Record> {
        let now_ms = now_ms();
        let inner = self.lock();
        let is_usable = |record: &&Record| {
            inner.accepts_work(&record.heartbeat) && inner.backoff_left_ms(now_ms, id) == 0
        };
        inner.records.get(id).filter(is_usable).cloned()
    }

    /// Whether an upstream is in a cordoned data centre.
    pub fn is_cordoned(&self, id: &UpstreamId) -> bool {
        let inner = self.lock();
        let record = inner.records.get(id);
        record.is_some_and(|record| inner.cordoned.contains(&record.heartbeat.data_centre))
    }

    /// Sets the data centres whose upstreams receive no requests. Upstreams whose cordon is lifted
    /// are treated as cold for as long as after a start, because they may have become cold in the
    /// meantime.
    pub fn set_cordoned(&self, cordoned: BTreeSet<DataCentre>) {
        let now_ms = now_ms() as f64;
        let mut inner = self.lock();
        let Inner { records, stats, cordoned: former, cold_starts, .. } = &mut *inner;
        for (id, Record { heartbeat, .. }) in records {
            let is_uncordoned = former.contains(&heartbeat.data_centre)
                && !cordoned.contains(&heartbeat.data_centre);
            if let Some(start) = cold_starts.get(&heartbeat.service).filter(|_| is_uncordoned) {
                let lasts_ms = start.lasts_ms as f64;
                stats.entry(id.clone()).or_default().rate_limit.record_cold(now_ms, lasts_ms);
            }
        }
        *former = cordoned;
        drop(inner);
        self.notify_stopped_accepting();
    }

    /// Sets the limits on requests to cold upstreams from the serving plan.
    pub fn set_cold_starts(&self, plan: &ServingPlan) {
        let services = plan.services.iter();
        let starts =
            services.filter_map(|service| Some((service.name.clone(), service.cold_start?)));
        self.lock().cold_starts = starts.collect();
    }

    /// Sets the number of hosts that send requests to cold upstreams.
    pub fn set_hosts(&self, hosts: u64) {
        self.lock().share.hosts = hosts;
    }

    /// Latest incarnation of the upstream with this name or address.
    pub fn find(&self, name: &str) -> Option<UpstreamId> {
        let inner = self.lock();
        let address = name.parse().ok();
        let is_named = |heartbeat: &&Heartbeat| {
            let is_at =
                heartbeat.standing != UpstreamStatus::Gone && address == Some(heartbeat.address);
            heartbeat.name == name || is_at
        };
        let heartbeats = inner.records.values().map(|record| &record.heartbeat);
        let newest = heartbeats.filter(is_named).max_by_key(|one| one.born_ms)?;
        Some(newest.id.clone())
    }

    /// All records, including those of departed upstreams that are still remembered.
    pub fn records(&self) -> Vec<Record> {
        self.lock().records.values().cloned().collect()
    }

    /// Shortest expected time of an answer of a plain service; 0 if none has answered yet.
    pub(crate) fn expected_answer(&self, service: &str) -> Duration {
        let now_ms = now_ms();
        let inner = self.lock();
        let of_service =
            inner.records.values().filter(|record| record.heartbeat.service == service);
        let expected_ms = of_service.filter_map(|record| {
            let stats = inner.stats.get(&record.heartbeat.id)?;
            Some(stats.expected_ms(record.heartbeat.slots, now_ms))
        });
        let shortest_ms = expected_ms.min_by(f64::total_cmp).unwrap_or_default();
        Duration::from_millis(shortest_ms as u64)
    }

    /// The longest of the recent answers of a plain service; 0 if none has answered yet.
    pub(crate) fn longest_answer(&self, service: &str) -> Duration {
        let now_ms = now_ms();
        let inner = self.lock();
        let of_service =
            inner.records.values().filter(|record| record.heartbeat.service == service);
        let answers_ms = of_service
            .filter_map(|record| Some(inner.stats.get(&record.heartbeat.id)?.longest_ms(now_ms)));
        Duration::from_millis(answers_ms.fold(0.0, f64::max) as u64)
    }

    /// Chooses an upstream of a plain service. The request is counted there at once unless it needs
    /// a permit.
    pub fn choose(
        &self,
        service: &str,
        local: &DataCentre,
        excluded: &[UpstreamId],
    ) -> Option<Choice> {
        let now_ms = now_ms();
        let mut inner = self.lock();
        let stats = &inner.stats;
        let cost = |record: &Record| {
            let stats = stats.get(&record.heartbeat.id).cloned().unwrap_or_default();
            let is_cold = inner.rate_limit(&record.heartbeat).is_cold(now_ms as f64);
            let remote_ms =
                if record.heartbeat.data_centre == *local { 0.0 } else { REMOTE_PENALTY_MS };
            // An upstream whose heartbeats are missing may have failed: it is chosen only if there
            // is no other.
            let is_avoided = stats.is_avoided(now_ms) || record.is_silent;
            (is_avoided, is_cold, stats.expected_ms(record.heartbeat.slots, now_ms) + remote_ms)
        };
        let fit = inner.records.values().filter(|record| {
            let heartbeat = &record.heartbeat;
            heartbeat.service == service
                && inner.accepts_work(heartbeat)
                && !excluded.contains(&heartbeat.id)
                && inner.may_accept(now_ms, heartbeat)
        });
        let best = fit
            .map(|record| (cost(record), record))
            .min_by(
                |((left_avoided, left_cold, left), _), ((right_avoided, right_cold, right), _)| {
                    let rank = left_avoided.cmp(right_avoided).then(left_cold.cmp(right_cold));
                    rank.then(left.total_cmp(right))
                },
            )
            .map(|(_, record)| record.clone())?;
        if inner.needs_permit(now_ms, &best.heartbeat) {
            return Some(Choice::NeedsPermit(best));
        }
        inner.count_request(now_ms, &best.heartbeat.id);
        Some(Choice::Counted(best))
    }

    /// Counts a request that has got a permit.
    pub fn count_permitted(&self, id: &UpstreamId) {
        self.lock().count_request(now_ms(), id);
    }

    /// Records that no permit for an upstream is available within `wait`.
    pub fn record_no_permit(&self, id: &UpstreamId, wait: Duration) {
        let wait_ms = (wait.as_millis() as u64).max(1);
        self.lock().stats.entry(id.clone()).or_default().next_permit_ms = now_ms() + wait_ms;
    }

    /// Counts a request if an upstream accepts it from this host without a permit; returns whether
    /// it does.
    pub fn count_without_permit(&self, heartbeat: &Heartbeat) -> bool {
        let now_ms = now_ms();
        let mut inner = self.lock();
        let is_accepted = inner.accepts_without_permit(now_ms, heartbeat);
        if is_accepted {
            inner.count_request(now_ms, &heartbeat.id);
        }
        is_accepted
    }

    /// Records the end of a request to a plain service.
    pub fn record_end(&self, id: &UpstreamId, took_ms: u64, is_good: bool) {
        let now_ms = now_ms();
        let mut inner = self.lock();
        inner.stats.entry(id.clone()).or_default().record_end(now_ms, took_ms, is_good);
    }

    /// Records the load that an upstream reported: running and waiting requests.
    pub fn record_load(&self, id: &UpstreamId, running: u64, waiting: u64) {
        let mut inner = self.lock();
        inner.stats.entry(id.clone()).or_default().record_load(now_ms(), running + waiting);
    }

    /// Records the limit of an upstream as observed by this host.
    pub fn record_limit(&self, observed: &LimitObservation) -> LimitUpdateResult {
        self.lock().limits.apply_local(observed)
    }

    /// Records the limit of an upstream as observed by another host.
    pub fn apply_reported_limit(&self, observed: &LimitObservation) -> LimitUpdateResult {
        self.lock().limits.apply_remote(observed)
    }

    /// Limit of an upstream, if it has declared one.
    pub fn limit(&self, id: &UpstreamId) -> Option<LimitObservation> {
        self.lock().limits.observation_of(id)
    }

    /// Limits in force.
    pub fn limits(&self) -> Vec<LimitObservation> {
        self.lock().limits.observations().collect()
    }

    /// Latest observations of limits, including recently lifted ones.
    pub fn latest_limits(&self) -> Vec<LimitObservation> {
        self.lock().limits.latest().collect()
    }

    /// Number of upstreams with a limit.
    pub fn count_limited(&self) -> usize {
        self.lock().limits.iter().count()
    }
}
