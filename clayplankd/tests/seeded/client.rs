//! Blocking HTTP client with one connection per request.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::answer::{Answer, read_answer};
use crate::system::WAIT_TIMEOUT;

/// Sends a request on a new connection; the status is 0 if there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    exchange(address, method, path, headers, body).unwrap_or_default()
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        head.push_str("host: dala.example\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    read_answer(&mut BufReader::new(stream))
}
