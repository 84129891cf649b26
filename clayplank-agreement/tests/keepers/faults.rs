//! Injected faults: keepers stop, pause, are partitioned, are replaced and lose their disks.

use clayplank_agreement::{Replica, ReplicaId};
use rand::RngExt;

use super::{Keepers, ProcessState, options};
use crate::network::Network;

/// Maximum time that a departing keeper waits until it is removed, in ms.
const DEPARTURE_TIMEOUT_MS: u64 = 2_000;

impl Keepers {
    fn stop_process(&mut self, host: &str, state: ProcessState) {
        let keeper = self.all.get_mut(host).unwrap();
        keeper.state = state;
        keeper.replica = None;
        keeper.led_since_ms = None;
    }

    /// Starts a keeper's process from the state on its disk.
    fn start_process(&mut self, host: &str) {
        let (now_ms, losses) = (self.now_ms, self.losses);
        let keeper = self.all.get_mut(host).unwrap();
        keeper.state = ProcessState::Up;
        keeper.is_partitioned = false;
        keeper.started_ms = now_ms;
        keeper.next_introduction_ms = now_ms;
        let id = keeper.id.clone();
        keeper.replica =
            keeper.disk.clone().map(|state| Replica::new(id, state, options(losses), now_ms));
    }

    fn lose_disk(&mut self, host: &str) {
        self.next_number += 1;
        let keeper = self.all.get_mut(host).unwrap();
        keeper.id = ReplicaId::new(host, self.next_number);
        keeper.disk = None;
        keeper.genesis = None;
        keeper.may_begin = false;
    }

    /// Restarts a random keeper, optionally with an empty disk.
    pub fn restart(&mut self, down_ms: u64, loses_disk: bool) {
        if let Some(host) = self.pick_healthy() {
            self.restart_host(&host, down_ms, loses_disk);
        }
    }

    /// Restarts a keeper, optionally with an empty disk.
    pub fn restart_host(&mut self, host: &str, down_ms: u64, loses_disk: bool) {
        self.record_event(&format!("{host} stops for {down_ms} ms, loses its disk: {loses_disk}"));
        self.stop_process(host, ProcessState::Down);
        if loses_disk {
            self.lose_disk(host);
        }
        self.run_for(down_ms);
        if !self.is_power_failure_due() {
            self.start_process(host);
        }
    }

    /// Pauses a random keeper, or partitions it from the others, for a time.
    pub fn make_unresponsive(&mut self, for_ms: u64, is_partitioned: bool) {
        let Some(host) = self.pick_healthy() else {
            return;
        };
        self.record_event(&format!(
            "{host} is unresponsive for {for_ms} ms, partitioned: {is_partitioned}"
        ));
        let keeper = self.all.get_mut(&host).unwrap();
        match is_partitioned {
            true => keeper.is_partitioned = true,
            false => keeper.state = ProcessState::Paused,
        }
        self.run_for(for_ms);
        let keeper = self.all.get_mut(&host).unwrap();
        keeper.is_partitioned = false;
        keeper.state = ProcessState::Up;
        keeper.started_ms = self.now_ms;
    }

    /// Stops all keepers at once and restarts them later.
    pub fn power_off_all(&mut self, down_ms: u64) {
        self.record_event(&format!("power failure of all keepers for {down_ms} ms"));
        let hosts: Vec<_> = self.present();
        hosts.iter().for_each(|host| self.stop_process(host, ProcessState::Down));
        self.network = Network::default();
        self.run_for(down_ms);
        if !self.is_power_failure_due() {
            hosts.iter().for_each(|host| self.start_process(host));
        }
    }

    /// Hosts of the keepers that were not replaced.
    fn present(&self) -> Vec<String> {
        let present = self.all.iter().filter(|(_, keeper)| keeper.state != ProcessState::Replaced);
        present.map(|(host, _)| host.clone()).collect()
    }

    /// Stops a random keeper for good; one with an empty disk is added later.
    pub fn replace_unplanned(&mut self, gap_ms: u64) {
        let Some(host) = self.pick_healthy() else {
            return;
        };
        self.record_event(&format!(
            "{host} fails for good, its successor starts {gap_ms} ms later"
        ));
        self.stop_process(&host, ProcessState::Replaced);
        // The new keeper counts as failed itself, from its start until it has caught up.
        self.missing_until_ms.push(self.now_ms + gap_ms);
        self.run_for(gap_ms);
        let new_host = self.add(false);
        self.record_event(&format!("{new_host} starts"));
    }

    /// Adds a keeper with an empty disk; the one that it replaces announces its departure
    /// `after_ms` later.
    pub fn replace_planned(&mut self, after_ms: u64) {
        let Some(host) = self.pick_healthy() else {
            return;
        };
        let new_host = self.add(false);
        self.record_event(&format!("{new_host} starts, to replace {host} {after_ms} ms later"));
        self.run_for(after_ms);
        if self.is_power_failure_due() || self.all[&host].state != ProcessState::Up {
            return;
        }
        let announced_ms = self.now_ms;
        while !self.is_power_failure_due() && self.now_ms < announced_ms + DEPARTURE_TIMEOUT_MS {
            if self.announce_departure(&host) {
                break;
            }
            self.run_for(20);
        }
        self.record_event(&format!("{host} stops"));
        self.stop_process(&host, ProcessState::Replaced);
    }

    /// Announces the departure of a host to the leader; returns whether the host may stop.
    fn announce_departure(&mut self, host: &str) -> bool {
        let now_ms = self.now_ms;
        let reachable = self.all.values_mut().filter(|keeper| keeper.is_reachable());
        let leaders = reachable.filter_map(|keeper| keeper.replica.as_mut());
        let Some(leader) =
            leaders.filter(|replica| replica.is_leader()).max_by_key(|replica| replica.term())
        else {
            return false;
        };
        leader.record_departure(now_ms, host);
        leader.maintain_membership(now_ms);
        leader.may_stop(now_ms, host)
    }

    /// A power failure of all keepers, in which as many lose their disks as is tolerated. All are
    /// restarted.
    pub fn fail_power(&mut self) {
        self.power_failure_ms = u64::MAX;
        let max_lost = self.losses.saturating_sub(self.failed_count());
        let mut healthy = self.healthy();
        let mut lost = Vec::new();
        for _ in 0..max_lost.min(healthy.len()) {
            lost.push(healthy.swap_remove(self.rng.random_range(0..healthy.len())));
        }
        self.record_event(&format!("power failure of all keepers, {lost:?} lose their disks"));
        let hosts = self.present();
        hosts.iter().for_each(|host| self.stop_process(host, ProcessState::Down));
        self.network = Network::default();
        lost.iter().for_each(|host| self.lose_disk(host));
        self.run_for(1_000);
        hosts.iter().for_each(|host| self.start_process(host));
    }
}
