//! Links between hosts that can be partitioned: connections stay open, and nothing arrives.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

struct Link {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

/// One link for each direction between two hosts.
pub struct Links {
    links: HashMap<(usize, usize), Link>,
}

impl Links {
    pub fn start(targets: &[SocketAddr]) -> Self {
        let mut links = HashMap::new();
        for from in 0..targets.len() {
            for (to, &target) in targets.iter().enumerate().filter(|&(to, _)| to != from) {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let address = listener.local_addr().unwrap();
                let is_cut = Arc::new(AtomicBool::new(false));
                let flag = Arc::clone(&is_cut);
                std::thread::spawn(move || run_link(&listener, target, &flag));
                links.insert((from, to), Link { address, is_cut });
            }
        }
        Self { links }
    }

    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.links[&(from, to)].address
    }

    /// Partitions a host from all peers, or reconnects it.
    pub fn set_cut(&self, host: usize, is_cut: bool) {
        for ((from, to), link) in &self.links {
            if *from == host || *to == host {
                link.is_cut.store(is_cut, Ordering::SeqCst);
            }
        }
    }
}

fn run_link(listener: &TcpListener, target: SocketAddr, is_cut: &Arc<AtomicBool>) {
    for near in listener.incoming().flatten() {
        let flag = Arc::clone(is_cut);
        std::thread::spawn(move || {
            wait_joined(&flag);
            if let Ok(far) = TcpStream::connect(target) {
                let (near_copy, far_copy) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let back_flag = Arc::clone(&flag);
                std::thread::spawn(move || copy(far_copy, near_copy, &back_flag));
                copy(near, far, &flag);
            }
        });
    }
}

fn wait_joined(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Copies until one side ends. Data that arrives during a partition is delivered after it, as TCP
/// retransmission would do.
fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(size) = from.read(&mut buffer) {
        wait_joined(is_cut);
        if size == 0 || to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    to.shutdown(std::net::Shutdown::Both).ok();
}
