//! A small system of seeded hosts as processes, each on a loopback address of its
//! own, with upstreams in the test's process.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use clayplank_placement::EngineModel;
use clayplank_standin::{
    Registration, SharedRuns, send_heartbeats, serve_pass_engine, serve_upstream,
};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use crate::proxy::Proxy;

pub const KEY: &str = "timekeeper-key";

/// Ports are alike on all hosts, below those that the system gives to outgoing connections.
const CALLERS: u16 = 18_080;
const READINESS: u16 = 18_081;
const CONTROL: u16 = 18_082;
const INNER: u16 = 18_083;
const METRICS: u16 = 18_084;
const UPSTREAM: u16 = 18_085;

/// What a wait may take before the test counts as failed; nothing is timed by it.
const PATIENCE: Duration = Duration::from_secs(60);

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a connection of its own; status 0 if there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    exchange(address, method, path, headers, body).unwrap_or_default()
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        head.push_str("host: dala.example\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if status == 0 {
        return Err(std::io::Error::other("no answer"));
    }
    let mut answer = Answer { status, ..Answer::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            answer.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok()) {
        answer.body = vec![0; length];
        answer.is_whole = reader.read_exact(&mut answer.body).is_ok();
        return Ok(answer);
    }
    answer.is_whole = read_chunks(reader, &mut answer.body).is_ok();
    Ok(answer)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

pub fn wait_for(what: &str, mut is_so: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_so() {
        assert!(started.elapsed() < PATIENCE, "{what} did not happen");
        std::thread::sleep(Duration::from_millis(25));
    }
}

pub struct Host {
    /// Where others reach it.
    ip: Ipv4Addr,
    /// Where it listens for other hosts and operators: behind a proxy, perhaps.
    bind_ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    pub data: PathBuf,
    child: Option<Child>,
}

impl Host {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn callers(&self) -> SocketAddr {
        self.at(CALLERS)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL)
    }

    pub fn is_ready(&self) -> bool {
        call(self.at(READINESS), "GET", "/health", &[], "").status == 200
    }

    pub fn figures(&self) -> String {
        call(self.at(METRICS), "GET", "/metrics", &[], "").text()
    }

    pub fn start(&mut self) {
        // Lines of former lives are kept.
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .unwrap();
        let child = self
            .command()
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_clayplankd"));
        command.arg("--seeded").arg("--settings").arg(&self.settings);
        command
    }

    /// Starts with a pipe for the logs, which nobody reads until the caller does.
    pub fn start_with_pipe(&mut self) -> ChildStdout {
        let mut child = self.command().stdout(Stdio::piped()).spawn().unwrap();
        let pipe = child.stdout.take().unwrap();
        self.child = Some(child);
        pipe
    }

    /// The process that was started last, if it was not killed.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, through the tool that every Debian machine has.
    pub fn signal(&self, signal: &str) {
        let id = self.process().unwrap().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Changes its settings file, and tells it so by SIGHUP.
    pub fn change_settings(&self, change: impl FnOnce(&mut Value)) {
        self.write_changed_settings(change);
        self.signal("-HUP");
    }

    pub fn write_changed_settings(&self, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let mut settings: Value = serde_json::from_str(&text).unwrap();
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).unwrap();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().unwrap().is_some())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(self.settings.with_extension("log"));
            let log = log.unwrap_or_default();
            let last: Vec<_> = log.lines().rev().take(15).collect();
            eprintln!("{} {}:", self.role, self.ip);
            last.iter().rev().for_each(|line| eprintln!("  {line}"));
        }
    }
}

/// How many hosts there are, and what stands between them.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub keepers: usize,
    pub entries: usize,
    pub has_proxies: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self { keepers: 3, entries: 2, has_proxies: false }
    }
}

/// Where a process listens that is reached at `ip` through a proxy.
fn behind_proxy(ip: Ipv4Addr) -> Ipv4Addr {
    let [first, second, third, last] = ip.octets();
    Ipv4Addr::new(first, second, third, last + 128)
}

pub struct System {
    shape: Shape,
    proxies: BTreeMap<Ipv4Addr, Proxy>,
    _dir: tempfile::TempDir,
    pub keepers: Vec<Host>,
    pub entries: Vec<Host>,
    pub runs: SharedRuns,
    runtime: Runtime,
    net: [u8; 2],
    beats: u64,
}

impl System {
    /// Starts all hosts, two upstreams, and the first plan.
    pub fn start() -> Self {
        Self::start_as(Shape::default())
    }

    /// The same, in another size, or with proxies between the processes.
    pub fn start_as(shape: Shape) -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let net = [(std::process::id() % 200) as u8 + 20, NEXT.fetch_add(1, Ordering::SeqCst)];
        let dir = tempfile::tempdir().unwrap();
        let host = |role, last: usize| {
            let ip = Ipv4Addr::new(127, net[0], net[1], last as u8);
            let bind_ip = if shape.has_proxies { behind_proxy(ip) } else { ip };
            let settings = dir.path().join(format!("{last}.json"));
            let data = dir.path().join(format!("data-{last}"));
            Host { ip, bind_ip, role, settings, data, child: None }
        };
        let keepers: Vec<_> = (0..shape.keepers).map(|n| host("keeper", n + 1)).collect();
        let entries: Vec<_> = (0..shape.entries).map(|n| host("entry", n + 11)).collect();
        let mut system = Self {
            shape,
            keepers,
            entries,
            proxies: BTreeMap::new(),
            runs: SharedRuns::default(),
            runtime: Runtime::new().unwrap(),
            net,
            beats: 0,
            _dir: dir,
        };
        system.write_settings(true);
        system.start_proxies();
        system.keepers.iter_mut().for_each(Host::start);
        system.entries.iter_mut().for_each(Host::start);
        system.start_upstream("u1", 21);
        system.start_upstream("u2", 22);
        system.wait_for_plan(&plan(1));
        let entries = &system.entries;
        wait_for("readiness", || entries.iter().all(Host::is_ready));
        system.beat_until_served();
        system
    }

    /// Writes the settings of all hosts anew.
    pub fn write_settings(&self, is_first_start: bool) {
        for host in self.keepers.iter().chain(&self.entries) {
            let behind = |port| SocketAddr::new(IpAddr::V4(host.bind_ip), port);
            let mut listen = json!({ "inner": behind(INNER), "metrics": host.at(METRICS) });
            if host.role == "keeper" {
                listen["control"] = json!(behind(CONTROL));
            } else {
                listen["callers"] = json!(host.at(CALLERS));
                listen["readiness"] = json!(host.at(READINESS));
            }
            let settings = json!({
                "name": host.ip.to_string(),
                "role": host.role,
                "ip": host.ip,
                "data_centre": "hall",
                "listen": listen,
                "seeds": self.keepers.iter().map(Host::control).collect::<Vec<_>>(),
                "is_first_start": is_first_start,
                "data_dir": host.data,
                "tolerated_losses": (self.keepers.len() - 1) / 2,
                "bounds": { "heartbeat_ms": 300, "revoke_ms": 4000, "grace_s": 6.0 },
            });
            std::fs::write(&host.settings, settings.to_string()).unwrap();
        }
    }

    /// One proxy before each host and each upstream.
    fn start_proxies(&mut self) {
        if !self.shape.has_proxies {
            return;
        }
        let hosts = self.keepers.iter().chain(&self.entries);
        let of_hosts = hosts.map(|host| (host.ip, vec![INNER, CONTROL]));
        let upstreams = [21, 22].map(|last| (self.upstream_ip(last), vec![UPSTREAM]));
        for (ip, ports) in of_hosts.chain(upstreams).collect::<Vec<_>>() {
            let proxy = Proxy::default();
            for port in ports {
                let near = SocketAddr::new(IpAddr::V4(ip), port);
                let far = SocketAddr::new(IpAddr::V4(behind_proxy(ip)), port);
                proxy.start(&self.runtime, near, far);
            }
            self.proxies.insert(ip, proxy);
        }
    }

    /// The proxy before a host or an upstream, by the last byte of its address.
    pub fn proxy(&self, last: u8) -> &Proxy {
        &self.proxies[&self.upstream_ip(last)]
    }

    fn upstream_ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], last)
    }

    fn start_upstream(&self, id: &str, last: u8) {
        let ip = self.upstream_ip(last);
        let bind_ip = if self.shape.has_proxies { behind_proxy(ip) } else { ip };
        let address = SocketAddr::new(IpAddr::V4(bind_ip), UPSTREAM);
        let (id, runs) = (id.to_owned(), self.runs.clone());
        let listener = self.runtime.block_on(clayplank_standin::bind(address)).unwrap();
        self.runtime.spawn(serve_upstream(listener, id, runs));
    }

    /// Starts an engine of the pass model, which registers with all keepers.
    pub fn start_engine(&self, id: &str, last: u8, model: EngineModel) -> SocketAddr {
        let address = self.upstream_address(last);
        let listener = self.runtime.block_on(clayplank_standin::bind(address)).unwrap();
        self.runtime.spawn(serve_pass_engine(listener, id.to_owned(), model));
        self.register_engine(id, last);
        address
    }

    /// Sends heartbeats of an engine, whether it is there or not.
    pub fn register_engine(&self, id: &str, last: u8) {
        let registration = Registration {
            id: id.to_owned(),
            service: "pool".to_owned(),
            address: self.upstream_address(last),
            data_centre: "hall".to_owned(),
            slots: EngineModel::default().slots,
        };
        let keepers = self.keepers.iter().map(Host::control).collect();
        self.runtime.spawn(send_heartbeats(registration, keepers, Duration::from_millis(300)));
    }

    fn upstream_address(&self, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.upstream_ip(last)), UPSTREAM)
    }

    /// One heartbeat of an upstream, at one keeper.
    pub fn beat(&mut self, keeper: usize, id: &str, standing: &str) -> Answer {
        self.beats += 1;
        let last = if id == "u1" { 21 } else { 22 };
        let body = self.heartbeat(id, last, self.beats, standing);
        let path = format!("/v1/upstreams/{id}");
        call(self.keepers[keeper].control(), "PUT", &path, &[], &body.to_string())
    }

    /// Calls that carry heartbeats of both upstreams to every keeper.
    pub fn heartbeat_calls(&self, sequence: u64) -> Vec<(SocketAddr, String, String)> {
        let of_upstream = |id: &str, last: u8| {
            let body = self.heartbeat(id, last, sequence, "ready").to_string();
            let path = format!("/v1/upstreams/{id}");
            self.keepers
                .iter()
                .map(move |keeper| (keeper.control(), path.clone(), body.clone()))
                .collect::<Vec<_>>()
        };
        [of_upstream("u1", 21), of_upstream("u2", 22)].concat()
    }

    fn heartbeat(&self, id: &str, last: u8, sequence: u64, standing: &str) -> Value {
        json!({
            "id": id,
            "sequence": sequence,
            "service": "app",
            "address": self.upstream_address(last),
            "data_centre": "hall",
            "slots": 4,
            "standing": standing,
        })
    }

    /// Heartbeats of both upstreams until every entry host serves.
    pub fn beat_until_served(&mut self) {
        for number in 0.. {
            assert!(number < 400, "requests are not served");
            for keeper in 0..self.keepers.len() {
                self.beat(keeper, "u1", "ready");
                self.beat(keeper, "u2", "ready");
            }
            let is_served = |entry: usize| {
                self.send(entry, &format!("warm-{number}-{entry}"), "/repeatable/x", &[]).status
                    == 200
            };
            if (0..self.entries.len()).all(is_served) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Publishes a plan, at any keeper that takes it.
    pub fn wait_for_plan(&self, plan: &Value) {
        wait_for("the plan's acknowledgement", || {
            let text = plan.to_string();
            let mut keepers = self.keepers.iter();
            keepers
                .any(|keeper| call(keeper.control(), "PUT", "/v1/plan", &[], &text).status == 200)
        });
    }

    /// Sends a request with the account's key; again while the host has no confirmed plan,
    /// since nothing was sent on then.
    pub fn send(
        &self,
        entry: usize,
        attempt: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Answer {
        let key = format!("Bearer {KEY}");
        let mut all = vec![
            ("authorization", key.as_str()),
            ("x-clayplank-attempt-id", attempt),
            ("x-clayplank-deadline-ms", "9000"),
        ];
        all.extend_from_slice(headers);
        let mut answer = Answer::default();
        wait_for("a confirmed plan", || {
            answer = call(self.entries[entry].callers(), "POST", path, &all, "body");
            !(answer.status == 503 && answer.text().contains("no_plan"))
        });
        answer
    }
}

/// Sends a plan until there is a clear answer: 503 says that no quorum took it in time,
/// which a busy disk brings about, and that it should be sent again.
pub fn publish(keeper: &Host, plan: &Value) -> Answer {
    let mut answer = Answer::default();
    wait_for("a clear answer to a plan", || {
        answer = call(keeper.control(), "PUT", "/v1/plan", &[], &plan.to_string());
        answer.status != 503 && answer.status != 0
    });
    answer
}

/// A plan with a route of each kind.
pub fn plan(version: u64) -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "dala.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "time_limit_ms": 9000, "goal_ms": 500, "pause_goal_ms": 400, "max_attempts": 2,
            "targets": [{ "service": "app", "weight": 1 }],
        })
    };
    json!({
        "version": version,
        "services": [{ "name": "app" }],
        "routes": [
            route("repeatable", "repeatable"),
            route("once", "unrepeatable"),
            route("stream", "resumable_stream"),
        ],
        "accounts": [{ "name": "timekeepers", "keys": [KEY] }],
    })
}
