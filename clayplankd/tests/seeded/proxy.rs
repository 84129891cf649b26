//! Loopback proxy that delays, resets or blackholes connections, or blocks one direction.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

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

/// Proxy for all connections to one process.
#[derive(Clone, Debug)]
pub struct Proxy {
    fault: Arc<Mutex<watch::Sender<Fault>>>,
}

impl Default for Proxy {
    fn default() -> Self {
        Self { fault: Arc::new(Mutex::new(watch::channel(Fault::None).0)) }
    }
}

impl Proxy {
    pub fn set(&self, fault: Fault) {
        self.fault.lock().unwrap().send_replace(fault);
    }

    /// Forwards connections from `near` to `far`.
    pub fn start(&self, runtime: &Runtime, near: SocketAddr, far: SocketAddr) {
        let listener = runtime.block_on(TcpListener::bind(near)).unwrap();
        let fault = self.fault.lock().unwrap().subscribe();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, far, fault.clone()));
            }
        });
    }
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
