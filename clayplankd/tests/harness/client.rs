//! Blocking HTTP client with one connection per request.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::answer::{self, Answer};

impl Answer {
    pub fn outcome(&self) -> &str {
        self.header("x-clayplank-outcome").unwrap_or("none")
    }
}

pub fn get(address: SocketAddr, path: &str, key: Option<&str>) -> Option<Answer> {
    let headers: Vec<_> = key.map(super::bearer).into_iter().collect();
    call(address, "GET", path, &headers, b"")
}

/// Sends a request and reads the complete answer; `None` if there is none.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> Option<Answer> {
    read_answer(send(address, method, path, headers, body)?)
}

/// Sends a request and returns the connection on which the answer arrives.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(60))).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    Some(stream)
}

/// Reads the answer from a connection; `None` if there is none.
pub fn read_answer(stream: TcpStream) -> Option<Answer> {
    answer::read_answer(&mut BufReader::new(stream)).ok()
}
