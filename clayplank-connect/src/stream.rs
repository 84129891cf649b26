//! A connection to an upstream, direct or through a tunnel.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::socket::{limit_retransmission, set_discard_on_close, set_socket_timeouts};
use crate::tunnel_client::TunnelStream;

/// A connection to an upstream.
#[derive(Debug)]
pub enum UpstreamStream {
    /// A connection that this host opened.
    Direct(TcpStream),
    /// A connection that a peer opened on behalf of this host.
    Tunnelled(TunnelStream),
}

impl UpstreamStream {
    /// The peer through which the connection goes; `None` if it is direct.
    pub fn tunnel_host(&self) -> Option<SocketAddr> {
        match self {
            Self::Direct(_) => None,
            Self::Tunnelled(stream) => Some(stream.host()),
        }
    }

    fn socket(&self) -> &TcpStream {
        match self {
            Self::Direct(stream) => stream,
            Self::Tunnelled(stream) => stream.socket(),
        }
    }

    /// Limits the time for which unacknowledged bytes are sent again, or restores the usual one.
    pub fn set_retransmission_limit(&self, timeout: Option<Duration>) {
        match timeout {
            Some(timeout) => limit_retransmission(self.socket(), timeout),
            None => set_socket_timeouts(self.socket()),
        }
    }

    /// Makes the end of the connection discard all bytes that have not been acknowledged: otherwise
    /// they are sent on after the socket is closed.
    pub fn discard_on_close(&self) {
        set_discard_on_close(self.socket(), true);
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tunnelled(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Tunnelled(stream) => Pin::new(stream.socket_mut()).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Tunnelled(stream) => Pin::new(stream.socket_mut()).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Tunnelled(stream) => Pin::new(stream.socket_mut()).poll_shutdown(context),
        }
    }
}
