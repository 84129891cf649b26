//! Hosts that lose their links to all upstreams while callers and the other hosts still reach them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;

use crate::host::Host;
use crate::proxy::Cut;
use crate::signals::{ENTRIES, SignalSystem, UpstreamKind};
use crate::system::{Topology, wait_for};

/// Hosts that are cut off.
const CUT_OFF: [usize; 2] = [0, 1];

/// Time after which callers of a host that is cut off have to be served as well as others.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time for which callers are counted.
const COUNTED_TIME: Duration = Duration::from_secs(5);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(150);

/// Numbers of requests at some hosts.
#[derive(Debug, Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Counts {
    fn record(&self, is_served: bool) {
        self.sent.fetch_add(1, Ordering::SeqCst);
        self.served.fetch_add(usize::from(is_served), Ordering::SeqCst);
    }

    fn get(&self) -> (usize, usize) {
        (self.served.load(Ordering::SeqCst), self.sent.load(Ordering::SeqCst))
    }
}

/// First tries at the hosts that are cut off and at the others.
#[derive(Debug, Default)]
struct FirstTries {
    is_counting: AtomicBool,
    is_finished: AtomicBool,
    cut_off: Counts,
    others: Counts,
}

impl FirstTries {
    /// Sends requests to a host until the end.
    fn call(&self, system: &SignalSystem, entry: usize, caller: usize) {
        let counts = if CUT_OFF.contains(&entry) { &self.cut_off } else { &self.others };
        for number in 0.. {
            if self.is_finished.load(Ordering::SeqCst) {
                return;
            }
            let is_counted = self.is_counting.load(Ordering::SeqCst);
            let is_served = system.is_served(entry, &format!("{entry}-{caller}-{number}"));
            if is_counted {
                counts.record(is_served);
            }
            std::thread::sleep(PAUSE);
        }
    }
}

fn start(kind: UpstreamKind) -> SignalSystem {
    let topology = Topology { entries: ENTRIES, has_upstream_proxies: true, ..Topology::default() };
    SignalSystem::start_in(kind, topology)
}

/// Each host has a link of its own to each upstream, and used no other.
#[rstest]
#[case::engines_silent(UpstreamKind::Engines, Cut::Silent)]
#[case::engines_reset(UpstreamKind::Engines, Cut::Reset)]
#[case::service_silent(UpstreamKind::Service, Cut::Silent)]
#[case::service_new_connections(UpstreamKind::Service, Cut::NewConnections)]
#[case::unrepeatable_silent(UpstreamKind::Unrepeatable, Cut::Silent)]
fn callers_of_hosts_cut_off_from_all_upstreams_are_served_as_well_as_others(
    #[case] kind: UpstreamKind,
    #[case] cut: Cut,
) {
    const CALLERS: usize = 2;
    let topology = Topology { entries: ENTRIES, has_upstream_proxies: true, ..Topology::default() };
    let system = SignalSystem::start_in(kind, topology);
    let tries = FirstTries::default();
    std::thread::scope(|scope| {
        for entry in 0..ENTRIES {
            for caller in 0..CALLERS {
                let (tries, system) = (&tries, &system);
                scope.spawn(move || tries.call(system, entry, caller));
            }
        }
        std::thread::sleep(Duration::from_secs(1));
        CUT_OFF.iter().for_each(|entry| system.system.cut_off(*entry, Some(cut)));
        std::thread::sleep(SETTLE_TIME);
        tries.is_counting.store(true, Ordering::SeqCst);
        std::thread::sleep(COUNTED_TIME);
        tries.is_finished.store(true, Ordering::SeqCst);
    });
    let ((served, sent), (other_served, other_sent)) = (tries.cut_off.get(), tries.others.get());
    println!(
        "{served} of {sent} served at hosts cut off, {other_served} of {other_sent} at others"
    );
    assert!(sent > 0 && other_sent > 0);
    assert!(
        served * other_sent * 3 >= other_served * sent * 2,
        "{served} of {sent} first tries served, {other_served} of {other_sent} at other hosts"
    );
    assert!(other_served * 10 >= other_sent * 9, "{other_served} of {other_sent} at other hosts");
}

/// The peer ended although a request of another host went through it.
#[test]
fn a_planned_stop_of_peers_interrupts_no_request_that_goes_through_them() {
    let system = start(UpstreamKind::Engines);
    system.system.cut_off(0, Some(Cut::Silent));
    let mut number = 0;
    wait_for("service through a peer", || {
        number += 1;
        system.is_served(0, &format!("short-{number}"))
    });
    let count = || system.signals.iter().map(|one| one.arrivals().len()).sum::<usize>();
    let before = count();
    let answer = std::thread::scope(|scope| {
        // It takes longer than the time after which a stopping host refuses requests.
        let long = scope.spawn(|| system.request_with_tokens(0, "long", "2000,4000"));
        wait_for("the start of the request", || count() > before);
        system.system.entries[1..].iter().for_each(Host::terminate);
        long.join().unwrap()
    });
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(count(), before + 1, "the request was sent once");
}
