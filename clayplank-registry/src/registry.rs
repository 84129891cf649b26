//! Records of all known upstreams, with numbered changes that followers query incrementally.

use std::cell::Cell;
use std::collections::BTreeMap;

use clayplank_types::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::digest::{Buckets, Digest};
use crate::heartbeat::{Heartbeat, UpstreamStatus, incarnation_ids};

/// Retention period of the record of a departed upstream, in ms; far longer than any delay of a
/// heartbeat.
const TOMBSTONE_RETENTION_MS: u64 = 120_000;

/// Retention period of a record without heartbeats, in ms.
const RECORD_RETENTION_MS: u64 = 30_000;

/// Maximum delay of a message from an upstream, in ms.
const MAX_MESSAGE_DELAY_MS: u64 = 10_000;

/// Minimum extension of an announced cold period, in ms, that is reported to followers. Smaller
/// ones come from the varying transmission times of heartbeats.
const COLD_TOLERANCE_MS: u64 = 400;

/// Maximum number of records in one reply, about 56 kB uncompressed. Hosts that all start at the
/// same time must be answered within their time-out, even though the lists for all of them saturate
/// the leader's network link for seconds.
const MAX_PAGE_RECORDS: usize = 1_024;

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The latest heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether several successive heartbeats are missing.
    pub is_silent: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    first_received_ms: u64,
    last_received_ms: u64,
    last_change: u64,
    /// Whether more than one heartbeat was received: a single one may have been delayed for long.
    is_confirmed: bool,
    /// Whether the record was restored from an earlier incarnation of the registry, and no
    /// heartbeat has been received since.
    is_restored: bool,
    /// Whether it replaced an earlier incarnation of the upstream that had not departed.
    replaced_active: bool,
    /// End of the cold period that was last reported to followers, in ms.
    announced_cold_until_ms: u64,
}

impl Entry {
    /// Updates the cold period; returns whether followers have to be notified. They are not if it
    /// ends at the announced time.
    fn update_cold_period(&mut self, now_ms: u64, remaining_ms: u64) -> bool {
        let until_ms = now_ms + remaining_ms;
        let is_extension =
            remaining_ms > 0 && until_ms > self.announced_cold_until_ms + COLD_TOLERANCE_MS;
        if is_extension {
            self.announced_cold_until_ms = until_ms;
        }
        is_extension
    }
}

/// Position of a follower in the changes of a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the registry. A cursor of another incarnation starts from the first change.
    pub life: u64,
    /// Number of the last known change.
    pub change: u64,
}

/// Changes of records after a cursor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Cursor of the receiver after it has applied these changes.
    pub cursor: Cursor,
    /// New and changed records.
    pub records: Vec<Record>,
}

/// The records of all known upstreams.
#[derive(Clone, Debug)]
pub struct Registry {
    incarnation: u64,
    change: u64,
    entries: BTreeMap<UpstreamId, Entry>,
    /// Cached digest with the number of the change for which it was computed: hundreds of hosts
    /// request it between two changes.
    digest: Cell<Option<(u64, Digest)>>,
}

impl Registry {
    /// Creates an empty registry; `incarnation` must differ from those of earlier registries.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, change: 0, entries: BTreeMap::new(), digest: Cell::new(None) }
    }

    /// Applies a heartbeat; returns whether it changed anything that followers have to know.
    pub fn apply(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        match heartbeat.standing {
            UpstreamStatus::Gone => {
                self.apply_to_incarnation(now_ms, &self.departing_incarnation(now_ms, heartbeat))
            }
            UpstreamStatus::Ready | UpstreamStatus::Draining => {
                self.apply_to_incarnation(now_ms, heartbeat)
            }
        }
    }

    /// Applies a departure notice; returns it completed with the state of the departing
    /// incarnation, to be sent to the other keepers.
    pub fn apply_departure(&mut self, now_ms: u64, departure: &Heartbeat) -> Heartbeat {
        let departure = self.departing_incarnation(now_ms, departure);
        self.apply_to_incarnation(now_ms, &departure);
        departure
    }

    fn apply_to_incarnation(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        if self.is_of_earlier_incarnation(now_ms, heartbeat) {
            return false;
        }
        let known = self.entries.get_mut(&heartbeat.id);
        let Some(entry) = known else {
            let replaced_active = self.end_earlier_incarnations(heartbeat);
            self.put(now_ms, heartbeat.clone());
            if let Some(entry) = self.entries.get_mut(&heartbeat.id) {
                entry.replaced_active = replaced_active;
            }
            return true;
        };
        let current = &entry.record.heartbeat;
        if current.standing == UpstreamStatus::Gone {
            return false;
        }
        let is_newer = heartbeat.sequence > current.sequence;
        if !is_newer && heartbeat.standing != UpstreamStatus::Gone {
            return false;
        }
        entry.last_received_ms = now_ms;
        entry.is_restored = false;
        let is_same = is_same_state(current, heartbeat) && !entry.record.is_silent;
        let is_change = entry.update_cold_period(now_ms, heartbeat.cold_left_ms) || !is_same;
        entry.record = Record { heartbeat: heartbeat.clone(), is_silent: false };
        if is_change {
            self.change += 1;
            entry.last_change = self.change;
        }
        let is_second = !std::mem::replace(&mut entry.is_confirmed, true);
        let ended_predecessor = is_second && self.end_predecessors_at_address(heartbeat);
        is_change || ended_predecessor
    }

    /// All known incarnations of an upstream.
    fn incarnations(&self, name: &str) -> impl Iterator<Item = &Entry> {
        let without_start_time = self.entries.get(&UpstreamId::new(name));
        let with_start_time = self.entries.range(incarnation_ids(name)).map(|(_, entry)| entry);
        without_start_time.into_iter().chain(with_start_time)
    }

    /// Whether a heartbeat is a late one of an earlier incarnation, since a later incarnation is
    /// known and still sends heartbeats. If the later one has sent nothing for
    /// [`MAX_MESSAGE_DELAY_MS`], this may be a new incarnation whose clock was set back.
    fn is_of_earlier_incarnation(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        self.incarnations(&heartbeat.name).any(|entry| {
            let is_later = entry.record.heartbeat.born_ms > heartbeat.born_ms;
            is_later && now_ms < entry.last_received_ms + MAX_MESSAGE_DELAY_MS
        })
    }

    /// Marks earlier incarnations of an upstream as departed; returns whether one of them had not
    /// announced its departure.
    fn end_earlier_incarnations(&mut self, newer: &Heartbeat) -> bool {
        let earlier: Vec<_> = self
            .incarnations(&newer.name)
            .filter(|entry| entry.record.heartbeat.standing != UpstreamStatus::Gone)
            .map(|entry| entry.record.heartbeat.id.clone())
            .collect();
        for id in &earlier {
            self.change += 1;
            if let Some(entry) = self.entries.get_mut(id) {
                entry.record.heartbeat.standing = UpstreamStatus::Gone;
                entry.last_change = self.change;
            }
        }
        !earlier.is_empty()
    }

    /// Whether an answer with this start time comes from incarnation `id`, or does not identify its
    /// incarnation. If a later one answered, `id` is marked as departed.
    pub fn confirm_incarnation(&mut self, now_ms: u64, id: &UpstreamId, born_ms: u64) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let current = &entry.record.heartbeat;
        if current.born_ms == 0 || born_ms == 0 || current.born_ms == born_ms {
            return true;
        }
        if born_ms > current.born_ms {
            let departure = Heartbeat { standing: UpstreamStatus::Gone, ..current.clone() };
            self.apply_to_incarnation(now_ms, &departure);
        }
        false
    }

    /// Identifies the departing incarnation. A notice without a start time is for the latest one,
    /// unless that one has only just replaced an active incarnation: then the notice is taken for a
    /// late message of the replaced one.
    fn departing_incarnation(&self, now_ms: u64, departure: &Heartbeat) -> Heartbeat {
        if departure.born_ms != 0 {
            return departure.clone();
        }
        let mut incarnations: Vec<_> = self.incarnations(&departure.name).collect();
        incarnations.sort_by_key(|entry| std::cmp::Reverse(entry.record.heartbeat.born_ms));
        let is_late_message = incarnations.first().is_some_and(|newest| {
            newest.replaced_active && now_ms < newest.first_received_ms + MAX_MESSAGE_DELAY_MS
        });
        let departing =
            incarnations.get(usize::from(is_late_message)).map(|entry| &entry.record.heartbeat);
        let known = departing.unwrap_or(departure).clone();
        Heartbeat { standing: UpstreamStatus::Gone, ..known }
    }

    /// An upstream that continues to send heartbeats is the only one at its address: others there
    /// from which nothing was received since it appeared have terminated without a departure
    /// notice. They are marked as departed, so that a delayed heartbeat does not restore them.
    fn end_predecessors_at_address(&mut self, newer: &Heartbeat) -> bool {
        let Some(since_ms) = self.entries.get(&newer.id).map(|entry| entry.first_received_ms)
        else {
            return false;
        };
        let before = self.change;
        for (id, entry) in &mut self.entries {
            let heartbeat = &mut entry.record.heartbeat;
            let is_predecessor = *id != newer.id
                && heartbeat.address == newer.address
                && heartbeat.standing != UpstreamStatus::Gone
                && entry.last_received_ms < since_ms;
            if is_predecessor {
                heartbeat.standing = UpstreamStatus::Gone;
                self.change += 1;
                entry.last_change = self.change;
            }
        }
        self.change != before
    }

    fn put(&mut self, now_ms: u64, heartbeat: Heartbeat) {
        self.change += 1;
        let record = Record { heartbeat, is_silent: false };
        let id = record.heartbeat.id.clone();
        let cold_left_ms = record.heartbeat.cold_left_ms;
        let entry = Entry {
            record,
            first_received_ms: now_ms,
            last_received_ms: now_ms,
            last_change: self.change,
            is_confirmed: false,
            is_restored: false,
            replaced_active: false,
            announced_cold_until_ms: now_ms + cold_left_ms,
        };
        self.entries.insert(id, entry);
    }

    /// Restores records of an earlier incarnation of the registry, except where a heartbeat of the
    /// same or a later incarnation of the upstream was received.
    pub fn restore(&mut self, now_ms: u64, heartbeats: &[Heartbeat]) {
        for heartbeat in heartbeats {
            let is_known = self.entries.contains_key(&heartbeat.id);
            if is_known || self.is_of_earlier_incarnation(now_ms, heartbeat) {
                continue;
            }
            self.end_earlier_incarnations(heartbeat);
            self.put(now_ms, heartbeat.clone());
            if let Some(entry) = self.entries.get_mut(&heartbeat.id) {
                entry.is_restored = true;
            }
        }
    }

    /// Marks restored upstreams without a heartbeat for `unconfirmed_ms` as draining, since they
    /// may have departed meanwhile. The next heartbeat makes them ready again.
    pub fn drain_unconfirmed(&mut self, now_ms: u64, unconfirmed_ms: u64) {
        let unconfirmed = self.entries.values_mut().filter(|entry| {
            let is_ready = entry.record.heartbeat.standing == UpstreamStatus::Ready;
            entry.is_restored && is_ready && now_ms > entry.last_received_ms + unconfirmed_ms
        });
        for entry in unconfirmed {
            self.change += 1;
            entry.last_change = self.change;
            entry.record.heartbeat.standing = UpstreamStatus::Draining;
        }
    }

    /// Marks upstreams without a heartbeat for `silent_ms`, and drops expired records; returns
    /// whether one was dropped.
    pub fn expire(&mut self, now_ms: u64, silent_ms: u64) -> bool {
        let known = self.entries.len();
        self.entries.retain(|_, entry| {
            let is_gone = entry.record.heartbeat.standing == UpstreamStatus::Gone;
            let keep_ms = if is_gone { TOMBSTONE_RETENTION_MS } else { RECORD_RETENTION_MS };
            now_ms < entry.last_received_ms + keep_ms
        });
        for entry in self.entries.values_mut() {
            let is_silent = now_ms > entry.last_received_ms + silent_ms;
            if is_silent && !entry.record.is_silent {
                self.change += 1;
                entry.last_change = self.change;
                entry.record.is_silent = true;
            }
        }
        self.entries.len() < known
    }

    /// Returns the changes after a cursor, the oldest first and at most one page of them; all
    /// records for a cursor of another incarnation. More pages follow if the returned cursor
    /// differs from [`Registry::cursor`].
    pub fn changes_after(&self, cursor: Cursor) -> Changes {
        let after = if cursor.life == self.incarnation { cursor.change } else { 0 };
        let mut changed: Vec<_> =
            self.entries.values().filter(|entry| entry.last_change > after).collect();
        let mut cursor = self.cursor();
        if changed.len() > MAX_PAGE_RECORDS {
            changed.sort_unstable_by_key(|entry| entry.last_change);
            changed.truncate(MAX_PAGE_RECORDS);
            cursor.change = changed.last().map_or(after, |entry| entry.last_change);
        }
        let records = changed.into_iter().map(|entry| entry.record.clone()).collect();
        Changes { cursor, records }
    }

    /// Returns the records that differ from those of a follower of another registry with this
    /// digest, and the buckets in which that follower may know more.
    pub fn changes_for_digest(&self, known: &Digest) -> (Changes, Buckets) {
        let differing = self.digest().differing(known);
        let missing = self.records().filter(|record| differing.contains(&record.heartbeat.id));
        let records: Vec<_> = missing.cloned().collect();
        if records.len() > MAX_PAGE_RECORDS {
            // Too many for one reply: all records are sent, page by page.
            return (self.changes_after(Cursor::default()), differing);
        }
        (Changes { cursor: self.cursor(), records }, differing)
    }

    /// The digest of all records, computed once for each change.
    pub fn digest(&self) -> Digest {
        match self.digest.get() {
            Some((change, digest)) if change == self.change => digest,
            _ => {
                let digest = Digest::of(self.records());
                self.digest.set(Some((self.change, digest)));
                digest
            }
        }
    }

    /// The cursor after the latest change.
    pub fn cursor(&self) -> Cursor {
        Cursor { life: self.incarnation, change: self.change }
    }

    /// The record of one upstream.
    pub fn record(&self, id: &UpstreamId) -> Option<&Record> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// The records of all upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }
}

/// Whether two heartbeats report the same state. Their sequence numbers and cold periods may
/// differ.
fn is_same_state(left: &Heartbeat, right: &Heartbeat) -> bool {
    left.standing == right.standing
        && left.address == right.address
        && left.service == right.service
        && left.slots == right.slots
}
