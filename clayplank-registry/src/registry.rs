//! All upstreams that were heard of, with a count of changes.

use std::cell::Cell;
use std::collections::BTreeMap;

use clayplank_types::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::digest::{Buckets, Digest};
use crate::heartbeat::{Heartbeat, Standing, life_ids};

/// A record that left is kept this long, in ms: far longer than a heartbeat may be late.
const TOMBSTONE_MS: u64 = 120_000;

/// An upstream that was not heard for this long, in ms, is forgotten.
const FORGET_MS: u64 = 30_000;

/// A word that an upstream sends may arrive this much later, in ms.
const LATE_WORD_MS: u64 = 10_000;

/// An upstream that says it is cold for longer than it said before, by this much, in ms, is news:
/// heartbeats are on their way for different times.
const COLD_SLACK_MS: u64 = 400;

/// Records in one answer, some 56 kB before they are packed. Hosts that start all at once have to be
/// answered within the time that they wait, also where the lists for all of them fill the leader's
/// link for seconds.
const PAGE_RECORDS: usize = 1_024;

/// What is known of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether several heartbeats in a row are missing.
    pub is_silent: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    first_heard_ms: u64,
    heard_ms: u64,
    changed_at: u64,
    /// Whether more than one heartbeat came: a single one may have been delayed for long.
    is_confirmed: bool,
    /// Known from a former life of the registry, and not heard in this one.
    is_remembered: bool,
    /// Whether it took the place of a former life that had not left.
    replaces_running: bool,
    /// Up to when followers were told that it is cold.
    cold_until_ms: u64,
}

impl Entry {
    /// Takes in for how much longer the upstream is cold; returns whether followers have to know. One
    /// whose cold time ends as it said is no news.
    fn note_cold(&mut self, now_ms: u64, left_ms: u64) -> bool {
        let until_ms = now_ms + left_ms;
        let is_news = left_ms > 0 && until_ms > self.cold_until_ms + COLD_SLACK_MS;
        if is_news {
            self.cold_until_ms = until_ms;
        }
        is_news
    }
}

/// Up to where somebody knows a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cursor {
    /// The registry's life; another one starts anew.
    pub life: u64,
    /// The last change that is known.
    pub change: u64,
}

/// What changed after a cursor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Where the receiver stands with these.
    pub cursor: Cursor,
    /// Records that are new or changed.
    pub records: Vec<Record>,
}

/// Records of upstreams.
#[derive(Clone, Debug)]
pub struct Registry {
    life: u64,
    change: u64,
    entries: BTreeMap<UpstreamId, Entry>,
    /// The digest as of a change: hundreds of hosts ask for it between two of them.
    digest: Cell<Option<(u64, Digest)>>,
}

impl Registry {
    /// An empty registry; `life` differs from those before it.
    pub fn new(life: u64) -> Self {
        Self { life, change: 0, entries: BTreeMap::new(), digest: Cell::new(None) }
    }

    /// Takes a heartbeat in; returns whether it was news.
    pub fn apply(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        match heartbeat.standing {
            Standing::Gone => self.apply_to_life(now_ms, &self.leaving_life(now_ms, heartbeat)),
            Standing::Ready | Standing::Draining => self.apply_to_life(now_ms, heartbeat),
        }
    }

    /// Takes in that an upstream left; returns what is known of the life that did, for the other
    /// keepers.
    pub fn leave(&mut self, now_ms: u64, gone: &Heartbeat) -> Heartbeat {
        let gone = self.leaving_life(now_ms, gone);
        self.apply_to_life(now_ms, &gone);
        gone
    }

    fn apply_to_life(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        if self.is_of_former_life(now_ms, heartbeat) {
            return false;
        }
        let known = self.entries.get_mut(&heartbeat.id);
        let Some(entry) = known else {
            let replaces = self.end_former_lives(heartbeat);
            self.put(now_ms, heartbeat.clone());
            if let Some(entry) = self.entries.get_mut(&heartbeat.id) {
                entry.replaces_running = replaces;
            }
            return true;
        };
        let held = &entry.record.heartbeat;
        if held.standing == Standing::Gone {
            return false;
        }
        let is_newer = heartbeat.sequence > held.sequence;
        if !is_newer && heartbeat.standing != Standing::Gone {
            return false;
        }
        entry.heard_ms = now_ms;
        entry.is_remembered = false;
        let is_same = is_same_state(held, heartbeat) && !entry.record.is_silent;
        let is_change = entry.note_cold(now_ms, heartbeat.cold_left_ms) || !is_same;
        entry.record = Record { heartbeat: heartbeat.clone(), is_silent: false };
        if is_change {
            self.change += 1;
            entry.changed_at = self.change;
        }
        let is_second = !std::mem::replace(&mut entry.is_confirmed, true);
        let retires = is_second && self.retire_former(heartbeat);
        is_change || retires
    }

    /// The lives of an upstream that are known.
    fn lives(&self, name: &str) -> impl Iterator<Item = &Entry> {
        let nameless_birth = self.entries.get(&UpstreamId::new(name));
        let others = self.entries.range(life_ids(name)).map(|(_, entry)| entry);
        nameless_birth.into_iter().chain(others)
    }

    /// Whether a later life of the same upstream is known: what comes of this one comes late.
    /// After a long silence of the later one it may be a new life whose clock was set back.
    fn is_of_former_life(&self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        self.lives(&heartbeat.name).any(|life| {
            let is_later = life.record.heartbeat.born_ms > heartbeat.born_ms;
            is_later && now_ms < life.heard_ms + LATE_WORD_MS
        })
    }

    /// The former lives of an upstream have ended; returns whether one of them had not said so.
    fn end_former_lives(&mut self, newer: &Heartbeat) -> bool {
        let former: Vec<_> = self
            .lives(&newer.name)
            .filter(|life| life.record.heartbeat.standing != Standing::Gone)
            .map(|life| life.record.heartbeat.id.clone())
            .collect();
        for id in &former {
            self.change += 1;
            if let Some(entry) = self.entries.get_mut(id) {
                entry.record.heartbeat.standing = Standing::Gone;
                entry.changed_at = self.change;
            }
        }
        !former.is_empty()
    }

    /// Whether what an upstream answered, with the start that it tells, comes from this life. If a
    /// later one answered in its place, this one has ended.
    pub fn confirm_life(&mut self, now_ms: u64, id: &UpstreamId, born_ms: u64) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let held = &entry.record.heartbeat;
        if held.born_ms == 0 || born_ms == 0 || held.born_ms == born_ms {
            return true;
        }
        if born_ms > held.born_ms {
            let gone = Heartbeat { standing: Standing::Gone, ..held.clone() };
            self.apply_to_life(now_ms, &gone);
        }
        false
    }

    /// Which life leaves: the newest, where the upstream does not say so. Soon after that one took
    /// the place of one that had not left, it is the late word of the former.
    fn leaving_life(&self, now_ms: u64, gone: &Heartbeat) -> Heartbeat {
        if gone.born_ms != 0 {
            return gone.clone();
        }
        let mut lives: Vec<_> = self.lives(&gone.name).collect();
        lives.sort_by_key(|life| std::cmp::Reverse(life.record.heartbeat.born_ms));
        let is_late_word = lives.first().is_some_and(|newest| {
            newest.replaces_running && now_ms < newest.first_heard_ms + LATE_WORD_MS
        });
        let leaving = lives.get(usize::from(is_late_word)).map(|life| &life.record.heartbeat);
        let known = leaving.unwrap_or(gone).clone();
        Heartbeat { standing: Standing::Gone, ..known }
    }

    /// An upstream that goes on sending heartbeats has its address for itself: those that were
    /// heard there only before it have ended without a word. A heartbeat of theirs that was held
    /// up on its way must not bring them back.
    fn retire_former(&mut self, newer: &Heartbeat) -> bool {
        let Some(since_ms) = self.entries.get(&newer.id).map(|entry| entry.first_heard_ms) else {
            return false;
        };
        let before = self.change;
        for (id, entry) in &mut self.entries {
            let heartbeat = &mut entry.record.heartbeat;
            let is_former = *id != newer.id
                && heartbeat.address == newer.address
                && heartbeat.standing != Standing::Gone
                && entry.heard_ms < since_ms;
            if is_former {
                heartbeat.standing = Standing::Gone;
                self.change += 1;
                entry.changed_at = self.change;
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
            first_heard_ms: now_ms,
            heard_ms: now_ms,
            changed_at: self.change,
            is_confirmed: false,
            is_remembered: false,
            replaces_running: false,
            cold_until_ms: now_ms + cold_left_ms,
        };
        self.entries.insert(id, entry);
    }

    /// Takes in what a former life knew, unless something newer was heard.
    pub fn remember(&mut self, now_ms: u64, heartbeats: &[Heartbeat]) {
        for heartbeat in heartbeats {
            let is_known = self.entries.contains_key(&heartbeat.id);
            if is_known || self.is_of_former_life(now_ms, heartbeat) {
                continue;
            }
            self.end_former_lives(heartbeat);
            self.put(now_ms, heartbeat.clone());
            if let Some(entry) = self.entries.get_mut(&heartbeat.id) {
                entry.is_remembered = true;
            }
        }
    }

    /// Sends nothing new to upstreams that were remembered and not heard for `unheard_ms`:
    /// they may have left meanwhile. A heartbeat brings them back.
    pub fn doubt_remembered(&mut self, now_ms: u64, unheard_ms: u64) {
        let unheard = self.entries.values_mut().filter(|entry| {
            let is_ready = entry.record.heartbeat.standing == Standing::Ready;
            entry.is_remembered && is_ready && now_ms > entry.heard_ms + unheard_ms
        });
        for entry in unheard {
            self.change += 1;
            entry.changed_at = self.change;
            entry.record.heartbeat.standing = Standing::Draining;
        }
    }

    /// Marks upstreams whose heartbeats are missing for `silent_ms`, and forgets old records;
    /// returns whether one was forgotten.
    pub fn age(&mut self, now_ms: u64, silent_ms: u64) -> bool {
        let known = self.entries.len();
        self.entries.retain(|_, entry| {
            let is_gone = entry.record.heartbeat.standing == Standing::Gone;
            let keep_ms = if is_gone { TOMBSTONE_MS } else { FORGET_MS };
            now_ms < entry.heard_ms + keep_ms
        });
        for entry in self.entries.values_mut() {
            let is_silent = now_ms > entry.heard_ms + silent_ms;
            if is_silent && !entry.record.is_silent {
                self.change += 1;
                entry.changed_at = self.change;
                entry.record.is_silent = true;
            }
        }
        self.entries.len() < known
    }

    /// What changed after a cursor, the oldest changes first and no more than a page of them; from
    /// the beginning for a cursor of another life. There is more if the cursor of the answer is not
    /// the registry's own.
    pub fn changes_after(&self, cursor: Cursor) -> Changes {
        let after = if cursor.life == self.life { cursor.change } else { 0 };
        let mut changed: Vec<_> =
            self.entries.values().filter(|entry| entry.changed_at > after).collect();
        let mut cursor = self.cursor();
        if changed.len() > PAGE_RECORDS {
            changed.sort_unstable_by_key(|entry| entry.changed_at);
            changed.truncate(PAGE_RECORDS);
            cursor.change = changed.last().map_or(after, |entry| entry.changed_at);
        }
        let records = changed.into_iter().map(|entry| entry.record.clone()).collect();
        Changes { cursor, records }
    }

    /// What somebody lacks who followed another registry and knows what this digest tells, and
    /// the buckets in which that one may know more.
    pub fn changes_from(&self, known: &Digest) -> (Changes, Buckets) {
        let differing = self.digest().differing(known);
        let lacking = self.records().filter(|record| differing.contains(&record.heartbeat.id));
        let records: Vec<_> = lacking.cloned().collect();
        if records.len() > PAGE_RECORDS {
            // Too much for one answer: all of it, page by page.
            return (self.changes_after(Cursor::default()), differing);
        }
        (Changes { cursor: self.cursor(), records }, differing)
    }

    /// What is known, in a few numbers; worked out once for each change.
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

    /// Where one stands who knows all of it.
    pub fn cursor(&self) -> Cursor {
        Cursor { life: self.life, change: self.change }
    }

    /// One record.
    pub fn record(&self, id: &UpstreamId) -> Option<&Record> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }
}

/// Whether only the sequence number differs.
fn is_same_state(left: &Heartbeat, right: &Heartbeat) -> bool {
    left.standing == right.standing
        && left.address == right.address
        && left.service == right.service
        && left.slots == right.slots
}
