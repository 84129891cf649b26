//! Memory that other engines hold for a prompt: reserved before, renewed while it runs, released after.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::task::JoinHandle;

use crate::exchange::call_whole;

/// How long a reservation holds without being renewed, in ms: memory of a host that
/// died is free again before anybody counts it as lost.
const HOLD_MS: u64 = 3_000;

/// Between two renewals: one that is lost is made up for by the next.
const RENEW_EVERY: Duration = Duration::from_millis(1_000);

/// Time for an engine to take an order.
const ORDER_PATIENCE: Duration = Duration::from_millis(500);

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
pub struct Reservation {
    orders: Arc<dyn OrderFormat>,
    tickets: Arc<[Ticket]>,
    renewal: JoinHandle<()>,
}

impl Reservation {
    /// Reserves at all engines at once; `None` if one of them has no room. What was
    /// reserved is given back then.
    pub async fn make(orders: Arc<dyn OrderFormat>, tickets: Vec<Ticket>) -> Option<Self> {
        let tickets: Arc<[Ticket]> = tickets.into();
        let renewal = tokio::spawn(renew(Arc::clone(&orders), Arc::clone(&tickets)));
        // From here on dropping it releases what may be held.
        let reservation = Self { orders, tickets, renewal };
        let is_held = reserve_all(&reservation.orders, &reservation.tickets).await;
        is_held.then_some(reservation)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewal.abort();
        let (orders, tickets) = (Arc::clone(&self.orders), Arc::clone(&self.tickets));
        tokio::spawn(async move {
            let calls =
                tickets.iter().map(|ticket| give_order(ticket, orders.release(&ticket.name)));
            futures_util::future::join_all(calls).await;
        });
    }
}

async fn renew(orders: Arc<dyn OrderFormat>, tickets: Arc<[Ticket]>) {
    loop {
        tokio::time::sleep(RENEW_EVERY).await;
        if !reserve_all(&orders, &tickets).await {
            log::info!(target: "forward", tickets = tickets.len(); "A reservation was not renewed everywhere");
        }
    }
}

async fn reserve_all(orders: &Arc<dyn OrderFormat>, tickets: &[Ticket]) -> bool {
    let calls = tickets
        .iter()
        .map(|ticket| give_order(ticket, orders.reserve(&ticket.name, ticket.tokens, HOLD_MS)));
    futures_util::future::join_all(calls).await.into_iter().all(|is_taken| is_taken)
}

/// Gives an order; whether the engine took it.
async fn give_order(ticket: &Ticket, order: Request<Full<Bytes>>) -> bool {
    match call_whole(ticket.address, order, ORDER_PATIENCE).await {
        Ok((status, _)) => status == StatusCode::OK,
        Err(error) => {
            log::info!(target: "forward", ticket = ticket.name, cause:% = error; "An order failed");
            false
        }
    }
}
