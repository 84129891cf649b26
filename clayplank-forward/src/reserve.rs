//! Memory that other engines hold for a prompt: reserved before, renewed while it runs, released after.
//!
//! One task gives all orders of a prompt, so that none of its own overtakes another. An engine
//! may still carry out an order seconds after newer ones, if it gave no answer to it: a renewal
//! that follows the release holds memory that nobody uses. After such a doubt the release is
//! given again and again, until no order of that prompt can be on its way any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::oneshot;

use crate::exchange::{CallError, ExchangeError, call_whole};

/// How long a reservation holds without being renewed, in ms: memory of a host that
/// died is free again before anybody counts it as lost.
const HOLD_MS: u64 = 3_000;

/// Between two renewals: one that is lost is made up for by the next.
const RENEW_EVERY: Duration = Duration::from_millis(1_000);

/// Time for an engine to take an order.
const ORDER_PATIENCE: Duration = Duration::from_millis(500);

/// How long after it was given an order without an answer may still be carried out: the engines of
/// the users' platform take up to 12 s.
const LATE_ORDER: Duration = Duration::from_secs(13);

/// Between two releases while an order may be on its way. An order that comes late holds memory
/// for this long at most, which is less than the 4 s after which memory counts as lost.
const RELEASE_AGAIN_EVERY: Duration = Duration::from_millis(2_500);

/// How orders to engines are written: an edge of the process.
pub trait OrderFormat: Send + Sync + 'static {
    /// Sets memory aside, or renews what was set aside under this ticket.
    fn reserve(&self, ticket: &str, tokens: u64, hold_ms: u64) -> Request<Full<Bytes>>;

    /// Gives it back.
    fn release(&self, ticket: &str) -> Request<Full<Bytes>>;
}

/// Memory at one engine.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Where the engine takes orders.
    pub address: SocketAddr,
    /// Its name, which no other prompt uses.
    pub name: String,
    /// How much memory it holds.
    pub tokens: u64,
}

/// All memory that other engines hold for one prompt; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    /// Its end tells the task that the memory is not needed any more.
    _needed: oneshot::Sender<()>,
}

impl Reservation {
    /// Reserves at all engines at once; `None` if one of them has no room. What was
    /// reserved is given back then.
    pub async fn make(orders: Arc<dyn OrderFormat>, tickets: Vec<Ticket>) -> Option<Self> {
        let (needed, ended) = oneshot::channel();
        let (held_sender, held) = oneshot::channel();
        // From here on dropping it releases what may be held.
        let reservation = Self { _needed: needed };
        tokio::spawn(keep(orders, tickets, held_sender, ended));
        held.await.unwrap_or(false).then_some(reservation)
    }
}

/// A ticket, and what is not known of its orders.
struct Kept {
    ticket: Ticket,
    /// When a reservation was given last that had no answer.
    doubted: Option<Instant>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ordered {
    Taken,
    Refused,
    /// It was not sent.
    NotSent,
    /// It may have been carried out, or may be later.
    Unknown,
}

/// Reserves, tells whether all engines had room, renews while `ended` is open, and releases.
async fn keep(
    orders: Arc<dyn OrderFormat>,
    tickets: Vec<Ticket>,
    held: oneshot::Sender<bool>,
    mut ended: oneshot::Receiver<()>,
) {
    let mut all: Vec<_> =
        tickets.into_iter().map(|ticket| Kept { ticket, doubted: None }).collect();
    let is_held = reserve_all(&*orders, &mut all).await;
    // Nobody waits any more if the caller has left meanwhile; then the memory is released.
    held.send(is_held).ok();
    loop {
        tokio::select! {
            biased;
            _ = &mut ended => break,
            () = clayplank_clock::sleep(RENEW_EVERY) => {}
        }
        if !reserve_all(&*orders, &mut all).await {
            log::info!(target: "forward", tickets = all.len(); "A reservation was not renewed everywhere");
        }
    }
    let releases = all.iter().map(|kept| release(&*orders, kept));
    futures_util::future::join_all(releases).await;
}

async fn reserve_all(orders: &dyn OrderFormat, all: &mut [Kept]) -> bool {
    let calls = all.iter_mut().map(|kept| async {
        let given = Instant::now();
        let order = orders.reserve(&kept.ticket.name, kept.ticket.tokens, HOLD_MS);
        let ordered = give_order(&kept.ticket, order).await;
        if ordered == Ordered::Unknown {
            kept.doubted = Some(given);
        }
        ordered == Ordered::Taken
    });
    futures_util::future::join_all(calls).await.into_iter().all(|is_taken| is_taken)
}

/// Releases a ticket; again while a reservation of it may be carried out late.
async fn release(orders: &dyn OrderFormat, kept: &Kept) {
    let ticket = &kept.ticket;
    let first = give_order(ticket, orders.release(&ticket.name)).await;
    let Some(doubted) = kept.doubted else {
        return;
    };
    log::info!(target: "forward", ticket = ticket.name, first:? = first; "An order may be carried out late");
    while doubted.elapsed() < LATE_ORDER {
        clayplank_clock::sleep(RELEASE_AGAIN_EVERY).await;
        give_order(ticket, orders.release(&ticket.name)).await;
    }
}

/// Gives an order.
async fn give_order(ticket: &Ticket, order: Request<Full<Bytes>>) -> Ordered {
    match call_whole(ticket.address, order, ORDER_PATIENCE).await {
        Ok((StatusCode::OK, _)) => Ordered::Taken,
        Ok(_) => Ordered::Refused,
        Err(error) => {
            log::info!(target: "forward", ticket = ticket.name, cause:% = error; "An order failed");
            match error {
                CallError::Exchange(ExchangeError::Connect(_)) => Ordered::NotSent,
                CallError::Exchange(ExchangeError::Failed(_))
                | CallError::BrokenOff(_)
                | CallError::TimedOut => Ordered::Unknown,
            }
        }
    }
}
