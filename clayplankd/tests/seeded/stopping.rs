//! Planned stops of entry hosts while callers wait for answers, or read them slowly.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use crate::answer::Answer;
use crate::failover::leader;
use crate::queued::{QueueSystem, TOKENS};
use crate::system::{KEY, System, call_with_headers, plan, wait_for};

/// Callers of a host that stops; their streams take longer in total than it has left.
const CALLERS: usize = 24;

/// Requests that waited in the queue of a stopping host got no answer: their connections closed with
/// its process.
#[test]
fn requests_that_wait_at_a_stopping_host_are_answered() {
    let QueueSystem { mut system } = QueueSystem::start();
    let address = system.entries[0].callers();
    let send = |number: usize| {
        let attempt = format!("stopped-{number}");
        let tokens = [("x-clayplank-tokens", TOKENS)];
        call_with_headers(address, &attempt, 9_000, "/prompt/x", &tokens, "body")
    };
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || send(n))).collect();
        let queued = |line: &str| {
            line.strip_prefix("clayplank_keeper_queued ").is_some_and(|count| count != "0")
        };
        wait_for("queued requests", || {
            system.keepers[leader(&system)].metrics().lines().any(queued)
        });
        system.entries[0].terminate();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    wait_for("the end of the host", || system.entries[0].has_ended());
    let outcomes: Vec<_> =
        answers.iter().map(|answer| (answer.status, answer.is_complete)).collect();
    let is_answered =
        |(status, is_complete): &(u16, bool)| *is_complete && (*status == 200 || *status == 503);
    assert!(outcomes.iter().all(is_answered), "{outcomes:?}");
    assert!(outcomes.contains(&(200, true)) && outcomes.contains(&(503, true)), "{outcomes:?}");
}

/// Size of an answer that does not fit the buffers of the operating system, in bytes.
const LARGE_BYTES: usize = 7 << 20;

/// Time for which a caller reads it, which is longer than the load balancer needs.
const READ_TIME: Duration = Duration::from_secs(8);

/// A plan that allows bodies of this size.
fn plan_with_large_bodies(version: u64) -> Value {
    let mut plan = plan(version);
    plan["limits"] = json!({ "max_body_bytes": LARGE_BYTES });
    plan
}

/// A host ended as soon as it had handed an answer to the connection.
#[test]
fn an_answer_that_is_read_slowly_is_not_cut_off_by_a_planned_stop() {
    let mut system = System::start();
    system.entries[0].change_settings_file(|settings| settings["bounds"]["grace_s"] = json!(30.0));
    system.entries[0].kill();
    system.entries[0].start();
    system.wait_for_plan(&plan_with_large_bodies(2));
    let large = "a".repeat(LARGE_BYTES);
    wait_for("a whole large answer", || {
        let answer =
            call_with_headers(system.entries[0].callers(), "first", 9_000, "/once/x", &[], &large);
        answer.status == 200 && answer.is_complete
    });
    let mut reader = BufReader::new(send_large(system.entries[0].callers(), &large));
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).unwrap() > 0, "{head}");
    }
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    system.entries[0].terminate();
    let started = Instant::now();
    let (mut received, mut piece) = (0, vec![0; 64 << 10]);
    while received < LARGE_BYTES {
        match reader.read(&mut piece) {
            Ok(bytes) if bytes > 0 => received += bytes,
            end => panic!("cut off after {received} bytes and {:?}: {end:?}", started.elapsed()),
        }
        let due = READ_TIME.mul_f64(received as f64 / LARGE_BYTES as f64);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
    }
    wait_for("the end of the host", || system.entries[0].has_ended());
}

/// Sends a request whose answer is its body. The receive buffer is small, so that most of the answer
/// waits at the host.
fn send_large(address: SocketAddr, body: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(8 << 10).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: dala.example\r\nauthorization: Bearer {KEY}\r\n\
         x-clayplank-attempt-id: slow\r\nx-clayplank-deadline-ms: 9000\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    stream
}
