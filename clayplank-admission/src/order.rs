//! Order in which queued requests are tried.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use clayplank_placement::PlacementId;
use clayplank_types::UpstreamId;

use crate::account_shares::AccountShares;
use crate::ledger::{Ahead, Ledger};
use crate::queue::{Entry, Queue};

/// Whether a request can still be in time. The order of the variants is that of the turns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Urgency {
    /// It can still be in time.
    #[default]
    InTime,
    /// It is late, and its caller returned by an appointment.
    Promised,
    /// It is late.
    Late,
}

/// Place of a request in the queue; smaller ones go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    pub(crate) urgency: Urgency,
    rank: u8,
    /// Round of its account: how often its account received the slot time of a round before.
    round: u64,
    /// Time of its deadline, in µs: of the goal if it can be in time, else of its last chance.
    deadline_us: i64,
    id: PlacementId,
}

impl Turn {
    /// About the turn that the request has once it is late.
    pub(crate) fn when_late(self) -> Self {
        Self { urgency: self.urgency.max(Urgency::Late), ..self }
    }
}

/// Requests that are alike: if one finds no room, no other does that may use the same engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Alike {
    urgency: Urgency,
    /// Binary logarithm of the prompt's length.
    length_band: u32,
    /// Whether it takes any free slot, whatever the price.
    on_any_slot: bool,
}

impl Alike {
    pub(crate) fn of(entry: &Entry, on_any_slot: bool) -> Self {
        Self { urgency: entry.turn.urgency, length_band: entry.length_band, on_any_slot }
    }
}

/// Alike requests that found no room, each kind with the engines that they must not use.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithoutRoom(BTreeMap<Alike, Vec<Vec<UpstreamId>>>);

impl WithoutRoom {
    pub(crate) fn insert(&mut self, alike: Alike, avoid: &[UpstreamId]) {
        self.0.entry(alike).or_default().push(avoid.to_vec());
    }

    /// Whether an alike request found no room that could use all engines which this one can use.
    pub(crate) fn includes(&self, alike: Alike, avoid: &[UpstreamId]) -> bool {
        let mut tried = self.0.get(&alike).into_iter().flatten();
        tried.any(|avoided| avoided.iter().all(|engine| avoid.contains(engine)))
    }
}

fn turn_without_round(now_ms: f64, entry: &Entry, backlog_ms: f64) -> Turn {
    let in_time_until_ms = entry.in_time_until_ms(backlog_ms);
    if now_ms > in_time_until_ms {
        return late_turn(entry, backlog_ms);
    }
    let deadline_us = (in_time_until_ms * 1e3) as i64;
    let (rank, id) = (entry.rank, entry.id);
    Turn { urgency: Urgency::InTime, rank, round: 0, deadline_us, id }
}

fn late_turn(entry: &Entry, backlog_ms: f64) -> Turn {
    let urgency = if entry.has_promise { Urgency::Promised } else { Urgency::Late };
    let deadline_us = (entry.last_chance_ms(backlog_ms) * 1e3) as i64;
    Turn { urgency, rank: entry.rank, round: 0, deadline_us, id: entry.id }
}

/// Turn of a request that is not queued yet, with the turns that the queue had at its last update.
pub(crate) fn turn_of_newcomer(
    now_ms: f64,
    queue: &Queue,
    shares: &AccountShares,
    entry: &Entry,
    backlog_ms: f64,
) -> Turn {
    let pool = &entry.request.pool;
    let turn = turn_without_round(now_ms, entry, backlog_ms);
    let before = queue.of_pool(pool).filter(|one| {
        (one.turn.urgency, one.rank) == (turn.urgency, turn.rank) && one.account == entry.account
    });
    let before_ms: f64 = before.map(|one| one.demand.slot_ms).sum();
    let received_ms = shares.received_ms(pool, &entry.account) + before_ms;
    Turn { round: (received_ms / shares.round_ms(pool)) as u64, ..turn }
}

/// Queued requests of the pool of a request, and which of them go ahead of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueAhead {
    /// Room of those with an earlier turn.
    pub(crate) now: Ahead,
    /// Room of those that have an earlier turn once it is late.
    pub(crate) when_late: Ahead,
    /// Room of all.
    pub(crate) all: Ahead,
    /// Whether one of about the same length has an earlier turn.
    pub(crate) has_alike: bool,
}

/// Finds the queued requests ahead of a request that is not queued yet.
pub(crate) fn ahead_of(queue: &Queue, entry: &Entry) -> QueueAhead {
    let late_turn = entry.turn.when_late();
    let mut ahead = QueueAhead::default();
    for one in queue.of_pool(&entry.request.pool) {
        ahead.all = ahead.all.plus(one);
        if one.turn < late_turn {
            ahead.when_late = ahead.when_late.plus(one);
        }
        if one.turn < entry.turn {
            ahead.now = ahead.now.plus(one);
            ahead.has_alike |= one.length_band == entry.length_band;
        }
    }
    ahead
}

/// A queued request while the turns are updated.
#[derive(Clone, Copy)]
struct Row<'a> {
    turn: Turn,
    entry: &'a Entry,
    /// Its position among the queued requests of its pool.
    position: usize,
    /// Number of its account.
    account: usize,
}

/// Slot times that accounts received, by the number of the account.
struct AccountTable {
    received_ms: Vec<f64>,
    round_ms: f64,
}

/// Updates the turns of all queued requests of a pool. Returns the requests in their order, and their
/// room.
pub(crate) fn update_turns(
    now_ms: f64,
    queue: &mut Queue,
    shares: &AccountShares,
    pool: &str,
    ledger: &Ledger,
) -> (Vec<PlacementId>, Ahead) {
    let backlog_ms = ledger.backlog_ms();
    let mut accounts = AccountTable { received_ms: Vec::new(), round_ms: shares.round_ms(pool) };
    let mut numbers: HashMap<&str, usize> = HashMap::new();
    let mut rows: Vec<Row<'_>> = Vec::with_capacity(queue.len());
    for (position, entry) in queue.of_pool(pool).enumerate() {
        let account = *numbers.entry(&entry.account).or_insert_with(|| {
            accounts.received_ms.push(shares.received_ms(pool, &entry.account));
            accounts.received_ms.len() - 1
        });
        let turn = turn_without_round(now_ms, entry, backlog_ms);
        rows.push(Row { turn, entry, position, account });
    }
    sort_by_rounds(&mut rows, &accounts);
    if demote_infeasible(now_ms, &mut rows, ledger) {
        sort_by_rounds(&mut rows, &accounts);
    }
    let order = rows.iter().map(|row| row.turn.id).collect();
    let queued = rows.iter().map(|row| row.entry).fold(Ahead::default(), Ahead::plus);
    let mut turns = vec![Turn::default(); rows.len()];
    rows.iter().for_each(|row| turns[row.position] = row.turn);
    for (entry, turn) in queue.of_pool_mut(pool).zip(turns) {
        entry.turn = turn;
    }
    (order, queued)
}

/// Sorts requests by their turns, with the rounds of the accounts.
fn sort_by_rounds(rows: &mut [Row<'_>], accounts: &AccountTable) {
    // The stable sort is fast on the many requests whose order has not changed.
    rows.sort_by_key(|row| Turn { round: 0, ..row.turn });
    let mut received_ms = accounts.received_ms.clone();
    let mut group = None;
    for row in rows.iter_mut() {
        if group.replace((row.turn.urgency, row.turn.rank))
            != Some((row.turn.urgency, row.turn.rank))
        {
            received_ms.clone_from(&accounts.received_ms);
        }
        let of_account_ms = &mut received_ms[row.account];
        row.turn.round = (*of_account_ms / accounts.round_ms) as u64;
        *of_account_ms += row.entry.demand.slot_ms;
    }
    rows.sort_by_key(|row| row.turn);
}

/// Makes requests late for which the pool has no room in time, so that the others are in time. If
/// all were tried in order of their deadlines, all would be placed at their deadlines, and slight
/// delays would make all of them late.
///
/// By the algorithm of Moore and Hodgson (1968), with the worth per time in place of the time: the
/// requests are taken in their order, and when one can't be in time, the one with the smallest
/// worth is left out, of several the one with the earliest deadline. Only requests of one round
/// give way to each other, so that an account does not displace those that received less.
///
/// Returns whether there were any.
fn demote_infeasible(now_ms: f64, rows: &mut [Row<'_>], ledger: &Ledger) -> bool {
    let mut ahead = Ahead::default();
    let mut group = None;
    let mut kept = BinaryHeap::new();
    let mut has_demoted = false;
    for position in 0..rows.len() {
        let Row { turn, entry, .. } = rows[position];
        if turn.urgency != Urgency::InTime {
            break;
        }
        if group.replace((turn.rank, turn.round)) != Some((turn.rank, turn.round)) {
            kept.clear();
        }
        let start_ms = now_ms + ledger.start_in_ms(ahead);
        ahead = ahead.plus(entry);
        kept.push(Reverse((entry.worth_rank, turn.deadline_us, position)));
        if start_ms * 1e3 <= turn.deadline_us as f64 {
            continue;
        }
        if let Some(Reverse((_, _, least))) = kept.pop() {
            let row = &mut rows[least];
            ahead = ahead.minus(row.entry);
            row.turn = late_turn(row.entry, ledger.backlog_ms());
            has_demoted = true;
        }
    }
    has_demoted
}
