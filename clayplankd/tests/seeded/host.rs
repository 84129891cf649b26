//! One seeded host as a process: its settings, start and stop, and log.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};

use serde_json::{Value, json};

use crate::client::call;

/// All hosts use the same ports, below the ephemeral range, so that no outgoing connection occupies
/// them.
pub const CALLERS_PORT: u16 = 18_080;
pub const READINESS_PORT: u16 = 18_081;
pub const CONTROL_PORT: u16 = 18_082;
pub const INNER_PORT: u16 = 18_083;
pub const METRICS_PORT: u16 = 18_084;
pub const UPSTREAM_PORT: u16 = 18_085;

/// Role of a host process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Keeper,
    /// An entry host. One with a control listener forwards operators' requests to the keepers.
    Entry {
        has_control_listener: bool,
    },
    /// An entry host with a disk, which makes it a keeper as well.
    EntryAndKeeper,
}

/// One process with its own loopback address.
pub struct Host {
    /// Address at which other processes reach the host.
    pub ip: Ipv4Addr,
    /// Listening address for peers and operators; differs from `ip` if the host is behind a proxy.
    pub bind_ip: Ipv4Addr,
    /// Address from which the host opens connections to upstreams, if it has one of its own.
    pub source_ip: Option<Ipv4Addr>,
    pub role: Role,
    pub settings: PathBuf,
    pub data: PathBuf,
    pub child: Option<Child>,
}

impl Host {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn callers(&self) -> SocketAddr {
        self.at(CALLERS_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL_PORT)
    }

    pub fn is_ready(&self) -> bool {
        call(self.at(READINESS_PORT), "GET", "/health", &[], "").status == 200
    }

    pub fn metrics(&self) -> String {
        call(self.at(METRICS_PORT), "GET", "/metrics", &[], "").text()
    }

    pub fn start(&mut self) {
        // Appends, so that the lines of earlier incarnations are kept.
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

    /// Starts the process with its log written to a pipe, which is not read until the caller does
    /// so.
    pub fn start_with_pipe(&mut self) -> ChildStdout {
        let mut child = self.command().stdout(Stdio::piped()).spawn().unwrap();
        let pipe = child.stdout.take().unwrap();
        self.child = Some(child);
        pipe
    }

    /// Process id of the last start, unless the process was killed through this value.
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

    /// Sends a signal with the `kill` command.
    pub fn signal(&self, signal: &str) {
        let id = self.process().unwrap().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Writes the complete settings file. The bootstrap addresses are control addresses of
    /// hosts to contact at the start.
    pub fn write_settings(&self, bootstrap_addresses: &[SocketAddr], is_first_start: bool) {
        let behind = |port| SocketAddr::new(IpAddr::V4(self.bind_ip), port);
        let mut listen = json!({ "inner": behind(INNER_PORT), "metrics": self.at(METRICS_PORT) });
        if self.role != (Role::Entry { has_control_listener: false }) {
            listen["control"] = json!(behind(CONTROL_PORT));
        }
        if self.role != Role::Keeper {
            listen["callers"] = json!(self.at(CALLERS_PORT));
            listen["readiness"] = json!(self.at(READINESS_PORT));
        }
        let has_disk = matches!(self.role, Role::Keeper | Role::EntryAndKeeper);
        let settings = json!({
            "name": self.ip.to_string(),
            "role": if self.role == Role::Keeper { "keeper" } else { "entry" },
            "ip": self.ip,
            "source_ip": self.source_ip,
            "data_centre": "hall",
            "data_centres": ["hall", "annex"],
            "listen": listen,
            "seeds": bootstrap_addresses,
            "is_first_start": is_first_start,
            "data_dir": has_disk.then_some(&self.data),
            "tolerated_losses": (bootstrap_addresses.len() - 1) / 2,
            "bounds": { "heartbeat_ms": 300, "revoke_ms": 4000, "grace_s": 6.0 },
        });
        std::fs::write(&self.settings, settings.to_string()).unwrap();
    }

    /// Changes the settings file and sends SIGHUP, which makes the process reload it.
    pub fn change_settings(&self, change: impl FnOnce(&mut Value)) {
        self.change_settings_file(change);
        self.signal("-HUP");
    }

    /// Sets the bootstrap addresses for the next start, which is not the first start of the system.
    pub fn set_bootstrap_addresses(&self, addresses: &[SocketAddr]) {
        self.change_settings_file(|settings| {
            settings["seeds"] = addresses.iter().map(ToString::to_string).collect();
            settings["is_first_start"] = false.into();
        });
    }

    pub fn change_settings_file(&self, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let mut settings: Value = serde_json::from_str(&text).unwrap();
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).unwrap();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Log lines with this message.
    pub fn lines(&self, message: &str) -> Vec<Value> {
        let text = self.log();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["message"] == message).collect()
    }

    /// Times of the log lines with this message, in seconds of their day.
    pub fn times(&self, message: &str) -> Vec<f64> {
        let lines = self.lines(message);
        lines.iter().filter_map(|line| time_of_day(line["time"].as_str()?)).collect()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().unwrap().is_some())
    }
}

/// Seconds of the day of a log line's time, such as `2026-01-01T00:00:01.000Z`.
fn time_of_day(text: &str) -> Option<f64> {
    let mut parts = text.split_once('T')?.1.trim_end_matches('Z').split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some((next()? * 60.0 + next()?) * 60.0 + next()?)
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            let last: Vec<_> = log.lines().rev().take(15).collect();
            eprintln!("{:?} {}:", self.role, self.ip);
            last.iter().rev().for_each(|line| eprintln!("  {line}"));
        }
    }
}
