//! Commands that an engine executes out of order. These tests guard against memory that stays
//! reserved long after its prompt has ended.
//!
//! An engine may execute a command that got no answer seconds later. A renewal executed after the
//! release reserves the memory again, and each further delayed one extends the reservation, until
//! another release is sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use clayplank_connect::Connector;
use clayplank_forward::{CommandSender, Reservation, Ticket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{PathCommands, WAIT_TIMEOUT};

/// An engine whose reservations do not expire: only a release frees the memory.
#[derive(Default)]
struct Engine {
    is_reserved: bool,
    /// Whether reservations are read, but neither answered nor executed yet.
    delays_reservations: bool,
    /// Number of reservations received and not executed.
    delayed: usize,
    releases: usize,
}

type SharedEngine = Arc<Mutex<Engine>>;

async fn start_engine(engine: SharedEngine) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(handle_command(stream, Arc::clone(&engine)));
        }
    });
    address
}

async fn handle_command(mut stream: TcpStream, engine: SharedEngine) {
    let mut head = vec![0; 4_096];
    let length = stream.read(&mut head).await.unwrap();
    let is_reserve = head[..length].starts_with(b"POST /reserve");
    let is_answered = {
        let mut engine = engine.lock().unwrap();
        match (is_reserve, engine.delays_reservations) {
            (true, true) => engine.delayed += 1,
            (true, false) => engine.is_reserved = true,
            (false, _) => {
                engine.releases += 1;
                engine.is_reserved = false;
            }
        }
        !(is_reserve && engine.delays_reservations)
    };
    if !is_answered {
        // Keeps the connection open without an answer until the host abandons the request.
        let _closed = stream.read(&mut head).await;
        return;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await.ok();
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{what} did not happen");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn commands() -> CommandSender {
    CommandSender { connector: Arc::new(Connector::default()), format: Arc::new(PathCommands) }
}

async fn reserve_memory(engine: &SharedEngine) -> Reservation {
    let address = start_engine(Arc::clone(engine)).await;
    let ticket = Ticket { address, name: "t1".to_owned(), tokens: 1_000 };
    Reservation::make(commands(), vec![ticket]).await.unwrap()
}

#[tokio::test]
async fn a_renewal_executed_after_the_release_is_released_again() {
    let engine = SharedEngine::default();
    let reservation = reserve_memory(&engine).await;
    engine.lock().unwrap().delays_reservations = true;
    wait_for("a renewal without an answer", || engine.lock().unwrap().delayed > 0).await;
    drop(reservation);
    wait_for("the release", || engine.lock().unwrap().releases > 0).await;
    // The engine executes the delayed renewal now.
    engine.lock().unwrap().is_reserved = true;
    wait_for("another release", || !engine.lock().unwrap().is_reserved).await;
}

#[tokio::test]
async fn memory_reserved_without_delayed_commands_is_released_once() {
    let engine = SharedEngine::default();
    let reservation = reserve_memory(&engine).await;
    drop(reservation);
    wait_for("the release", || engine.lock().unwrap().releases > 0).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(engine.lock().unwrap().releases, 1, "each command has a cost");
}
