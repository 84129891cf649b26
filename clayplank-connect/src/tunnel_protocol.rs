//! Messages by which a host has a peer connect to an upstream.
//!
//! A request is [`MAGIC`], its length and its encoding; the reply is one byte. After
//! [`TunnelReply::Connected`], bytes to the upstream follow as they are. Bytes from the upstream come
//! in frames, and an empty frame states that the upstream closed its connection: a connection that
//! ends without one has broken, so that an incomplete answer never looks complete.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// First bytes of a tunnel request. The first one tells it from the connection preface of HTTP/2,
/// which peers send to the same port.
pub(crate) const MAGIC: [u8; 4] = *b"TUN1";

/// Maximum size of an encoded request, in bytes.
const MAX_REQUEST_BYTES: usize = 64;

/// Size of the length before a frame, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 2;

/// A request to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TunnelRequest {
    /// Connects to an upstream.
    Connect(SocketAddr),
    /// Reports that an upstream requested a backoff in an answer that came through the peer, which
    /// the upstream takes for the sender.
    Backoff { upstream: SocketAddr, backoff_ms: u64 },
}

/// Reply to a tunnel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelReply {
    /// The upstream is connected, or the report is accepted.
    Connected,
    /// The upstream refused the connection.
    Refused,
    /// The upstream did not answer.
    Unreachable,
    /// The peer does not reach the upstream, and its own links may be at fault.
    NoPath,
    /// The peer does not connect to this address now: it knows no such upstream, the upstream wants
    /// no requests from it, it has too many tunnels, or it is about to stop.
    Declined,
}

impl TunnelReply {
    const ALL: [Self; 5] =
        [Self::Connected, Self::Refused, Self::Unreachable, Self::NoPath, Self::Declined];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::NoPath => "no_path",
            Self::Declined => "declined",
        }
    }

    fn to_byte(self) -> u8 {
        match self {
            Self::Connected => 0,
            Self::Refused => 1,
            Self::Unreachable => 2,
            Self::NoPath => 3,
            Self::Declined => 4,
        }
    }

    fn from_byte(byte: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|reply| reply.to_byte() == byte)
    }
}

fn invalid(what: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

pub(crate) async fn write_request(
    stream: &mut TcpStream,
    request: &TunnelRequest,
) -> io::Result<()> {
    let encoded = postcard::to_stdvec(request).map_err(invalid)?;
    let length = u8::try_from(encoded.len()).map_err(invalid)?;
    let mut bytes = MAGIC.to_vec();
    bytes.push(length);
    bytes.extend(encoded);
    stream.write_all(&bytes).await
}

pub(crate) async fn read_request(stream: &mut TcpStream) -> io::Result<TunnelRequest> {
    let mut head = [0; MAGIC.len() + 1];
    stream.read_exact(&mut head).await?;
    let [magic @ .., length] = head;
    let length = usize::from(length);
    if magic != MAGIC || length > MAX_REQUEST_BYTES {
        return Err(invalid("not a tunnel request"));
    }
    let mut encoded = [0; MAX_REQUEST_BYTES];
    let encoded = &mut encoded[..length];
    stream.read_exact(encoded).await?;
    postcard::from_bytes(encoded).map_err(invalid)
}

pub(crate) async fn write_reply(stream: &mut TcpStream, reply: TunnelReply) -> io::Result<()> {
    stream.write_all(&[reply.to_byte()]).await
}

pub(crate) async fn read_reply(stream: &mut TcpStream) -> io::Result<TunnelReply> {
    let byte = stream.read_u8().await?;
    TunnelReply::from_byte(byte).ok_or_else(|| invalid("not a reply to a tunnel request"))
}
