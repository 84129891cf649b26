//! Parts that the test programs share: hosts, HTTP, workers, the operator, and the record.
//!
//! Only the standard library is used. All addresses are loopback addresses: each host and each worker
//! has an address of its own in one free /24 network of 127.0.0.0/8.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case: the rule held, it was broken, the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub type Res<T> = Result<T, String>;

pub fn text<E: std::fmt::Display>(error: E) -> String {
    error.to_string()
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep_ms(n: u64) {
    thread::sleep(ms(n));
}

/// Whether the disruption is part of this run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// --- started processes --------------------------------------------------------------------------

/// Longest run of a case; the scripts may take 120 s.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Processes that this program started and has not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn running() -> std::sync::MutexGuard<'static, Vec<u32>> {
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// Ends a process that this program started, and waits for its end.
pub fn end_process(child: &mut Child) {
    child.kill().ok();
    child.wait().ok();
    running().retain(|pid| *pid != child.id());
}

/// Ends the run, with all processes that it started, if it takes too long.
fn watch_time() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        for pid in running().drain(..) {
            Command::new("kill").args(["-KILL", &pid.to_string()]).status().ok();
        }
        note("the case could not run: it took too long");
        std::process::exit(COULD_NOT_RUN);
    });
}

// --- record -------------------------------------------------------------------------------------

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Starts the record in the file that RECORD names.
pub fn start_record() -> Res<()> {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = File::create(&path).map_err(|error| format!("{path}: {error}"))?;
    watch_time();
    RECORD.set((Instant::now(), Mutex::new(file))).map_err(|_| "record started twice".to_owned())
}

pub fn elapsed_ms() -> u64 {
    RECORD.get().map_or(0, |(start, _)| start.elapsed().as_millis() as u64)
}

/// Writes a line with the time since the start to the record.
pub fn note(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let at = start.elapsed().as_millis();
        let mut file = file.lock().unwrap_or_else(|e| e.into_inner());
        writeln!(file, "{at:>7} ms  {line}").ok();
    }
}

#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::common::note(&format!($($part)*)) };
}

/// Ends the program with the outcome of a case.
pub fn finish(outcome: Res<Option<String>>) -> ! {
    let code = match outcome {
        Ok(None) => {
            note("the rule held");
            println!("the rule held");
            HELD
        }
        Ok(Some(broken)) => {
            note(&format!("the rule was broken: {broken}"));
            println!("the rule was broken: {broken}");
            BROKEN
        }
        Err(cause) => {
            note(&format!("the case could not run: {cause}"));
            println!("the case could not run: {cause}");
            COULD_NOT_RUN
        }
    };
    std::process::exit(code)
}

// --- HTTP ---------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the chunks of a body, and calls `on_chunk` with each; whether the last chunk came.
pub fn read_chunks(
    stream: &mut impl BufRead,
    mut on_chunk: impl FnMut(&[u8]),
) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        on_chunk(&chunk[..size]);
    }
}

/// Reads the body of a request.
pub fn read_request_body(stream: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        read_chunks(stream, |chunk| body.extend_from_slice(chunk))?;
        return Ok(body);
    }
    let length = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer looks complete: its length, its last chunk, or its connection says so.
    pub is_complete: bool,
    /// What ended an answer that is not complete.
    pub cause: String,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }
}

/// Reads an answer. `Err` if not even its head came.
pub fn read_answer(stream: &mut impl BufRead) -> Result<Answer, String> {
    let head = match read_head(stream) {
        Ok(Some(head)) => head,
        Ok(None) => return Err("closed without an answer".to_owned()),
        Err(error) => return Err(format!("no head: {error}")),
    };
    let mut answer = Answer { head, ..Answer::default() };
    let read = if answer.head.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        let body = &mut answer.body;
        read_chunks(stream, |chunk| body.extend_from_slice(chunk))
    } else if let Some(length) = answer.head.get("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        let mut left = length;
        let mut part = [0; 4096];
        loop {
            if left == 0 {
                break Ok(());
            }
            let wanted = left.min(part.len());
            match stream.read(&mut part[..wanted]) {
                Ok(0) => break Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(size) => {
                    answer.body.extend_from_slice(&part[..size]);
                    left -= size;
                }
                Err(error) => break Err(error),
            }
        }
    } else {
        stream.read_to_end(&mut answer.body).map(drop)
    };
    match read {
        Ok(()) => answer.is_complete = true,
        Err(error) => answer.cause = error.to_string(),
    }
    Ok(answer)
}

/// One call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let stream = TcpStream::connect_timeout(&address, timeout).map_err(text)?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request += "Host: control\r\n";
    }
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes).map_err(text)?;
    read_answer(&mut BufReader::new(&stream))
}

// --- addresses ----------------------------------------------------------------------------------

/// A free network of loopback addresses, and ports that are free on it.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    second: u8,
    third: u8,
    pub port: u16,
}

impl Net {
    pub fn free() -> Res<Self> {
        let mut seed = std::process::id() as u64 * 2_654_435_761
            + std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |time| time.subsec_nanos() as u64);
        for _ in 0..50 {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let (second, third) = ((seed >> 33) as u8 % 200 + 20, (seed >> 41) as u8 % 250 + 1);
            let port = 20_000 + ((seed >> 49) as u16 % 9_000);
            let net = Self { second, third, port };
            let is_free = (0..16).all(|offset| {
                TcpListener::bind((net.ip(1), port + offset)).is_ok()
                    && TcpListener::bind((net.ip(101), port + offset)).is_ok()
            });
            if is_free {
                return Ok(net);
            }
        }
        Err("no free addresses".to_owned())
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, last)
    }

    pub fn callers(&self, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(last)), self.port)
    }

    pub fn readiness(&self, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(last)), self.port + 1)
    }

    pub fn control(&self, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(last)), self.port + 2)
    }

    pub fn worker(&self, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(last)), self.port + 5)
    }
}

// --- processes ----------------------------------------------------------------------------------

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    note!("signal {name} to process {pid}");
    Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status().ok();
}

/// The command of a role in the deploy file.
pub fn deployed_command(role: &str) -> Res<Vec<String>> {
    let file = fs::read_to_string("deploy/system.toml").map_err(text)?;
    let mut is_role = false;
    for line in file.lines() {
        let line = line.trim();
        if line.starts_with('[') {
            is_role = line == format!("[roles.{role}]");
        } else if let Some(run) = line.strip_prefix("run = \"").filter(|_| is_role) {
            return Ok(run.trim_end_matches('"').split(' ').map(str::to_owned).collect());
        }
    }
    Err(format!("no role {role} in deploy/system.toml"))
}

pub struct Host {
    pub last: u8,
    pub is_keeper: bool,
    pub data_centre: String,
    pub child: Option<Child>,
    starts: u32,
}

impl Host {
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }
}

/// Values of the bounds; those of the site `dala-results`, unless a case changes them.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub heartbeat_ms: u64,
    pub apply_ms: u64,
    pub revoke_ms: u64,
    pub drain_ms: u64,
    pub grace_s: u64,
    pub losses: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { heartbeat_ms: 1_200, apply_ms: 2_000, revoke_ms: 5_000, drain_ms: 2_000, grace_s: 8, losses: 2 }
    }
}

/// The hosts of a small deployment.
pub struct System {
    pub net: Net,
    pub dir: PathBuf,
    pub hosts: Vec<Host>,
    pub bounds: Bounds,
    seeds: Vec<u8>,
}

impl System {
    /// Starts keepers (addresses from 1) and entry hosts (addresses from 51) at the same time.
    pub fn start(keepers: u8, entries: u8, bounds: Bounds) -> Res<Self> {
        let net = Net::free()?;
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(text)?;
        let zone = |number: u8| format!("hall-{}", number % 3 + 1);
        let mut hosts = Vec::new();
        for number in 0..keepers {
            hosts.push(Host { last: 1 + number, is_keeper: true, data_centre: zone(number), child: None, starts: 0 });
        }
        for number in 0..entries {
            hosts.push(Host { last: 51 + number, is_keeper: false, data_centre: zone(number), child: None, starts: 0 });
        }
        let seeds = (1..=keepers.min(3)).collect();
        let mut system = Self { net, dir, hosts, bounds, seeds };
        for index in 0..system.hosts.len() {
            system.spawn(index, true)?;
        }
        note!("started {keepers} keepers and {entries} entry hosts at {}", net.ip(0));
        Ok(system)
    }

    fn settings(&self, host: &Host, is_first_start: bool) -> String {
        let (net, bounds) = (&self.net, &self.bounds);
        let ip = net.ip(host.last);
        let at = |offset: u16| format!("\"{ip}:{}\"", net.port + offset);
        let mut listen = String::new();
        if !host.is_keeper {
            listen += &format!("\"callers\": {}, \"readiness\": {}, ", at(0), at(1));
        }
        listen += &format!("\"control\": {}, \"inner\": {}, \"metrics\": {}", at(2), at(3), at(4));
        let seeds: Vec<_> = self.seeds.iter().map(|last| format!("\"{}\"", net.control(*last))).collect();
        let data_dir = match host.is_keeper {
            true => format!("\"{}\"", self.data_dir(host.last).display()),
            false => "null".to_owned(),
        };
        format!(
            "{{ \"name\": \"host-{}\", \"role\": \"{}\", \"ip\": \"{ip}\", \"data_centre\": \"{}\",\n \
             \"data_centres\": [\"hall-1\", \"hall-2\", \"hall-3\"],\n \"listen\": {{ {listen} }},\n \
             \"seeds\": [{}],\n \"is_first_start\": {is_first_start}, \"data_dir\": {data_dir},\n \
             \"tolerated_losses\": {},\n \"resources\": {{ \"memory_mb\": 260, \"max_files\": 4100 }},\n \
             \"bounds\": {{ \"heartbeat_ms\": {}, \"apply_ms\": {}, \"revoke_ms\": {}, \"drain_ms\": {}, \
             \"grace_s\": {}, \"retry_ratio\": 0.2, \"retry_extra\": 106, \"retry_window_s\": 10 }} }}\n",
            host.last,
            if host.is_keeper { "keeper" } else { "entry" },
            host.data_centre,
            seeds.join(", "),
            bounds.losses,
            bounds.heartbeat_ms,
            bounds.apply_ms,
            bounds.revoke_ms,
            bounds.drain_ms,
            bounds.grace_s,
        )
    }

    pub fn data_dir(&self, last: u8) -> PathBuf {
        self.dir.join(format!("data-{last}"))
    }

    pub fn log_path(&self, last: u8, start: u32) -> PathBuf {
        self.dir.join(format!("host-{last}.{start}.log"))
    }

    /// Starts the process of a host, with the command of the deploy file.
    pub fn spawn(&mut self, index: usize, is_first_start: bool) -> Res<()> {
        let settings = self.settings(&self.hosts[index], is_first_start);
        let (dir, host) = (self.dir.clone(), &mut self.hosts[index]);
        let path = dir.join(format!("host-{}.json", host.last));
        fs::write(&path, settings).map_err(text)?;
        let command = deployed_command(if host.is_keeper { "keeper" } else { "entry" })?;
        let log = File::create(dir.join(format!("host-{}.{}.log", host.last, host.starts))).map_err(text)?;
        host.starts += 1;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("CLAYPLANK_SETTINGS", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(text)?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", command[0]))?;
        running().push(child.id());
        note!("host-{} starts as process {}", host.last, child.id());
        host.child = Some(child);
        Ok(())
    }

    pub fn index(&self, last: u8) -> usize {
        self.hosts.iter().position(|host| host.last == last).expect("a host of this system")
    }

    pub fn signal(&self, last: u8, name: &str) {
        note!("host-{last}: SIG{name}");
        signal(self.hosts[self.index(last)].pid(), name);
    }

    /// Ends a process at once and waits for its end.
    pub fn kill(&mut self, last: u8) {
        let index = self.index(last);
        if let Some(mut child) = self.hosts[index].child.take() {
            note!("host-{last}: SIGKILL");
            end_process(&mut child);
        }
    }

    /// Ends several processes at the same moment.
    pub fn kill_all(&mut self, all: &[u8]) {
        for last in all {
            let index = self.index(*last);
            if let Some(child) = &mut self.hosts[index].child {
                child.kill().ok();
            }
        }
        for last in all {
            self.kill(*last);
        }
    }

    /// Waits for the end of a process, up to a time.
    pub fn wait_for_end(&mut self, last: u8, timeout: Duration) -> Option<String> {
        let index = self.index(last);
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Some(child) = &mut self.hosts[index].child
                && let Ok(Some(status)) = child.try_wait()
            {
                running().retain(|pid| *pid != child.id());
                self.hosts[index].child = None;
                return Some(status.to_string());
            }
            sleep_ms(10);
        }
        None
    }

    pub fn lose_disk(&self, last: u8) {
        note!("host-{last}: loses its disk");
        fs::remove_dir_all(self.data_dir(last)).ok();
    }

    pub fn keepers(&self) -> Vec<u8> {
        self.hosts.iter().filter(|host| host.is_keeper).map(|host| host.last).collect()
    }

    pub fn entries(&self) -> Vec<u8> {
        self.hosts.iter().filter(|host| !host.is_keeper).map(|host| host.last).collect()
    }

    pub fn is_ready(&self, last: u8) -> bool {
        call(self.net.readiness(last), "GET", "/api/ready", &[], b"", ms(500))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all entry hosts say that they are ready.
    pub fn wait_ready(&self, timeout: Duration) -> Res<()> {
        let until = Instant::now() + timeout;
        for last in self.entries() {
            while !self.is_ready(last) {
                if Instant::now() > until {
                    return Err(format!("host-{last} is not ready"));
                }
                sleep_ms(50);
            }
        }
        Ok(())
    }

    /// Sends a manifest as the operator does: again, to any node, until it is acknowledged.
    pub fn publish(&self, manifest: &str, timeout: Duration) -> Res<u64> {
        let until = Instant::now() + timeout;
        let mut turn = 0;
        let keepers = self.keepers();
        loop {
            let last = keepers[turn % keepers.len()];
            turn += 1;
            let sent = call(self.net.control(last), "PUT", "/api/config", &JSON, manifest.as_bytes(), ms(1_000));
            match sent {
                Ok(answer) if answer.status() == 200 => {
                    note!("operator: manifest acknowledged by host-{last}");
                    return Ok(elapsed_ms());
                }
                Ok(answer) if (400..500).contains(&answer.status()) => {
                    return Err(format!("the manifest was refused with {}", answer.status()));
                }
                _ if Instant::now() > until => return Err("the manifest was not acknowledged".to_owned()),
                _ => sleep_ms(100),
            }
        }
    }

    /// The keeper that leads, by the metrics or logs of the hosts: the last one that logged it.
    pub fn leader(&self) -> Option<u8> {
        let mut newest: Option<(u128, u8)> = None;
        for host in self.hosts.iter().filter(|host| host.is_keeper && host.child.is_some()) {
            let log = fs::read_to_string(self.log_path(host.last, host.starts - 1)).unwrap_or_default();
            let leads = log.lines().rfind(|line| line.contains("Leads the keepers") || line.contains("no longer the leader"));
            if let Some(line) = leads.filter(|line| line.contains("Leads the keepers")) {
                let digits: String = line.chars().filter(char::is_ascii_digit).take(20).collect();
                let at = digits.parse().unwrap_or(0);
                if newest.is_none_or(|(known, _)| at > known) {
                    newest = Some((at, host.last));
                }
            }
        }
        newest.map(|(_, last)| last)
    }

    /// Lines of the logs that tell of a panic.
    pub fn panics(&self) -> Vec<String> {
        let mut found = Vec::new();
        for host in &self.hosts {
            for start in 0..host.starts {
                let log = fs::read_to_string(self.log_path(host.last, start)).unwrap_or_default();
                found.extend(log.lines().filter(|line| line.contains("panicked")).map(|line| format!("host-{}: {line}", host.last)));
            }
        }
        found
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut child) = host.child.take() {
                end_process(&mut child);
            }
        }
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.dir).ok();
        }
    }
}

pub const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

// --- manifest -----------------------------------------------------------------------------------

/// A route of a manifest.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, goal_ms: u64, attempts: u32, extra: &str) -> String {
    format!(
        "{{\"name\":\"r{}\",\"host\":\"app.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{goal_ms},\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"allowAnonymous\":false{extra}}}",
        prefix.replace('/', "-")
    )
}

/// A plain service of a manifest.
pub fn plain(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}")
}

/// A service of model workers, with the figures of the site `dala-results`.
pub fn engine(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":434,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":16,\"kvCapacity\":450000,\"kvTokenBytes\":327680,\"linkMbps\":400000.0,\"stride\":46,\
         \"models\":[{{\"name\":\"m\"}}],\"step_ms\":0.925,\"per_seq_ms\":0.00483,\"context_per_k\":0.00254,\
         \"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\
         \"loads_at_once\":8,\"delays\":[],\"usual\":{{\"prompt\":13239,\"answer\":1540}},\"hop_ms\":0.1}}}}"
    )
}

/// A manifest with one tenant, whose key is KEY.
pub fn manifest(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"club\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

// --- callers ------------------------------------------------------------------------------------

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of an attempt.
pub fn attempt_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// The bytes of a request of a caller.
pub fn request_bytes(method: &str, path: &str, id: &str, deadline_ms: u64, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\n"
    );
    for (name, value) in extra {
        head += &format!("{name}: {value}\r\n");
    }
    if method != "GET" || !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the answer.
pub fn ask(address: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64, extra: &[(&str, &str)], body: &[u8]) -> Result<Answer, String> {
    let stream = TcpStream::connect_timeout(&address, ms(1_000)).map_err(text)?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(ms(deadline_ms + 1_000))).map_err(text)?;
    (&stream).write_all(&request_bytes(method, path, id, deadline_ms, extra, body)).map_err(text)?;
    read_answer(&mut BufReader::new(&stream))
}

// --- workers ------------------------------------------------------------------------------------

/// A worker: it registers, beats, and hands each request to its handler.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub control: Vec<SocketAddr>,
    pub seq: AtomicU64,
    pub is_draining: AtomicBool,
    pub beats: AtomicBool,
    pub runs: Mutex<HashMap<String, u32>>,
}

pub type Handler = dyn Fn(&Worker, &Head, &[u8], &mut TcpStream) -> io::Result<bool> + Send + Sync;

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        control: Vec<SocketAddr>,
        handler: Arc<Handler>,
    ) -> Res<Arc<Self>> {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: 16,
            control,
            seq: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            runs: Mutex::default(),
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, handler) = (Arc::clone(&serving), Arc::clone(&handler));
                thread::spawn(move || worker.serve(stream, &*handler));
            }
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            let mut turn = 0;
            loop {
                if beating.beats.load(Ordering::SeqCst) {
                    let state = if beating.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
                    beating.beat(state, turn);
                }
                turn += 1;
                sleep_ms(1_200);
            }
        });
        Ok(worker)
    }

    /// Sends a status report until one node acknowledges it.
    pub fn beat(&self, state: &str, turn: usize) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        self.send_beat(state, seq, turn)
    }

    pub fn send_beat(&self, state: &str, seq: u64, turn: usize) -> bool {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq}}}",
            self.service, self.address, self.zone, self.slots
        );
        for offset in 0..self.control.len() {
            let node = self.control[(turn + offset) % self.control.len()];
            let sent = call(node, "PUT", &format!("/api/instances/{}", self.id), &JSON, body.as_bytes(), ms(1_000));
            if sent.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                return true;
            }
        }
        false
    }

    /// Announces that it leaves, until that is acknowledged.
    pub fn drain(&self) -> bool {
        self.is_draining.store(true, Ordering::SeqCst);
        (0..5).any(|turn| self.beat("draining", turn))
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        stream.set_nodelay(true).ok();
        let Ok(reading) = stream.try_clone() else { return };
        let mut reading = BufReader::new(reading);
        let mut writing = stream;
        while let Ok(Some(head)) = read_head(&mut reading) {
            let Ok(body) = read_request_body(&mut reading, &head) else { return };
            match self.answer(&head, &body, &mut writing, handler) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8], stream: &mut TcpStream, handler: &Handler) -> io::Result<bool> {
        if head.method() == "GET" && head.path() == "/healthz" {
            let status = if self.is_draining.load(Ordering::SeqCst) { "503 Service Unavailable" } else { "200 OK" };
            let answer = format!("HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return stream.write_all(answer.as_bytes()).map(|()| true);
        }
        if head.method() == "GET" && head.path() == "/api/report" {
            return json_answer(
                stream,
                "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,\
                 \"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":450000,\"handles\":0,\"tickets\":[]}",
            );
        }
        if head.method() == "POST" && head.path() == "/api/order" {
            return json_answer(stream, "{\"free\":400000}");
        }
        let expected = head.get("expect-instance").unwrap_or(&self.id);
        if expected != self.id {
            note!("{}: 421 for {}", self.id, head.get("attempt-id").unwrap_or(""));
            let answer = format!("HTTP/1.1 421 Misdirected Request\r\nAt-Server: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return stream.write_all(answer.as_bytes()).map(|()| true);
        }
        let id = head.get("attempt-id").unwrap_or("").to_owned();
        let runs = {
            let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
            let count = runs.entry(id.clone()).or_default();
            *count += 1;
            *count
        };
        note!("{}: runs {id} ({} {}, {} bytes), run {runs}", self.id, head.method(), head.path(), body.len());
        handler(self, head, body, stream)
    }

    pub fn ran(&self, id: &str) -> u32 {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).get(id).copied().unwrap_or(0)
    }
}

fn json_answer(stream: &mut TcpStream, body: &str) -> io::Result<bool> {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(answer.as_bytes()).map(|()| true)
}

/// The seal of a worker's answer.
pub fn seal(worker: &Worker, id: &str) -> String {
    format!("seal.{}.{id}", worker.id)
}

/// Writes a whole answer with a length.
pub fn write_answer(worker: &Worker, head: &Head, stream: &mut TcpStream, status: &str, body: &[u8]) -> io::Result<bool> {
    let id = head.get("attempt-id").unwrap_or("");
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nResponse-Seal: {}\r\nServer-Load: 1,0,{}\r\nContent-Length: {}\r\n\r\n",
        seal(worker, id), worker.slots, body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map(|()| true)
}

// --- workers as processes -----------------------------------------------------------------------

/// A worker in a process of its own: this program, started with other arguments.
pub struct WorkerProcess {
    pub id: String,
    pub child: Child,
    stdin: ChildStdin,
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl WorkerProcess {
    pub fn spawn(arguments: &[String]) -> Res<Self> {
        let program = std::env::current_exe().map_err(text)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(text)?;
        running().push(child.id());
        let stdin = child.stdin.take().ok_or("no input")?;
        let stdout = child.stdout.take().ok_or("no output")?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&lines);
        let id = arguments.get(1).cloned().unwrap_or_default();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                note(&line);
                kept.lock().unwrap_or_else(|e| e.into_inner()).push(line);
            }
        });
        Ok(Self { id, child, stdin, lines })
    }

    pub fn tell(&mut self, command: &str) {
        writeln!(self.stdin, "{command}").ok();
    }

    pub fn has_said(&self, part: &str) -> bool {
        self.lines.lock().unwrap_or_else(|e| e.into_inner()).iter().any(|line| line.contains(part))
    }

    pub fn count(&self, part: &str) -> usize {
        self.lines.lock().unwrap_or_else(|e| e.into_inner()).iter().filter(|line| line.contains(part)).count()
    }

    pub fn wait_for(&self, part: &str, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.has_said(part) {
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    pub fn kill(&mut self) {
        note!("worker {}: SIGKILL", self.id);
        end_process(&mut self.child);
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        // A process that has been waited for may have left its id to another one.
        if matches!(self.child.try_wait(), Ok(None)) {
            end_process(&mut self.child);
        }
    }
}

/// Whether a file exists.
pub fn exists(path: &Path) -> bool {
    path.exists()
}
