//! A worker that was told to leave is gone two seconds after the notice, in the middle of answers without
//! a length. Whatever the caller gets must not look complete.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::*;

const EVENTS: usize = 35;
const PAUSE_MS: u64 = 100;
const STREAMS: usize = 16;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "worker") {
        worker(&arguments);
        return;
    }
    if let Err(cause) = start_record() {
        println!("{cause}");
        std::process::exit(COULD_NOT_RUN);
    }
    finish(run());
}

/// A worker process: `worker ID ADDRESS CONTROL...`.
fn worker(arguments: &[String]) {
    let control = arguments[3..].iter().map(|one| one.parse().expect("an address")).collect();
    let address = arguments[2].parse().expect("an address");
    let handler = |worker: &Worker, head: &Head, _: &[u8], stream: &mut std::net::TcpStream| {
        let id = head.get("attempt-id").unwrap_or("").to_owned();
        let after: usize = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        println!("{}: begins {id} after event {after}", worker.id);
        // No length: the answer ends with its connection.
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nResponse-Seal: {}\r\n\
             Connection: close\r\n\r\n",
            seal(worker, &id)
        );
        stream.write_all(answer.as_bytes())?;
        for event in after + 1..=EVENTS {
            thread::sleep(Duration::from_millis(PAUSE_MS));
            stream.write_all(format!("id: {event}\ndata: {:0>40}\n\n", event).as_bytes())?;
        }
        println!("{}: ends {id} after event {EVENTS}", worker.id);
        Ok(false)
    };
    let worker = Worker::start(&arguments[1], "pool", "hall-1", address, control, Arc::new(handler)).expect("a worker");
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match line.as_str() {
            "drain" => {
                let is_acknowledged = worker.drain();
                println!("{}: told that it leaves, acknowledged: {is_acknowledged}", worker.id);
            }
            "end" => {
                worker.beats.store(false, std::sync::atomic::Ordering::SeqCst);
                let path = format!("/api/instances/{}", worker.id);
                call(worker.control[0], "DELETE", &path, &[], b"", ms(1_000)).ok();
                std::process::exit(0);
            }
            _ => {}
        }
    }
}

fn run() -> Res<Option<String>> {
    let system = System::start(5, 2, Bounds::default())?;
    let net = system.net;
    let control: Vec<String> = system.keepers().iter().map(|last| net.control(*last).to_string()).collect();
    let mut workers = Vec::new();
    for number in 0..8u8 {
        let mut arguments = vec!["worker".to_owned(), format!("i-{number}"), net.worker(101 + number).to_string()];
        arguments.extend(control.iter().cloned());
        workers.push(WorkerProcess::spawn(&arguments)?);
    }
    let routes = [route("/s/", "streaming", "pool", 10_000, 300, 2, ",\"stickySessions\":true,\"resumable\":true,\"gap_aim_ms\":200")];
    system.publish(&manifest(1, &routes, &[engine("pool")]), Duration::from_secs(20))?;
    system.wait_ready(Duration::from_secs(10))?;
    sleep_ms(3_000);

    let entries = system.entries();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let address = net.callers(entries[number % entries.len()]);
            thread::spawn(move || {
                let id = attempt_id();
                let parts = format!("{id}:1460");
                let headers = [("Model", "m"), ("Token-Counts", "1460,1610"), ("Prompt-Prefix", parts.as_str())];
                note!("caller: sends {id}");
                let answer = ask(address, "POST", "/s/x", &id, 10_000, &headers, b"prompt");
                (id, answer)
            })
        })
        .collect();
    sleep_ms(700);
    let busiest = (0..workers.len()).max_by_key(|number| workers[*number].count("begins")).ok_or("no worker")?;
    let worker = &mut workers[busiest];
    if worker.count("begins") == 0 {
        return Err("no worker was sent anything".to_owned());
    }
    worker.tell("drain");
    if !worker.wait_for("acknowledged: true", Duration::from_secs(3)) {
        return Err("the notice of the worker was not acknowledged".to_owned());
    }
    if has_trouble() {
        // `scale_in`, how `spot`: the worker is gone x s (2) after the notice.
        sleep_ms(2_000);
        worker.kill();
    }
    let mut broken = Vec::new();
    let mut served = 0;
    for caller in callers {
        let (id, answer) = caller.join().map_err(|_| "a caller failed")?;
        let answer = match answer {
            Ok(answer) => answer,
            Err(cause) => {
                note!("caller: {id} got no answer: {cause}");
                continue;
            }
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let ids: Vec<usize> = body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
        let is_whole = ids == (1..=EVENTS).collect::<Vec<_>>();
        note!(
            "caller: {id} got {}, {} events, looks complete: {}, cause: {}, seal {}",
            answer.status(), ids.len(), answer.is_complete, answer.cause, answer.head.get("response-seal").unwrap_or("none")
        );
        served += usize::from(answer.status() == 200 && answer.is_complete && is_whole);
        if answer.status() == 200 && answer.is_complete && !is_whole {
            broken.push(format!("{id}: {} of {EVENTS} events", ids.len()));
        }
    }
    if !has_trouble() {
        workers[busiest].tell("end");
        if served < STREAMS {
            return Err(format!("only {served} of {STREAMS} streams were served without a disruption"));
        }
    }
    for panic in system.panics() {
        note!("{panic}");
    }
    Ok((!broken.is_empty()).then(|| format!("ORDER, MIXED: {} streams end as complete before their last piece: {}", broken.len(), broken.join("; "))))
}
