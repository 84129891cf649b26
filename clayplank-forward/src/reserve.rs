//! Memory reserved at other engines for a prompt: reserved before it runs, renewed while it runs,
//! released afterwards.
//!
//! One task sends all commands for a prompt, so that they cannot overtake each other. An engine
//! that did not answer a command may still execute it seconds after later ones: a renewal executed
//! after the release would reserve memory that nobody uses. If a command was unanswered, the
//! release is therefore repeated until no earlier command for that prompt can still be executed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_connect::Connector;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::oneshot;

use crate::exchange::{CallError, ExchangeError, request_complete};

/// Time for which a reservation is valid without a renewal, in ms. Memory reserved by a failed host
/// becomes free before it counts as lost.
const LEASE_MS: u64 = 3_000;

/// Interval between renewals; the next renewal makes up for a lost one.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time-out of a command to an engine.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time after which an unanswered command may still be executed; platform engines take up
/// to 12 s.
const MAX_COMMAND_DELAY: Duration = Duration::from_secs(13);

/// Interval between releases while an earlier command may still be executed. A late command
/// reserves memory for at most this long, which is less than the 4 s after which memory counts as
/// lost.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(2_500);

/// Format of commands to engines, implemented outside this crate.
pub trait CommandFormat: Send + Sync + 'static {
    /// Reserves memory, or renews the reservation with this ticket.
    fn reserve(&self, ticket: &str, tokens: u64, lease_ms: u64) -> Request<Full<Bytes>>;

    /// Releases the reservation with this ticket.
    fn release(&self, ticket: &str) -> Request<Full<Bytes>>;
}

/// Sends commands to engines.
#[derive(Clone)]
pub struct CommandSender {
    /// Opens the connections to engines.
    pub connector: Arc<Connector>,
    /// Format of the commands.
    pub format: Arc<dyn CommandFormat>,
}

impl std::fmt::Debug for CommandSender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CommandSender").finish_non_exhaustive()
    }
}

/// A reservation of memory at one engine.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Address at which the engine accepts commands.
    pub address: SocketAddr,
    /// Name of the ticket, unique among all prompts.
    pub name: String,
    /// Size of the reserved memory, in tokens.
    pub tokens: u64,
}

/// All memory reserved at other engines for one prompt; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    /// Its drop signals the task that the memory is no longer needed.
    _keep_alive: oneshot::Sender<()>,
}

impl Reservation {
    /// Reserves memory at all engines in parallel; `None` if one of them has no room. In that case
    /// memory that was reserved is released.
    pub async fn make(commands: CommandSender, tickets: Vec<Ticket>) -> Option<Self> {
        let (keep_alive, released) = oneshot::channel();
        let (result_sender, result) = oneshot::channel();
        // From here on, dropping it releases what may have been reserved.
        let reservation = Self { _keep_alive: keep_alive };
        tokio::spawn(maintain(commands, tickets, result_sender, released));
        result.await.unwrap_or(false).then_some(reservation)
    }
}

/// A ticket, and whether commands for it are unconfirmed.
struct TicketState {
    ticket: Ticket,
    /// Time at which the last reservation without an answer was sent.
    last_unanswered_at: Option<Instant>,
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandResult {
    Taken,
    Refused,
    /// The command was not sent.
    NotSent,
    /// The command may have been executed, or may be later.
    Unknown,
}

/// Reserves memory, reports whether all engines had room, renews the reservation while `released`
/// is open, and then releases it.
async fn maintain(
    commands: CommandSender,
    tickets: Vec<Ticket>,
    result: oneshot::Sender<bool>,
    mut released: oneshot::Receiver<()>,
) {
    let mut states: Vec<_> = tickets
        .into_iter()
        .map(|ticket| TicketState { ticket, last_unanswered_at: None })
        .collect();
    let is_reserved = reserve_all(&commands, &mut states).await;
    // If the caller has disconnected meanwhile, nothing receives this, and the memory is released.
    result.send(is_reserved).ok();
    loop {
        tokio::select! {
            biased;
            _ = &mut released => break,
            () = clayplank_clock::sleep(RENEW_INTERVAL) => {}
        }
        if !reserve_all(&commands, &mut states).await {
            log::info!(target: "forward",
                tickets = states.len(); "Could not renew a memory reservation at all engines");
        }
    }
    let releases = states.iter().map(|state| release(&commands, state));
    futures_util::future::join_all(releases).await;
}

async fn reserve_all(commands: &CommandSender, states: &mut [TicketState]) -> bool {
    let calls = states.iter_mut().map(|state| async {
        let sent_at = Instant::now();
        let command = commands.format.reserve(&state.ticket.name, state.ticket.tokens, LEASE_MS);
        let result = commands.send(&state.ticket, command).await;
        if result == CommandResult::Unknown {
            state.last_unanswered_at = Some(sent_at);
        }
        result == CommandResult::Taken
    });
    futures_util::future::join_all(calls).await.into_iter().all(|is_accepted| is_accepted)
}

/// Releases a ticket, repeatedly while an earlier reservation of it may still be executed.
async fn release(commands: &CommandSender, state: &TicketState) {
    let ticket = &state.ticket;
    let first = commands.send(ticket, commands.format.release(&ticket.name)).await;
    let Some(last_unanswered_at) = state.last_unanswered_at else {
        return;
    };
    log::info!(target: "forward",
        ticket = ticket.name, first:? = first;
        "An unanswered command may still be executed; repeats the release");
    while last_unanswered_at.elapsed() < MAX_COMMAND_DELAY {
        clayplank_clock::sleep(RELEASE_RETRY_INTERVAL).await;
        commands.send(ticket, commands.format.release(&ticket.name)).await;
    }
}

impl CommandSender {
    /// Sends a command to an engine.
    async fn send(&self, ticket: &Ticket, command: Request<Full<Bytes>>) -> CommandResult {
        match request_complete(&self.connector, ticket.address, command, COMMAND_TIMEOUT).await {
            Ok((StatusCode::OK, _)) => CommandResult::Taken,
            Ok(_) => CommandResult::Refused,
            Err(error) => {
                log::info!(target: "forward",
                    ticket = ticket.name, cause:% = error; "A command to an engine failed");
                match error {
                    CallError::Exchange(ExchangeError::Connect(_)) => CommandResult::NotSent,
                    CallError::Exchange(ExchangeError::Failed(_) | ExchangeError::NotFinal(_))
                    | CallError::Body(_)
                    | CallError::TimedOut => CommandResult::Unknown,
                }
            }
        }
    }
}
