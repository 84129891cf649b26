//! Opens tunnels: connections to upstreams that a peer opens on behalf of this host.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::socket::open;
use crate::tunnel_protocol::{
    FRAME_HEADER_BYTES, TunnelReply, TunnelRequest, read_reply, write_request,
};

/// The bytes that come from an upstream through a tunnel.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    host: SocketAddr,
    header: [u8; FRAME_HEADER_BYTES],
    /// Bytes of the current header that have been read.
    header_read: usize,
    /// Bytes of the current frame that have not been read.
    frame_left: usize,
    /// Whether the upstream has closed its connection.
    has_ended: bool,
}

impl TunnelStream {
    fn new(stream: TcpStream, host: SocketAddr) -> Self {
        let header = [0; FRAME_HEADER_BYTES];
        Self { stream, host, header, header_read: 0, frame_left: 0, has_ended: false }
    }

    /// The peer that opened the connection to the upstream.
    pub fn host(&self) -> SocketAddr {
        self.host
    }

    pub(crate) fn socket(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) fn socket_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Reads some bytes; an end of the connection is an error.
    fn poll_read_some(
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut part = ReadBuf::new(bytes);
        ready!(Pin::new(stream).poll_read(context, &mut part))?;
        match part.filled().len() {
            0 => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            size => Poll::Ready(Ok(size)),
        }
    }

    fn poll_read_header(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let unread = &mut self.header[self.header_read..];
        self.header_read += ready!(Self::poll_read_some(&mut self.stream, context, unread))?;
        if self.header_read == FRAME_HEADER_BYTES {
            self.header_read = 0;
            self.frame_left = usize::from(u16::from_be_bytes(self.header));
            self.has_ended = self.frame_left == 0;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        while this.frame_left == 0 {
            if this.has_ended {
                return Poll::Ready(Ok(()));
            }
            ready!(this.poll_read_header(context))?;
        }
        let size = this.frame_left.min(buffer.remaining());
        let unread = buffer.initialize_unfilled_to(size);
        let read = ready!(Self::poll_read_some(&mut this.stream, context, unread))?;
        buffer.advance(read);
        this.frame_left -= read;
        Poll::Ready(Ok(()))
    }
}

/// Has a peer connect to an upstream. `Err` holds its reply if it did not.
pub(crate) async fn open_tunnel(
    host: SocketAddr,
    upstream: SocketAddr,
) -> io::Result<Result<TunnelStream, TunnelReply>> {
    let mut stream = open(host, None).await?;
    write_request(&mut stream, &TunnelRequest::Connect(upstream)).await?;
    Ok(match read_reply(&mut stream).await? {
        TunnelReply::Connected => Ok(TunnelStream::new(stream, host)),
        reply => Err(reply),
    })
}

/// Reports to a peer that an upstream requested a backoff in an answer that came through it.
pub(crate) async fn report_backoff(
    host: SocketAddr,
    upstream: SocketAddr,
    backoff_ms: u64,
) -> io::Result<()> {
    let mut stream = open(host, None).await?;
    write_request(&mut stream, &TunnelRequest::Backoff { upstream, backoff_ms }).await?;
    read_reply(&mut stream).await.map(drop)
}
