//! Loopback proxy that delays, resets or blackholes connections, or blocks one direction, and that
//! cuts single hosts off.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Fault that the proxy applies to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Delays each chunk by this time in ms.
    Delay(u64),
    /// Closes all connections, and new ones immediately.
    Reset,
    /// Blocks both directions without closing connections.
    Blackhole,
    /// Blocks the direction to the process behind the proxy.
    BlockInbound,
    /// Blocks the direction from the process behind the proxy.
    BlockOutbound,
}

/// Direction of data through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    In,
    Out,
}

impl Fault {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::None | Self::Delay(_) | Self::Reset => false,
            Self::Blackhole => true,
            Self::BlockInbound => direction == Direction::In,
            Self::BlockOutbound => direction == Direction::Out,
        }
    }
}

/// How one host is cut off from the process behind the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// No packet of the host arrives.
    Silent,
    /// Its connections are reset, and new ones are not answered.
    Reset,
    /// Its connections stay, and new ones are not answered.
    NewConnections,
    /// It can open connections, but nothing that it sends arrives.
    Data,
}

/// Hosts that are cut off, by their address.
type Cuts = BTreeMap<Ipv4Addr, Cut>;

/// Proxy for all connections to one process.
#[derive(Clone, Debug)]
pub struct Proxy {
    fault: Arc<Mutex<watch::Sender<Fault>>>,
    cuts: watch::Sender<Cuts>,
}

impl Default for Proxy {
    fn default() -> Self {
        let fault = Arc::new(Mutex::new(watch::channel(Fault::None).0));
        Self { fault, cuts: watch::Sender::default() }
    }
}

impl Proxy {
    pub fn set(&self, fault: Fault) {
        self.fault.lock().unwrap().send_replace(fault);
    }

    /// Cuts a host off, or restores its links.
    pub fn cut(&self, host: Ipv4Addr, cut: Option<Cut>) {
        self.cuts.send_modify(|cuts| match cut {
            Some(cut) => {
                cuts.insert(host, cut);
            }
            None => {
                cuts.remove(&host);
            }
        });
    }

    /// Forwards connections from `near` to `far`.
    pub fn start(&self, runtime: &Runtime, near: SocketAddr, far: SocketAddr) {
        let listener = runtime.block_on(TcpListener::bind(near)).unwrap();
        let fault = self.fault.lock().unwrap().subscribe();
        let mut cuts = self.cuts.subscribe();
        runtime.spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, peer)) = accepted else { return };
                        tokio::spawn(pass_unless_cut(stream, peer, far, fault.clone(), cuts.clone()));
                    }
                    changed = cuts.changed() => {
                        if changed.is_err() { return }
                        drop_packets_of(&listener, &cuts.borrow_and_update());
                    }
                }
            }
        });
    }
}

/// Forwards a connection until its host is cut off.
async fn pass_unless_cut(
    near: TcpStream,
    peer: SocketAddr,
    far: SocketAddr,
    fault: watch::Receiver<Fault>,
    mut cuts: watch::Receiver<Cuts>,
) {
    let IpAddr::V4(host) = peer.ip() else { return };
    let socket = SockRef::from(&near).try_clone().unwrap();
    let cut_off = async {
        loop {
            let cut = cuts.borrow_and_update().get(&host).copied();
            match cut {
                Some(Cut::Reset) => {
                    socket.set_linger(Some(Duration::ZERO)).ok();
                    return;
                }
                Some(cut @ (Cut::Silent | Cut::Data)) => {
                    drop_packets_of(&socket, &Cuts::from([(host, cut)]));
                }
                Some(Cut::NewConnections) | None => drop_packets_of(&socket, &Cuts::new()),
            }
            if cuts.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::select! {
        () = pass(near, far, fault) => {}
        () = cut_off => {}
    }
}

/// Offset from which a filter reads the IP header.
const IP_HEADER: u32 = (-0x10_0000_i32) as u32;

/// Offset of the source address in the IP header.
const SOURCE_OFFSET: u32 = 12;

/// Offset of the packet's length in the IP header.
const LENGTH_OFFSET: u32 = 2;

/// Maximum length of a packet without data: both headers, with all options of TCP.
const MAX_HEADERS_BYTES: u32 = 80;

/// Filter instructions: load a word or half a word, skip unless the comparison holds, and return the
/// number of bytes to keep.
const LOAD_WORD: u16 = 0x20;
const LOAD_HALF_WORD: u16 = 0x28;
const JUMP_IF_EQUAL: u16 = 0x15;
const JUMP_IF_GREATER: u16 = 0x25;
const RETURN: u16 = 0x06;

/// Makes the kernel discard packets that arrive at a socket: those of hosts that are cut off, or only
/// those with data.
fn drop_packets_of<'a>(socket: impl Into<SockRef<'a>>, cuts: &Cuts) {
    let mut filter = Vec::new();
    for (host, cut) in cuts {
        let drops_all = *cut != Cut::Data;
        let min_length = if drops_all { 0 } else { MAX_HEADERS_BYTES };
        filter.extend([
            SockFilter::new(LOAD_WORD, 0, 0, IP_HEADER.wrapping_add(SOURCE_OFFSET)),
            SockFilter::new(JUMP_IF_EQUAL, 0, 3, u32::from(*host)),
            SockFilter::new(LOAD_HALF_WORD, 0, 0, IP_HEADER.wrapping_add(LENGTH_OFFSET)),
            SockFilter::new(JUMP_IF_GREATER, 0, 1, min_length),
            SockFilter::new(RETURN, 0, 0, 0),
        ]);
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    socket.into().attach_filter(&filter).unwrap();
}

async fn pass(near: TcpStream, far: SocketAddr, fault: watch::Receiver<Fault>) {
    let mut resets = fault.clone();
    let passing = async {
        wait_until_open(&mut fault.clone(), Direction::In).await;
        let Ok(far) = TcpStream::connect(far).await else {
            return;
        };
        near.set_nodelay(true).ok();
        far.set_nodelay(true).ok();
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        // As on a network, a side that has closed its sending half can still receive.
        tokio::join!(
            copy(near_in, far_out, fault.clone(), Direction::In),
            copy(far_in, near_out, fault.clone(), Direction::Out),
        );
    };
    tokio::select! {
        () = passing => {}
        _ = resets.wait_for(|fault| *fault == Fault::Reset) => {}
    }
}

/// Waits while the fault blocks this direction.
async fn wait_until_open(fault: &mut watch::Receiver<Fault>, direction: Direction) {
    fault.wait_for(|fault| !fault.blocks(direction)).await.ok();
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(size) = from.read(&mut buffer).await {
        let current = *fault.borrow();
        if let Fault::Delay(delay_ms) = current {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        wait_until_open(&mut fault, direction).await;
        if size == 0 || to.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    to.shutdown().await.ok();
}
