//! Orders that an engine carries out late, after newer ones.
//!
//! What users saw: memory stayed set aside on engines long after its prompt had ended, several
//! times in one run. An order that got no answer may be carried out seconds later. A renewal that
//! is, after the release, sets the memory aside anew, and each further one that comes late keeps
//! it; nobody gives it back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use clayplank_forward::{Reservation, Ticket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::Orders;

/// What a wait may take before the test counts as failed; nothing is timed by it.
const PATIENCE: Duration = Duration::from_secs(30);

/// An engine whose memory is given back by a release alone.
#[derive(Default)]
struct Engine {
    is_held: bool,
    /// Reservations are read, and neither answered nor carried out yet.
    is_late: bool,
    late: usize,
    releases: usize,
}

type SharedEngine = Arc<Mutex<Engine>>;

async fn start_engine(engine: SharedEngine) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(take_order(stream, Arc::clone(&engine)));
        }
    });
    address
}

async fn take_order(mut stream: TcpStream, engine: SharedEngine) {
    let mut head = vec![0; 4_096];
    let length = stream.read(&mut head).await.unwrap();
    let is_reserve = head[..length].starts_with(b"POST /reserve");
    let is_answered = {
        let mut engine = engine.lock().unwrap();
        match (is_reserve, engine.is_late) {
            (true, true) => engine.late += 1,
            (true, false) => engine.is_held = true,
            (false, _) => {
                engine.releases += 1;
                engine.is_held = false;
            }
        }
        !(is_reserve && engine.is_late)
    };
    if !is_answered {
        // The connection stays open without an answer, until the caller gives it up.
        let _closed = stream.read(&mut head).await;
        return;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await.ok();
}

async fn wait_for(what: &str, mut is_so: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_so() {
        assert!(started.elapsed() < PATIENCE, "{what} did not happen");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn hold_memory(engine: &SharedEngine) -> Reservation {
    let address = start_engine(Arc::clone(engine)).await;
    let ticket = Ticket { address, name: "t1".to_owned(), tokens: 1_000 };
    Reservation::make(Arc::new(Orders), vec![ticket]).await.unwrap()
}

#[tokio::test]
async fn a_renewal_that_is_carried_out_after_the_release_holds_nothing_for_good() {
    let engine = SharedEngine::default();
    let reservation = hold_memory(&engine).await;
    engine.lock().unwrap().is_late = true;
    wait_for("a renewal without an answer", || engine.lock().unwrap().late > 0).await;
    drop(reservation);
    wait_for("the release", || engine.lock().unwrap().releases > 0).await;
    // The renewal is carried out now.
    engine.lock().unwrap().is_held = true;
    wait_for("another release", || !engine.lock().unwrap().is_held).await;
}

#[tokio::test]
async fn memory_that_was_renewed_in_order_is_released_once() {
    let engine = SharedEngine::default();
    let reservation = hold_memory(&engine).await;
    drop(reservation);
    wait_for("the release", || engine.lock().unwrap().releases > 0).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(engine.lock().unwrap().releases, 1, "each order has its price");
}
