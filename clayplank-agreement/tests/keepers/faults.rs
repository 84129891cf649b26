//! Faults of keepers: they end, are silent, are replaced, and lose their disks.

use clayplank_agreement::{Replica, ReplicaId};
use rand::RngExt;

use super::{Keepers, Life, options};
use crate::network::Network;

/// Time for a keeper that stops to be taken out, in ms.
const STOP_PATIENCE_MS: u64 = 2_000;

impl Keepers {
    fn end_process(&mut self, host: &str, life: Life) {
        let keeper = self.all.get_mut(host).unwrap();
        keeper.life = life;
        keeper.replica = None;
        keeper.led_since_ms = None;
    }

    /// Starts a process, from what its disk holds.
    fn start_process(&mut self, host: &str) {
        let (now_ms, losses) = (self.now_ms, self.losses);
        let keeper = self.all.get_mut(host).unwrap();
        keeper.life = Life::Up;
        keeper.is_cut = false;
        keeper.back_ms = now_ms;
        keeper.introduce_ms = now_ms;
        let id = keeper.id.clone();
        keeper.replica =
            keeper.disk.clone().map(|state| Replica::new(id, state, options(losses), now_ms));
    }

    fn empty_disk(&mut self, host: &str) {
        self.next += 1;
        let keeper = self.all.get_mut(host).unwrap();
        keeper.id = ReplicaId::new(host, self.next);
        keeper.disk = None;
        keeper.genesis = None;
        keeper.may_begin = false;
    }

    /// One keeper ends, and comes back; with an empty disk, perhaps.
    pub fn restart(&mut self, down_ms: u64, loses_disk: bool) {
        if let Some(host) = self.pick() {
            self.restart_host(&host, down_ms, loses_disk);
        }
    }

    /// The same, with one that is named.
    pub fn restart_host(&mut self, host: &str, down_ms: u64, loses_disk: bool) {
        self.tell(&format!("{host} ends for {down_ms} ms, loses its disk: {loses_disk}"));
        self.end_process(host, Life::Down);
        if loses_disk {
            self.empty_disk(host);
        }
        self.run_for(down_ms);
        if !self.is_struck() {
            self.start_process(host);
        }
    }

    /// One keeper does nothing for a while, or nothing reaches it.
    pub fn silence(&mut self, for_ms: u64, is_cut: bool) {
        let Some(host) = self.pick() else {
            return;
        };
        self.tell(&format!("{host} is silent for {for_ms} ms, cut off: {is_cut}"));
        let keeper = self.all.get_mut(&host).unwrap();
        match is_cut {
            true => keeper.is_cut = true,
            false => keeper.life = Life::Paused,
        }
        self.run_for(for_ms);
        let keeper = self.all.get_mut(&host).unwrap();
        keeper.is_cut = false;
        keeper.life = Life::Up;
        keeper.back_ms = self.now_ms;
    }

    /// All keepers lose power at once, and come back.
    pub fn power_off_all(&mut self, down_ms: u64) {
        self.tell(&format!("all lose power for {down_ms} ms"));
        let hosts: Vec<_> = self.present();
        hosts.iter().for_each(|host| self.end_process(host, Life::Down));
        self.network = Network::default();
        self.run_for(down_ms);
        if !self.is_struck() {
            hosts.iter().for_each(|host| self.start_process(host));
        }
    }

    fn present(&self) -> Vec<String> {
        let present = self.all.iter().filter(|(_, keeper)| keeper.life != Life::Gone);
        present.map(|(host, _)| host.clone()).collect()
    }

    /// A keeper is gone for good; an empty one comes later.
    pub fn replace_suddenly(&mut self, gap_ms: u64) {
        let Some(host) = self.pick() else {
            return;
        };
        self.tell(&format!("{host} is gone, another one comes {gap_ms} ms later"));
        self.end_process(&host, Life::Gone);
        // What comes in its place counts as lost by itself.
        self.replaced_until_ms.push(self.now_ms + gap_ms);
        self.run_for(gap_ms);
        let newcomer = self.add(false);
        self.tell(&format!("{newcomer} starts"));
    }

    /// An empty keeper comes first; the one that it replaces stops `after_ms` later.
    pub fn replace_as_planned(&mut self, after_ms: u64) {
        let Some(host) = self.pick() else {
            return;
        };
        let newcomer = self.add(false);
        self.tell(&format!("{newcomer} starts, to replace {host} {after_ms} ms later"));
        self.run_for(after_ms);
        if self.is_struck() || self.all[&host].life != Life::Up {
            return;
        }
        let asked_ms = self.now_ms;
        while !self.is_struck() && self.now_ms < asked_ms + STOP_PATIENCE_MS {
            if self.ask_to_stop(&host) {
                break;
            }
            self.run_for(20);
        }
        self.tell(&format!("{host} stops"));
        self.end_process(&host, Life::Gone);
    }

    fn ask_to_stop(&mut self, host: &str) -> bool {
        let now_ms = self.now_ms;
        let reached = self.all.values_mut().filter(|keeper| keeper.is_reached());
        let leaders = reached.filter_map(|keeper| keeper.replica.as_mut());
        let Some(leader) = leaders.filter(|one| one.is_leader()).max_by_key(|one| one.term())
        else {
            return false;
        };
        leader.note_leaving(now_ms, host);
        leader.keep_members(now_ms);
        leader.may_stop(now_ms, host)
    }

    /// As many disks are lost as are tolerated, all others lose power; then all come back.
    pub fn strike(&mut self) {
        self.strike_ms = u64::MAX;
        let budget = self.losses.saturating_sub(self.lost_count());
        let mut sound = self.sound();
        let mut lost = Vec::new();
        for _ in 0..budget.min(sound.len()) {
            lost.push(sound.swap_remove(self.rng.random_range(0..sound.len())));
        }
        self.tell(&format!("all lose power, {lost:?} their disks"));
        let hosts = self.present();
        hosts.iter().for_each(|host| self.end_process(host, Life::Down));
        self.network = Network::default();
        lost.iter().for_each(|host| self.empty_disk(host));
        self.run_for(1_000);
        hosts.iter().for_each(|host| self.start_process(host));
    }
}
