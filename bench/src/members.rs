//! Cost of the membership protocol per host, and its failure detection time, by number of hosts.

use std::collections::BTreeMap;
use std::time::Instant;

use clayplank_members::{FailureDetectorTiming, Members, ProbeAction, Status};
use clayplank_state::encode;
use clayplank_types::{DataCentre, HostId, Incarnation};

/// Numbers of hosts.
const SIZES: [usize; 3] = [9, 90, 370];
/// Simulated time between two ticks of every host.
const STEP_MS: u64 = 100;
/// Simulated time without failures over which messages and processor time are counted.
const STEADY_MS: u64 = 60_000;

/// Simulated hosts with a membership view each, at most one of which has failed.
struct Fleet {
    views: BTreeMap<HostId, Members>,
    failed: Option<HostId>,
    messages: u64,
    bytes: u64,
}

fn host(number: usize) -> HostId {
    HostId::new(format!("host-{number}"))
}

impl Fleet {
    fn new(count: usize) -> Self {
        let hosts = || {
            (0..count).map(|number| (host(number), DataCentre::new(format!("dc-{}", number % 12))))
        };
        let view = |number: usize| {
            let incarnation = Incarnation(1_000 + number as u64);
            let mut members = Members::new(
                host(number),
                incarnation,
                hosts(),
                FailureDetectorTiming::default(),
                0,
            );
            members.delay_first_probe();
            (host(number), members)
        };
        Self { views: (0..count).map(view).collect(), failed: None, messages: 0, bytes: 0 }
    }

    fn step(&mut self, now_ms: u64) {
        let names: Vec<_> = self.views.keys().cloned().collect();
        let failed = self.failed.clone();
        for name in names.iter().filter(|name| Some(*name) != failed.as_ref()) {
            let effects =
                self.views.get_mut(name).map(|view| view.tick(now_ms)).unwrap_or_default();
            effects.into_iter().for_each(|effect| self.execute(now_ms, name, effect));
        }
    }

    fn execute(&mut self, now_ms: u64, from: &HostId, effect: ProbeAction) {
        match effect {
            ProbeAction::Probe(target) if self.exchange(now_ms, from, &target) => {
                if let Some(view) = self.views.get_mut(from) {
                    view.record_ack(&target);
                }
            }
            ProbeAction::Probe(target) => {
                let more =
                    self.views.get_mut(from).map(|view| view.record_missed_probe(now_ms, &target));
                more.into_iter().flatten().for_each(|effect| self.execute(now_ms, from, effect));
            }
            ProbeAction::ProbeVia { target, .. } => {
                let is_reached = Some(&target) != self.failed.as_ref();
                if let Some(view) = self.views.get_mut(from) {
                    match is_reached {
                        true => view.record_ack(&target),
                        false => view.record_missed_indirect_probe(now_ms, &target),
                    }
                }
            }
        }
    }

    /// A probe and its reply, both with piggybacked gossip; `false` if the target has failed.
    fn exchange(&mut self, now_ms: u64, from: &HostId, target: &HostId) -> bool {
        let updates = self.views.get_mut(from).map(|view| {
            let mut updates = view.take_updates();
            updates.extend(view.refutable_update_for(target));
            updates
        });
        self.count(updates.as_ref());
        if Some(target) == self.failed.as_ref() {
            return false;
        }
        let reply = self.views.get_mut(target).map(|view| {
            view.apply_updates(now_ms, &updates.unwrap_or_default());
            view.take_updates()
        });
        self.count(reply.as_ref());
        if let Some(view) = self.views.get_mut(from) {
            view.apply_updates(now_ms, &reply.unwrap_or_default());
        }
        true
    }

    fn count<T: serde::Serialize>(&mut self, message: Option<&T>) {
        self.messages += 1;
        self.bytes +=
            message.and_then(|message| encode(message).ok()).map_or(0, |bytes| bytes.len() as u64);
    }

    /// Whether every other host has declared the host dead.
    fn all_detected(&self, failed: &HostId) -> bool {
        let peers = self.views.iter().filter(|(name, _)| *name != failed);
        peers.into_iter().all(|(_, view)| view.status(failed) == Some(Status::Gone))
    }
}

/// Measures a minute without failures, then the time until all hosts detect the failure of one.
pub(crate) fn run() {
    for count in SIZES {
        let mut fleet = Fleet::new(count);
        let started = Instant::now();
        let mut now_ms = 0;
        while now_ms < STEADY_MS {
            now_ms += STEP_MS;
            fleet.step(now_ms);
        }
        let per_host_second = count as f64 * STEADY_MS as f64 / 1_000.0;
        let cpu_us = started.elapsed().as_micros() as f64 / per_host_second;
        let (messages, bytes) =
            (fleet.messages as f64 / per_host_second, fleet.bytes as f64 / per_host_second);
        let failed = host(count / 2);
        fleet.failed = Some(failed.clone());
        let failed_ms = now_ms;
        while !fleet.all_detected(&failed) && now_ms < failed_ms + 120_000 {
            now_ms += STEP_MS;
            fleet.step(now_ms);
        }
        println!(
            "{count} hosts: {messages:.2} messages, {bytes:.0} bytes, {cpu_us:.1} us of processor a host and second; \
             a death is known to all after {} ms",
            now_ms - failed_ms
        );
    }
}
