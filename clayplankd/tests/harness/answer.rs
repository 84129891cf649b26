//! HTTP answer as received by a caller; shared by both test targets.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Answer to one request; its status is 0 if none arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads an answer with a content length or in chunks. The connection can be reused if the answer
/// is complete.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if status == 0 {
        return Err(std::io::Error::other("no answer"));
    }
    let mut answer = Answer { status, ..Answer::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        let (name, value) =
            line.split_once(':').ok_or_else(|| std::io::Error::other("a header without a name"))?;
        answer.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok()) {
        answer.body = vec![0; length];
        answer.is_complete = reader.read_exact(&mut answer.body).is_ok();
        return Ok(answer);
    }
    answer.is_complete = read_chunks(reader, &mut answer.body).is_ok();
    Ok(answer)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
