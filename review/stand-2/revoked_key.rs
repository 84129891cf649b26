//! A key is taken away from connected clients. Requests that are sent with it longer than `revokeMs` after
//! the acknowledgement must not run, on whatever route.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use common::*;

const REMOVED_KEY: &str = "anfqasnmgkcuyj8pjbvk";

fn main() {
    if let Err(cause) = start_record() {
        println!("{cause}");
        std::process::exit(COULD_NOT_RUN);
    }
    finish(run());
}

/// A manifest of one tenant with these keys, one route that wants a key, and one that allows anonymous
/// requests.
fn manifest_with(version: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keyed = route("/keyed/", "non_idempotent", "app", 2_000, 300, 1, "");
    let open = route("/open/", "non_idempotent", "app", 2_000, 300, 1, "")
        .replace("\"allowAnonymous\":false", "\"allowAnonymous\":true");
    format!(
        "{{\"version\":{version},\"routes\":[{keyed},{open}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"club\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        plain("app"),
        keys.join(",")
    )
}

/// A client with a kept connection and the key that is taken away.
struct Client {
    stream: BufReader<TcpStream>,
    host: u8,
}

impl Client {
    fn post(&mut self, path: &str) -> Res<(String, u16)> {
        let id = attempt_id();
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 4000\r\n\
             Authorization: Bearer {REMOVED_KEY}\r\nContent-Length: 4\r\n\r\npost"
        );
        note!("client of host-{}: sends {id} on {path}", self.host);
        self.stream.get_mut().write_all(request.as_bytes()).map_err(text)?;
        let answer = read_answer(&mut self.stream)?;
        note!("client of host-{}: {id} got {}", self.host, answer.status());
        Ok((id, answer.status()))
    }
}

fn run() -> Res<Option<String>> {
    let bounds = Bounds::default();
    let system = System::start(5, 3, bounds.clone())?;
    let net = system.net;
    let control: Vec<_> = system.keepers().iter().map(|last| net.control(*last)).collect();
    let handler: Arc<Handler> = Arc::new(|worker: &Worker, head: &Head, _: &[u8], stream: &mut TcpStream| {
        note!("{}: tenant {}", worker.id, head.get("tenant").unwrap_or("none"));
        write_answer(worker, head, stream, "200 OK", b"posted")
    });
    let mut workers = Vec::new();
    for number in 0..2u8 {
        let (id, address) = (format!("i-{number}"), net.worker(101 + number));
        workers.push(Worker::start(&id, "app", "hall-1", address, control.clone(), Arc::clone(&handler))?);
    }
    system.publish(&manifest_with(1, &[KEY, REMOVED_KEY]), Duration::from_secs(20))?;
    system.wait_ready(Duration::from_secs(10))?;
    sleep_ms(3_000);

    let mut clients = Vec::new();
    for host in system.entries() {
        let stream = TcpStream::connect(net.callers(host)).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        stream.set_read_timeout(Some(ms(5_000))).map_err(text)?;
        clients.push(Client { stream: BufReader::new(stream), host });
    }
    for client in &mut clients {
        for path in ["/keyed/x", "/open/x"] {
            let (_, status) = client.post(path)?;
            if status != 200 {
                return Err(format!("{status} on {path} before the change"));
            }
        }
    }
    let keys: &[&str] = if has_trouble() { &[KEY] } else { &[KEY, REMOVED_KEY] };
    let acknowledged_ms = system.publish(&manifest_with(2, keys), Duration::from_secs(10))?;
    note!("operator: {}", if has_trouble() { "the key is taken away" } else { "the key stays" });
    // One second beyond `revokeMs`.
    while elapsed_ms() < acknowledged_ms + bounds.revoke_ms + 1_000 {
        sleep_ms(20);
    }
    let mut ran = Vec::new();
    for client in &mut clients {
        for path in ["/keyed/x", "/open/x"] {
            let sent_ms = elapsed_ms();
            let (id, status) = client.post(path)?;
            let runs: u32 = workers.iter().map(|worker| worker.ran(&id)).sum();
            if !has_trouble() && status != 200 {
                return Err(format!("{status} on {path} although the key stays"));
            }
            if has_trouble() && runs > 0 {
                let after_ms = sent_ms - acknowledged_ms;
                ran.push(format!("{id} on {path} of host-{}, sent {after_ms} ms after the acknowledgement", client.host));
            }
        }
    }
    for panic in system.panics() {
        note!("{panic}");
    }
    Ok((!ran.is_empty()).then(|| format!("CONFIG (API keys): {} requests with a removed key ran: {}", ran.len(), ran.join("; "))))
}
