//! Links between hosts that can be partitioned: connections stay open, and nothing arrives.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

struct Link {
    address: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
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
                let is_partitioned = Arc::new(AtomicBool::new(false));
                let flag = Arc::clone(&is_partitioned);
                std::thread::spawn(move || run_link(&listener, target, &flag));
                links.insert((from, to), Link { address, is_partitioned });
            }
        }
        Self { links }
    }

    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.links[&(from, to)].address
    }

    /// Partitions a host from all peers, or reconnects it.
    pub fn set_partitioned(&self, host: usize, is_partitioned: bool) {
        for ((from, to), link) in &self.links {
            if *from == host || *to == host {
                link.is_partitioned.store(is_partitioned, Ordering::SeqCst);
            }
        }
    }
}

fn run_link(listener: &TcpListener, target: SocketAddr, is_partitioned: &Arc<AtomicBool>) {
    for near in listener.incoming().flatten() {
        let flag = Arc::clone(is_partitioned);
        std::thread::spawn(move || {
            wait_until_connected(&flag);
            if let Ok(far) = TcpStream::connect(target) {
                let (near_copy, far_copy) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let back_flag = Arc::clone(&flag);
                std::thread::spawn(move || copy(far_copy, near_copy, &back_flag));
                copy(near, far, &flag);
            }
        });
    }
}

fn wait_until_connected(is_partitioned: &AtomicBool) {
    while is_partitioned.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Copies until one side ends. Data that arrives during a partition is delivered after it, as TCP
/// retransmission would do.
fn copy(mut from: TcpStream, mut to: TcpStream, is_partitioned: &AtomicBool) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(size) = from.read(&mut buffer) {
        wait_until_connected(is_partitioned);
        if size == 0 || to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    to.shutdown(std::net::Shutdown::Both).ok();
}
