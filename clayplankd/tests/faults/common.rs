//! Engines, streams and text helpers shared by several tests.

use serde_json::{Value, json};

use crate::harness::{ACCOUNT_KEY, Answer, Engine, System, bearer, send};

pub fn fast_engines() -> Vec<Engine> {
    vec![Engine::start(8, 2.0), Engine::start(8, 2.0)]
}

pub fn slow_engines() -> Vec<Engine> {
    vec![Engine::start(60, 40.0), Engine::start(60, 40.0)]
}

/// Starts a streamed answer and returns once its first byte has arrived.
pub fn start_stream(
    system: &System,
    host: usize,
    max_tokens: u64,
) -> std::thread::JoinHandle<Answer> {
    let body =
        json!({ "prompt": "a long answer", "max_tokens": max_tokens, "stream": true }).to_string();
    let address = system.hosts[host].callers;
    let stream =
        send(address, "POST", "/v1/completions", &[bearer(ACCOUNT_KEY)], body.as_bytes()).unwrap();
    stream.peek(&mut [0; 1]).unwrap();
    std::thread::spawn(move || read_to_end(stream))
}

pub fn read_to_end(stream: std::net::TcpStream) -> Answer {
    crate::harness::read_answer(stream).unwrap_or_default()
}

/// Concatenated text of the events of a streamed answer.
pub fn streamed_text(answer: &Answer) -> String {
    let text = answer.text();
    let events = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]");
    let texts = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    texts.filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}

/// Checks for a complete answer: the stand-in engine numbers its tokens from 0 without a gap.
pub fn assert_complete(text: &str, tokens: u64) {
    let offsets: Vec<_> =
        text.split_whitespace().map(|word| word.rsplit('-').next().unwrap().to_owned()).collect();
    let wanted: Vec<_> = (0..tokens).map(|offset| offset.to_string()).collect();
    assert_eq!(offsets, wanted, "{text}");
}

pub fn completion_text(answer: &Answer) -> String {
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    body["choices"][0]["text"].as_str().unwrap().to_owned()
}
