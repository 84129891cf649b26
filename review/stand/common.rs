//! Shared parts of the review's test programs: hosts as processes, workers, clients and the operator.
//! Standard library only, so that `rustc` alone builds it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const FRONT: u16 = 8227;
const READINESS: u16 = 8220;
const CONTROL: u16 = 8229;
const INNER: u16 = 7340;
const METRICS: u16 = 7355;
const WORKER: u16 = 8528;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Log of what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:8.3} {text}").unwrap();
        println!("{seconds:8.3} {text}");
    }
}

/// A host of the system: one process of the deploy file.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    is_edge: bool,
    settings: PathBuf,
    log: PathBuf,
    data: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    pub fn readiness(&self) -> SocketAddr {
        (self.ip, READINESS).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL).into()
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn wait_end(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.wait().ok();
        }
    }

    /// Starts the program of the deploy file, with the variables that the platform gives it.
    pub fn start(&mut self, root: &Path) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let program = root.join("target/release/clayplank-platform");
        let mut command = Command::new(program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("CLAYPLANK_SETTINGS", &self.settings).current_dir(root);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        self.child = Some(command.spawn().expect("the program of the deploy file starts"));
    }
}

/// What the settings of all hosts have in common.
#[derive(Clone)]
pub struct Site {
    pub edge_memory_mb: u64,
    pub tolerated: u64,
    pub bounds: String,
    /// Whether the seeds are three edges, which serve control too, and not three cores.
    pub has_edges_as_seeds: bool,
}

impl Site {
    pub fn dala() -> Self {
        let bounds = r#""heartbeat_ms": 1200, "apply_ms": 2000, "revoke_ms": 5000, "drain_ms": 2000,
    "grace_s": 8, "retry_ratio": 0.2, "retry_extra": 106, "retry_window_s": 10"#;
        Self {
            edge_memory_mb: 260,
            tolerated: 2,
            bounds: bounds.to_owned(),
            has_edges_as_seeds: false,
        }
    }

    /// The machines and bounds of `demands/darnau-clayplank-grown.toml`.
    pub fn darnau() -> Self {
        let bounds = r#""heartbeat_ms": 1200, "apply_ms": 2500, "revoke_ms": 5000, "drain_ms": 2500,
    "grace_s": 8, "retry_ratio": 0.2, "retry_extra": 200, "retry_window_s": 10"#;
        Self {
            edge_memory_mb: 420,
            tolerated: 2,
            bounds: bounds.to_owned(),
            has_edges_as_seeds: false,
        }
    }
}

/// A whole system on loopback addresses `127.a.b.x`.
pub struct System {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub record: Record,
    pub net: (u8, u8),
    pub cores: Vec<Host>,
    pub edges: Vec<Host>,
    site: Site,
}

impl System {
    pub fn start(record: Record, site: Site, cores: u8, edges: u8) -> Self {
        let root = std::env::current_dir().unwrap();
        let pid = std::process::id();
        let net = free_net(pid);
        let dir = std::env::temp_dir().join(format!("review-{pid}"));
        std::fs::create_dir_all(&dir).unwrap();
        let mut system =
            Self { root, dir, record, net, cores: Vec::new(), edges: Vec::new(), site };
        for n in 0..cores {
            let host = system.host(&format!("core-{}", n + 1), n + 1, false);
            system.cores.push(host);
        }
        for n in 0..edges {
            let host = system.host(&format!("edge-{}", n + 1), n + 41, true);
            system.edges.push(host);
        }
        system.write_settings(true);
        let root = system.root.clone();
        for host in system.cores.iter_mut().chain(&mut system.edges) {
            host.start(&root);
        }
        system
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    fn host(&self, name: &str, last: u8, is_edge: bool) -> Host {
        Host {
            name: name.to_owned(),
            ip: self.ip(last),
            is_edge,
            settings: self.dir.join(format!("{name}.json")),
            log: self.dir.join(format!("{name}.log")),
            data: self.dir.join(format!("{name}-data")),
            child: None,
        }
    }

    /// Fills `deploy/settings.json.template` as the platform does; three cores, or edges, are seeds.
    pub fn write_settings(&self, is_first_start: bool) {
        let serving = if self.site.has_edges_as_seeds { &self.edges } else { &self.cores };
        let seeds: Vec<_> = serving.iter().take(3).map(Host::control).collect();
        self.write_settings_with(&seeds, is_first_start, self.cores.iter().chain(&self.edges));
    }

    /// Starts a core that was not there before, with an empty disk.
    pub fn add_core(&mut self, last: u8, seeds: &[SocketAddr]) {
        let mut host = self.host(&format!("core-{last}"), last, false);
        self.write_settings_with(seeds, false, std::iter::once(&host));
        host.start(&self.root);
        self.cores.push(host);
    }

    fn write_settings_with<'a>(
        &self,
        seeds: &[SocketAddr],
        is_first_start: bool,
        hosts: impl Iterator<Item = &'a Host>,
    ) {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(", ");
        for host in hosts {
            let ip = host.ip;
            let (role, listen, data, memory) = if host.is_edge {
                let listen = format!(
                    "\"callers\": \"{ip}:{FRONT}\", \"readiness\": \"{ip}:{READINESS}\", \"control\": \"{ip}:{CONTROL}\","
                );
                ("entry", listen, "null".to_owned(), self.site.edge_memory_mb)
            } else {
                std::fs::create_dir_all(&host.data).unwrap();
                let listen = format!("\"control\": \"{ip}:{CONTROL}\",");
                ("keeper", listen, format!("{:?}", host.data.display().to_string()), 256)
            };
            let text = format!(
                r#"{{
  "name": "{name}", "role": "{role}", "ip": "{ip}",
  "data_centre": "medeu-hall", "data_centres": ["medeu-hall", "alatau-hall", "kokzhiek-hall"],
  "listen": {{ {listen} "inner": "{ip}:{INNER}", "metrics": "{ip}:{METRICS}" }},
  "seeds": [{seeds}], "is_first_start": {is_first_start}, "data_dir": {data},
  "tolerated_losses": {tolerated},
  "resources": {{ "memory_mb": {memory}, "max_files": 4100 }},
  "bounds": {{ {bounds} }}
}}
"#,
                name = host.name,
                tolerated = self.site.tolerated,
                bounds = self.site.bounds,
            );
            std::fs::write(&host.settings, text).unwrap();
        }
    }

    /// Control addresses that workers and the operator know.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(Host::control).collect()
    }

    /// Sends a manifest until it is acknowledged; `false` if it is not within the time.
    pub fn publish(&self, manifest: &str, within: Duration) -> bool {
        let started = Instant::now();
        let controls = self.controls();
        for n in 0.. {
            let control = controls[n % controls.len()];
            let answer = call(control, "PUT", "/api/config", &[], manifest, Duration::from_secs(1));
            if let Ok(answer) = &answer
                && answer.status == 200
            {
                self.record.line(&format!("the manifest is acknowledged by {control}"));
                return true;
            }
            if started.elapsed() > within {
                return false;
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        false
    }

    /// Waits until all edges are ready; ends the run with 2 if they are not in time.
    pub fn wait_ready(&self, within: Duration) {
        let started = Instant::now();
        for edge in &self.edges {
            while !is_ready(edge) {
                if started.elapsed() > within {
                    self.record.line(&format!("{} is not ready in time", edge.name));
                    self.keep_logs();
                    std::process::exit(2);
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.line("all edges are ready");
    }

    /// Prints the end of the hosts' logs, for a run that could not take place.
    pub fn keep_logs(&self) {
        for host in self.cores.iter().chain(&self.edges) {
            let text = std::fs::read_to_string(&host.log).unwrap_or_default();
            let lines: Vec<_> = text.lines().rev().take(5).collect();
            eprintln!("{}: {}", host.name, lines.join("\n"));
        }
    }

    /// Lines of a host's log that contain a text.
    pub fn log_lines(&self, host: &Host, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&host.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for host in self.cores.iter_mut().chain(&mut self.edges) {
            host.signal(SIGCONT);
            host.signal(SIGKILL);
            host.wait_end();
        }
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.dir).ok();
        }
    }
}

pub fn is_ready(edge: &Host) -> bool {
    let answer = call(edge.readiness(), "GET", "/api/ready", &[], "", Duration::from_millis(500));
    answer.is_ok_and(|answer| answer.status == 200)
}

/// A loopback network on which the ports of a core are free.
fn free_net(pid: u32) -> (u8, u8) {
    for n in 0..200u32 {
        let (a, b) = ((60 + (pid / 200 + n) % 100) as u8, (pid % 200 + 1) as u8);
        let is_free =
            |last: u8, port: u16| TcpListener::bind((Ipv4Addr::new(127, a, b, last), port)).is_ok();
        if is_free(1, CONTROL) && is_free(41, FRONT) && is_free(1, INNER) && is_free(61, WORKER) {
            return (a, b);
        }
    }
    eprintln!("no free loopback addresses");
    std::process::exit(2);
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the answer is complete by its own framing.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    send(&mut stream, method, path, headers, body)?;
    stream.set_read_timeout(Some(timeout))?;
    read_answer(&mut BufReader::new(stream), |_| {})
}

pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += "Host: control\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())
}

/// Reads an answer. `Err` if the connection ends before a whole head; an answer that breaks off
/// later is not complete.
pub fn read_answer(
    reader: &mut impl BufRead,
    mut on_bytes: impl FnMut(&[u8]),
) -> io::Result<Answer> {
    let mut answer = Answer::default();
    let line = read_line(reader)?;
    answer.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            answer.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let is_chunked = answer.headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    let length: Option<usize> =
        answer.headers.get("content-length").and_then(|text| text.parse().ok());
    let mut read_exactly = |reader: &mut dyn BufRead, mut left: usize, body: &mut Vec<u8>| {
        let mut bytes = vec![0; 16 << 10];
        while left > 0 {
            let most = left.min(bytes.len());
            match reader.read(&mut bytes[..most]) {
                Ok(0) | Err(_) => return false,
                Ok(size) => {
                    on_bytes(&bytes[..size]);
                    body.extend_from_slice(&bytes[..size]);
                    left -= size;
                }
            }
        }
        true
    };
    if is_chunked {
        loop {
            let Ok(size) = read_line(reader) else { break };
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
            if !read_exactly(reader, size, &mut answer.body) || read_line(reader).is_err() {
                break;
            }
            if size == 0 {
                answer.is_complete = true;
                break;
            }
        }
    } else if let Some(length) = length {
        answer.is_complete = read_exactly(reader, length, &mut answer.body);
    } else {
        answer.is_complete = true;
    }
    Ok(answer)
}

pub fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.take(64 << 10).read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end_matches('\r').to_owned())
}

/// Makes a client slow to take bytes in: a small buffer of the kernel.
pub fn set_small_receive_buffer(stream: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// A request as a worker received it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map(String::as_str).unwrap_or_default()
    }

    pub fn tokens(&self) -> (u64, u64) {
        let (prompt, out) = self.header("token-counts").split_once(',').unwrap_or(("0", "0"));
        (prompt.trim().parse().unwrap_or(0), out.trim().parse().unwrap_or(0))
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Received> {
    let mut request = Received::default();
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    request.method = words.next().unwrap_or_default().to_owned();
    request.path = words.next().unwrap_or_default().to_owned();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            request.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(request)
}

/// What a worker of a service does.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// An engine: streams events, one each `event_ms`, of 57 tokens each.
    Engine { slots: usize, event_ms: u64 },
    /// A plain service: answers with this many bytes after a time.
    Plain { slots: usize, work_ms: u64, bytes: usize },
    /// The same, but sends its answer evenly over a second.
    Steady { slots: usize, work_ms: u64, bytes: usize },
}

/// A worker: registers by heartbeat, serves requests, and says what it ran.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub state: Arc<Mutex<&'static str>>,
    pub is_stopped: Arc<AtomicBool>,
    pub runs: Arc<Mutex<Vec<String>>>,
    /// Number of the last status report.
    pub seq: Arc<AtomicU64>,
}

impl Worker {
    pub fn start(system: &System, id: &str, service: &str, last: u8, work: Work) -> Self {
        let address: SocketAddr = (system.ip(last), WORKER).into();
        let worker = Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            state: Arc::new(Mutex::new("ready")),
            is_stopped: Arc::default(),
            runs: Arc::default(),
            seq: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("the worker's address is free");
        let running = Arc::new(AtomicU64::new(0));
        let (id, runs, record) = (worker.id.clone(), worker.runs.clone(), system.record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, runs, running) = (id.clone(), runs.clone(), running.clone());
                let record = record.clone();
                std::thread::spawn(move || serve(stream, &id, work, &runs, &running, &record));
            }
        });
        worker.beat(
            system.controls(),
            match work {
                Work::Engine { slots, .. }
                | Work::Plain { slots, .. }
                | Work::Steady { slots, .. } => slots,
            },
        );
        worker
    }

    fn beat(&self, controls: Vec<SocketAddr>, slots: usize) {
        let (id, service, address) = (self.id.clone(), self.service.clone(), self.address);
        let (state, is_stopped) = (self.state.clone(), self.is_stopped.clone());
        let number = self.seq.clone();
        std::thread::spawn(move || {
            let mut next = 0;
            loop {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let path = format!("/api/instances/{id}");
                for _ in 0..controls.len() {
                    let seq = number.fetch_add(1, Ordering::SeqCst) + 1;
                    let body = status_report(&service, address, slots, *state.lock().unwrap(), seq);
                    let control = controls[next % controls.len()];
                    let answer = call(control, "PUT", &path, &[], &body, Duration::from_secs(1));
                    if answer.is_ok_and(|answer| answer.status / 100 == 2) {
                        break;
                    }
                    next += 1;
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// Body of a status report of a worker.
pub fn status_report(
    service: &str,
    address: SocketAddr,
    slots: usize,
    state: &str,
    seq: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"medeu-hall","version":"v1","slots":{slots},"state":"{state}","coldLeftMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq}}}"#
    )
}

/// Counts a request that runs until it is dropped.
struct Running<'a>(&'a AtomicU64);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve(
    stream: TcpStream,
    id: &str,
    work: Work,
    runs: &Mutex<Vec<String>>,
    running: &AtomicU64,
    record: &Record,
) {
    stream.set_nodelay(true).ok();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    while let Ok(request) = read_request(&mut reader) {
        let sent = answer(&mut stream, &request, id, work, runs, running, record);
        if sent.is_err() {
            return;
        }
    }
}

fn answer(
    stream: &mut TcpStream,
    request: &Received,
    id: &str,
    work: Work,
    runs: &Mutex<Vec<String>>,
    running: &AtomicU64,
    record: &Record,
) -> io::Result<()> {
    let slots = match work {
        Work::Engine { slots, .. } | Work::Plain { slots, .. } | Work::Steady { slots, .. } => {
            slots as u64
        }
    };
    let now_running = running.load(Ordering::SeqCst);
    match request.path.as_str() {
        "/healthz" => {
            let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(head.as_bytes());
        }
        "/api/report" => {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"waiting":0,"running":{now_running},"kvUsed":0,"kvTotal":267750,"handles":0}}"#
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return stream.write_all(head.as_bytes());
        }
        _ => {}
    }
    let attempt = request.header("attempt-id").to_owned();
    let expected = request.header("expect-instance");
    if !expected.is_empty() && expected != id {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return stream.write_all(head.as_bytes());
    }
    if now_running >= slots {
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nServer-Load: {now_running},0,{slots}\r\nContent-Length: 0\r\n\r\n"
        );
        return stream.write_all(head.as_bytes());
    }
    running.fetch_add(1, Ordering::SeqCst);
    let _running = Running(running);
    runs.lock().unwrap().push(attempt.clone());
    record.line(&format!("worker {id} runs {attempt}"));
    let load = format!("{},0,{slots}", now_running + 1);
    let result = match work {
        Work::Engine { event_ms, .. } => stream_events(stream, request, id, event_ms, &load),
        Work::Plain { work_ms, bytes, .. } | Work::Steady { work_ms, bytes, .. } => {
            std::thread::sleep(Duration::from_millis(work_ms));
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\nServer-Load: {load}\r\nContent-Length: {bytes}\r\n\r\n"
            );
            let body: Vec<u8> = (0..bytes).map(|at| b'a' + (at % 23) as u8).collect();
            let pause =
                Duration::from_millis(if matches!(work, Work::Steady { .. }) { 10 } else { 0 });
            stream.write_all(head.as_bytes()).and_then(|()| {
                body.chunks(bytes.div_ceil(100)).try_for_each(|piece| {
                    std::thread::sleep(pause);
                    stream.write_all(piece)
                })
            })
        }
    };
    let how = if result.is_ok() { "whole" } else { "its connection ended" };
    record.line(&format!("worker {id} ends {attempt}: {how}"));
    result
}

/// Tokens of an event.
pub const STRIDE: u64 = 57;

fn stream_events(
    stream: &mut TcpStream,
    request: &Received,
    id: &str,
    event_ms: u64,
    load: &str,
) -> io::Result<()> {
    let attempt = request.header("attempt-id");
    let (prompt, out) = request.tokens();
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\nVersions: 1\r\nServer-Load: {load}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    std::thread::sleep(Duration::from_millis(prompt / 177));
    stream.write_all(head.as_bytes())?;
    for event in last + 1..=out.div_ceil(STRIDE) {
        std::thread::sleep(Duration::from_millis(event_ms));
        let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Manifest with a streaming route to engines and an unrepeatable one to a plain service.
pub struct Manifest {
    pub version: u64,
    pub slots: usize,
    /// Aim, time-out and pause of the streaming route, in ms.
    pub stream: (u64, u64, u64),
    /// Aim and time-out of the other route, in ms.
    pub plain: (u64, u64),
    /// The list of tenants, as JSON.
    pub tenants: String,
}

/// The list of tenants with one tenant and its key.
pub fn one_tenant() -> String {
    format!(r#"[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":1}}]"#)
}

impl Manifest {
    pub fn text(&self) -> String {
        let (aim, timeout, gap) = self.stream;
        let (plain_aim, plain_timeout) = self.plain;
        format!(
            r#"{{"version":{version},"routes":[
{{"name":"r-stream","host":"{HOST}","pathPrefix":"/ask/","kind":"streaming","timeoutMs":{timeout},"targetLatencyMs":{aim},"priority":1,"service":"pool","maxAttempts":2,"allowAnonymous":false,"stickySessions":true,"resumable":true,"gap_aim_ms":{gap}}},
{{"name":"r-post","host":"{HOST}","pathPrefix":"/post/","kind":"non_idempotent","timeoutMs":{plain_timeout},"targetLatencyMs":{plain_aim},"priority":2,"service":"app","maxAttempts":1,"allowAnonymous":false}}],
"services":[{{"name":"pool","healthPath":"/healthz","maxConns":578,"protocol":"h1","tls":false,"engine":{{"slots":{slots},"kvCapacity":267750,"kvTokenBytes":163840.0,"linkMbps":400000.0,"stride":57,"models":[{{"name":"m"}}],"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":13239,"answer":1540}},"hop_ms":0.05}}}},
{{"name":"app","healthPath":"/healthz","maxConns":430,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":{tenants}}}"#,
            tenants = self.tenants,
            version = self.version,
            slots = self.slots,
        )
    }
}

/// Headers of a client's request.
pub fn client_headers(attempt: &str, deadline_ms: u64, tokens: &str) -> Vec<(String, String)> {
    let mut headers = vec![
        ("Host".to_owned(), HOST.to_owned()),
        ("Attempt-Id".to_owned(), attempt.to_owned()),
        ("Deadline-Ms".to_owned(), deadline_ms.to_string()),
        ("Authorization".to_owned(), format!("Bearer {KEY}")),
    ];
    if !tokens.is_empty() {
        let prompt = tokens.split(',').next().unwrap_or_default();
        headers.push(("Model".to_owned(), "m".to_owned()));
        headers.push(("Token-Counts".to_owned(), tokens.to_owned()));
        headers.push(("Prompt-Prefix".to_owned(), format!("5c1e07a2:40,{attempt}:{prompt}")));
    }
    headers
}

/// Borrows headers in the form that [`send`] takes.
pub fn borrowed(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect()
}

/// Whether the run is to take place with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
