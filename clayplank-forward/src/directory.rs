//! Upstreams as this host knows them, and the choice among those of a plain service.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_placement::{ColdStart, HostShare, RateLimit};
use clayplank_registry::{
    Buckets, Digest, Heartbeat, Limits, Noted, ObservedLimit, Record, Standing, life_ids,
};
use clayplank_routes::ServingPlan;
use clayplank_types::{DataCentre, UpstreamId};
use tokio::sync::watch;

use crate::clock::now_ms;
use crate::seen::Seen;

/// Answers of an upstream in another data centre come this much later, in ms, in comparisons.
const REMOTE_MS: f64 = 5.0;

/// An upstream that left is remembered for this long, in ms: far longer than news of it may
/// be late.
const TOMBSTONE_MS: u64 = 120_000;

/// An upstream that was chosen for a request at a plain service.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The request counts there.
    Counted(Record),
    /// It names a limit: the request has to wait for its turn.
    NeedsTurn(Record),
}

impl Choice {
    /// The upstream.
    pub fn record(&self) -> &Record {
        match self {
            Self::Counted(record) | Self::NeedsTurn(record) => record,
        }
    }
}

/// What stands behind the lock of a [`Directory`].
#[derive(Debug)]
struct Inner {
    records: BTreeMap<UpstreamId, Record>,
    /// When it was learned of those that left.
    gone_at_ms: HashMap<UpstreamId, u64>,
    /// Those in whose place another life stands, under their name or at their address: they run nothing
    /// any more. One that only left may go on with what it has.
    replaced: HashSet<UpstreamId>,
    seen: HashMap<UpstreamId, Seen>,
    /// Data centres whose upstreams get nothing.
    cordoned: BTreeSet<DataCentre>,
    /// How upstreams bear their start, by service.
    cold_starts: HashMap<String, ColdStart>,
    /// What upstreams say that they take.
    limits: Limits,
    /// This host's share of the requests that upstreams take which are cold or name a limit.
    share: HostShare,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            gone_at_ms: HashMap::new(),
            replaced: HashSet::new(),
            seen: HashMap::new(),
            cordoned: BTreeSet::new(),
            cold_starts: HashMap::new(),
            limits: Limits::new(rand::random()),
            share: HostShare { seed: rand::random(), hosts: 1 },
        }
    }
}

impl Inner {
    /// Takes a record in, unless its upstream left or something newer is known; tells all records
    /// that are changed by it.
    fn take_in(&mut self, record: Record, changed: &mut Vec<Record>) {
        let id = record.heartbeat.id.clone();
        let leaves = record.heartbeat.standing == Standing::Gone;
        if let Some(held) = self.records.get(&id) {
            let is_gone = held.heartbeat.standing == Standing::Gone;
            let is_older = record.heartbeat.sequence < held.heartbeat.sequence;
            if is_gone || (is_older && !leaves) {
                return;
            }
        }
        if leaves {
            self.gone_at_ms.insert(id.clone(), now_ms());
        } else if self.has_later_life(&record.heartbeat) {
            return;
        } else {
            changed.extend(self.end_former_lives(&record.heartbeat));
        }
        let cold_left_ms = record.heartbeat.cold_left_ms as f64;
        if cold_left_ms > 0.0 {
            self.seen
                .entry(id.clone())
                .or_default()
                .rate_limit
                .note_cold(now_ms() as f64, cold_left_ms);
        }
        self.records.insert(id, record.clone());
        self.note_successors(&record.heartbeat);
        changed.push(record);
    }

    /// Whether new work may go to an upstream.
    fn takes_work(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.standing == Standing::Ready && !self.cordoned.contains(&heartbeat.data_centre)
    }

    /// The lives of an upstream that have not left.
    fn running_lives(&self, name: &str) -> impl Iterator<Item = &Heartbeat> {
        let without_start = self.records.get(&UpstreamId::new(name));
        let with_start = self.records.range(life_ids(name)).map(|(_, record)| record);
        let lives = without_start.into_iter().chain(with_start).map(|record| &record.heartbeat);
        lives.filter(|one| one.standing != Standing::Gone)
    }

    fn has_later_life(&self, heartbeat: &Heartbeat) -> bool {
        self.running_lives(&heartbeat.name).any(|one| one.born_ms > heartbeat.born_ms)
    }

    /// Ends the former lives of an upstream: a keeper that has just begun to lead may know the
    /// later one alone, and would never say that they have ended. Returns their records.
    fn end_former_lives(&mut self, later: &Heartbeat) -> Vec<Record> {
        let lives = self.running_lives(&later.name);
        let former: Vec<_> =
            lives.filter(|one| one.born_ms < later.born_ms).map(|one| one.id.clone()).collect();
        let mut ended = Vec::new();
        for id in former {
            self.gone_at_ms.insert(id.clone(), now_ms());
            self.replaced.insert(id.clone());
            if let Some(record) = self.records.get_mut(&id) {
                record.heartbeat.standing = Standing::Gone;
                ended.push(record.clone());
            }
        }
        ended
    }

    /// Notes who was replaced, now that a record has changed: one that has left, where another one that takes
    /// work has its address. A record that comes late of a former life replaces nobody.
    fn note_successors(&mut self, changed: &Heartbeat) {
        let is_in_place = |one: &Heartbeat| one.address == changed.address && one.id != changed.id;
        match changed.standing {
            Standing::Gone => {
                let mut others = self.records.values().map(|record| &record.heartbeat);
                if others.any(|one| one.standing == Standing::Ready && is_in_place(one)) {
                    self.replaced.insert(changed.id.clone());
                }
            }
            Standing::Ready => {
                // Those that left are few, where all upstreams are heard of at once.
                let gone = self.gone_at_ms.keys().filter_map(|id| self.records.get(id));
                let gone = gone.map(|record| &record.heartbeat);
                let former = gone.filter(|one| is_in_place(one)).map(|one| one.id.clone());
                self.replaced.extend(former);
            }
            Standing::Draining => {}
        }
    }

    /// How many requests an upstream takes, as long as it is cold or names a limit.
    fn rate_limit(&self, heartbeat: &Heartbeat) -> RateLimit {
        let seen = self.seen.get(&heartbeat.id);
        let mut rate_limit = seen.map(|seen| seen.rate_limit).unwrap_or_default();
        let start = self.cold_starts.get(&heartbeat.service);
        rate_limit.set_cold_limit(start.map_or(0.0, |start| start.requests_per_s));
        rate_limit.set_named_limit(self.limits.limit_per_s(&heartbeat.id));
        rate_limit
    }

    /// Whether an upstream takes one more request of this host, which decides alone.
    fn takes_one_alone(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        self.rate_limit(heartbeat).may_send_alone(now_ms as f64, &heartbeat.id, &self.share)
    }

    /// Whether a request waits for its turn at an upstream: the leader gives them, for all hosts. While it is
    /// cold, hosts have a share each.
    fn needs_turn(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        let is_limited = self.limits.limit_per_s(&heartbeat.id).is_some();
        is_limited && !self.rate_limit(heartbeat).is_cold(now_ms as f64)
    }

    /// Whether an upstream may take one more request of this host.
    fn may_take_one(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        if self.needs_turn(now_ms, heartbeat) {
            let seen = self.seen.get(&heartbeat.id);
            seen.is_none_or(|seen| seen.next_turn_ms <= now_ms)
        } else {
            self.takes_one_alone(now_ms, heartbeat)
        }
    }

    /// Counts a request at an upstream.
    fn count(&mut self, now_ms: u64, id: &UpstreamId) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.in_flight += 1;
        seen.rate_limit.note_sent_alone(now_ms as f64);
    }

    /// Forgets upstreams that left long ago, and what was seen of them.
    fn forget_gone(&mut self, now_ms: u64) {
        let Self { records, gone_at_ms, replaced, seen, limits, .. } = self;
        gone_at_ms.retain(|id, gone_at_ms| {
            let is_kept = now_ms < *gone_at_ms + TOMBSTONE_MS;
            if !is_kept {
                records.remove(id);
                replaced.remove(id);
                seen.remove(id);
            }
            is_kept
        });
        limits.forget(now_ms, |id| records.contains_key(id));
    }
}

/// Records of upstreams by id.
#[derive(Debug, Default)]
pub struct Directory {
    inner: Mutex<Inner>,
    /// Raised whenever an upstream was replaced.
    replaced: watch::Sender<()>,
}

impl Directory {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes changes in. A whole list does not remove what it lacks: a keeper
    /// that has just started knows less than this host. Returns what has changed.
    pub fn apply(&self, records: Vec<Record>) -> Vec<Record> {
        let mut inner = self.lock();
        let mut changed = Vec::new();
        let known_replaced = inner.replaced.len();
        records.into_iter().for_each(|record| inner.take_in(record, &mut changed));
        let is_one_replaced = inner.replaced.len() > known_replaced;
        inner.forget_gone(now_ms());
        drop(inner);
        if is_one_replaced {
            self.replaced.send_replace(());
        }
        changed
    }

    /// Waits until another life stands in an upstream's place: nothing more comes of what it ran.
    pub async fn wait_until_replaced(&self, id: &UpstreamId) {
        let mut changes = self.replaced.subscribe();
        while !self.lock().replaced.contains(id) {
            // The sender lives as long as the directory.
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// What is known, in a few numbers.
    pub fn digest(&self) -> Digest {
        Digest::of(self.lock().records.values())
    }

    /// The heartbeats of upstreams in some buckets of the digest.
    pub fn heartbeats_in(&self, buckets: Buckets) -> Vec<Heartbeat> {
        let inner = self.lock();
        let heartbeats = inner.records.values().map(|record| &record.heartbeat);
        heartbeats.filter(|one| buckets.contains(&one.id)).cloned().collect()
    }

    /// Notes that an id is no more: another life answered in its place.
    pub fn note_replaced(&self, id: &UpstreamId) {
        let mut inner = self.lock();
        if let Some(record) = inner.records.get_mut(id) {
            record.heartbeat.standing = Standing::Gone;
            inner.gone_at_ms.insert(id.clone(), now_ms());
            inner.replaced.insert(id.clone());
        }
        drop(inner);
        self.replaced.send_replace(());
    }

    /// Whether a life of an upstream has ended and another one of its service stands in its place:
    /// under its name, or at its address.
    pub fn has_successor(&self, former: &Heartbeat) -> bool {
        let inner = self.lock();
        let is_over = inner
            .records
            .get(&former.id)
            .is_none_or(|record| record.heartbeat.standing == Standing::Gone);
        let follows = |one: &Heartbeat| {
            let is_in_place = one.name == former.name || one.address == former.address;
            one.id != former.id
                && one.service == former.service
                && one.standing == Standing::Ready
                && is_in_place
        };
        is_over && inner.records.values().any(|record| follows(&record.heartbeat))
    }

    /// One record.
    pub fn record(&self, id: &UpstreamId) -> Option<Record> {
        self.lock().records.get(id).cloned()
    }

    /// One record, if new work may go to its upstream.
    pub fn usable_record(&self, id: &UpstreamId) -> Option<Record> {
        let inner = self.lock();
        inner.records.get(id).filter(|record| inner.takes_work(&record.heartbeat)).cloned()
    }

    /// Whether an upstream stands in a data centre that is to get nothing.
    pub fn is_cordoned(&self, id: &UpstreamId) -> bool {
        let inner = self.lock();
        let record = inner.records.get(id);
        record.is_some_and(|record| inner.cordoned.contains(&record.heartbeat.data_centre))
    }

    /// Sends nothing more to upstreams of these data centres. Those of others that were under a cordon
    /// pass for cold as long as after a start: they may have turned cold meanwhile.
    pub fn set_cordoned(&self, cordoned: BTreeSet<DataCentre>) {
        let now_ms = now_ms() as f64;
        let mut inner = self.lock();
        let Inner { records, seen, cordoned: held, cold_starts, .. } = &mut *inner;
        for (id, Record { heartbeat, .. }) in records {
            let is_back =
                held.contains(&heartbeat.data_centre) && !cordoned.contains(&heartbeat.data_centre);
            if let Some(start) = cold_starts.get(&heartbeat.service).filter(|_| is_back) {
                let lasts_ms = start.lasts_ms as f64;
                seen.entry(id.clone()).or_default().rate_limit.note_cold(now_ms, lasts_ms);
            }
        }
        *held = cordoned;
    }

    /// Takes in how upstreams bear their start.
    pub fn set_cold_starts(&self, plan: &ServingPlan) {
        let services = plan.services.iter();
        let starts =
            services.filter_map(|service| Some((service.name.clone(), service.cold_start?)));
        self.lock().cold_starts = starts.collect();
    }

    /// Takes in how many hosts may send to cold upstreams.
    pub fn set_hosts(&self, hosts: u64) {
        self.lock().share.hosts = hosts;
    }

    /// The upstream that a text names, by its name or its address, in its newest life.
    pub fn find(&self, name: &str) -> Option<UpstreamId> {
        let inner = self.lock();
        let address = name.parse().ok();
        let is_named = |heartbeat: &&Heartbeat| {
            let is_at = heartbeat.standing != Standing::Gone && address == Some(heartbeat.address);
            heartbeat.name == name || is_at
        };
        let heartbeats = inner.records.values().map(|record| &record.heartbeat);
        let newest = heartbeats.filter(is_named).max_by_key(|one| one.born_ms)?;
        Some(newest.id.clone())
    }

    /// All records.
    pub fn records(&self) -> Vec<Record> {
        self.lock().records.values().cloned().collect()
    }

    /// Chooses an upstream of a plain service. A request there counts from now on, unless it needs a turn.
    pub fn choose(&self, service: &str, own: &DataCentre, avoid: &[UpstreamId]) -> Option<Choice> {
        let now_ms = now_ms();
        let mut inner = self.lock();
        let seen = &inner.seen;
        let cost = |record: &Record| {
            let seen = seen.get(&record.heartbeat.id).cloned().unwrap_or_default();
            let is_cold = inner.rate_limit(&record.heartbeat).is_cold(now_ms as f64);
            let remote_ms = if record.heartbeat.data_centre == *own { 0.0 } else { REMOTE_MS };
            // One whose heartbeats are missing may be dead: it is asked if no other is there.
            let is_avoided = seen.is_avoided(now_ms) || record.is_silent;
            (is_avoided, is_cold, seen.expected_ms(record.heartbeat.slots, now_ms) + remote_ms)
        };
        let fit = inner.records.values().filter(|record| {
            let heartbeat = &record.heartbeat;
            heartbeat.service == service
                && inner.takes_work(heartbeat)
                && !avoid.contains(&heartbeat.id)
                && inner.may_take_one(now_ms, heartbeat)
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
        if inner.needs_turn(now_ms, &best.heartbeat) {
            return Some(Choice::NeedsTurn(best));
        }
        inner.count(now_ms, &best.heartbeat.id);
        Some(Choice::Counted(best))
    }

    /// Counts a request that has a turn.
    pub fn count_turn(&self, id: &UpstreamId) {
        self.lock().count(now_ms(), id);
    }

    /// Notes that an upstream takes no request for a while.
    pub fn note_no_turn(&self, id: &UpstreamId, wait: Duration) {
        let wait_ms = (wait.as_millis() as u64).max(1);
        self.lock().seen.entry(id.clone()).or_default().next_turn_ms = now_ms() + wait_ms;
    }

    /// The upstream of a plain service that gives the next turn, and the least time until then.
    pub fn soonest_turn(&self, service: &str, avoid: &[UpstreamId]) -> Option<(Record, Duration)> {
        let now_ms = now_ms();
        let inner = self.lock();
        let limited = inner.records.values().filter(|record| {
            let heartbeat = &record.heartbeat;
            heartbeat.service == service
                && inner.takes_work(heartbeat)
                && !avoid.contains(&heartbeat.id)
                && inner.needs_turn(now_ms, heartbeat)
        });
        let next_turn_ms = |record: &&Record| {
            inner.seen.get(&record.heartbeat.id).map_or(0, |seen| seen.next_turn_ms)
        };
        let soonest = limited.min_by_key(next_turn_ms)?;
        let wait_ms = next_turn_ms(&soonest).saturating_sub(now_ms);
        Some((soonest.clone(), Duration::from_millis(wait_ms)))
    }

    /// Counts a request if an upstream takes one of this host, which nobody gives a turn; whether it does.
    pub fn count_alone(&self, heartbeat: &Heartbeat) -> bool {
        let now_ms = now_ms();
        let mut inner = self.lock();
        let takes_one = inner.takes_one_alone(now_ms, heartbeat);
        if takes_one {
            inner.count(now_ms, &heartbeat.id);
        }
        takes_one
    }

    /// Notes how a request at a plain service ended.
    pub fn note_end(&self, id: &UpstreamId, took_ms: u64, is_good: bool) {
        let now_ms = now_ms();
        let mut inner = self.lock();
        inner.seen.entry(id.clone()).or_default().note_end(now_ms, took_ms, is_good);
    }

    /// Notes what an upstream told of its load: running and waiting.
    pub fn note_load(&self, id: &UpstreamId, running: u64, waiting: u64) {
        let mut inner = self.lock();
        inner.seen.entry(id.clone()).or_default().note_load(now_ms(), running + waiting);
    }

    /// Takes in what this host observed of an upstream's limit.
    pub fn note_limit(&self, observed: &ObservedLimit) -> Noted {
        self.lock().limits.note(observed)
    }

    /// Takes in what another host observed of an upstream's limit.
    pub fn learn_limit(&self, observed: &ObservedLimit) -> Noted {
        self.lock().limits.learn(observed)
    }

    /// The limit of an upstream, if it named one.
    pub fn limit(&self, id: &UpstreamId) -> Option<ObservedLimit> {
        self.lock().limits.observed_of(id)
    }

    /// The limits that are in force.
    pub fn limits(&self) -> Vec<ObservedLimit> {
        self.lock().limits.observed().collect()
    }

    /// How many upstreams name a limit.
    pub fn count_limited(&self) -> usize {
        self.lock().limits.limited().count()
    }
}
