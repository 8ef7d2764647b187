//! A client that keeps its connection and sends one request after the other.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::read_message;
use crate::node::Node;
use crate::record::{End, Record};

pub struct ClientSettings {
    pub number: usize,
    pub host: String,
    pub path: String,
    pub deadline: Duration,
    /// Pause between two requests.
    pub pause: Duration,
}

/// Starts a client. Its connections go to the first node that takes them: its own zone's node stands first.
pub fn start(
    settings: ClientSettings,
    nodes: Vec<Arc<Node>>,
    record: Arc<Record>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut connection: Option<(usize, TcpStream)> = None;
        let mut sent = 0;
        while !stop.load(Ordering::Acquire) {
            let (node, stream) = match connection.take().or_else(|| connect(&nodes)) {
                Some(open) => open,
                None => {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            };
            sent += 1;
            let id = format!("c{:02}-{sent:04}", settings.number);
            if exchange(&settings, &id, node, &nodes[node].name, &stream, &record) {
                connection = Some((node, stream));
            }
            thread::sleep(settings.pause);
        }
    })
}

fn connect(nodes: &[Arc<Node>]) -> Option<(usize, TcpStream)> {
    // When no node is ready, the platform uses them all.
    let takes = |node: &Arc<Node>| node.takes_connections.load(Ordering::Acquire);
    let node = nodes.iter().position(takes).unwrap_or(0);
    let stream = TcpStream::connect_timeout(&nodes[node].addresses.front, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some((node, stream))
}

/// Sends one request and waits for its answer. Returns whether the connection may be used again.
fn exchange(
    settings: &ClientSettings,
    id: &str,
    node: usize,
    name: &str,
    stream: &TcpStream,
    record: &Record,
) -> bool {
    let body = format!("entry {id}\n");
    let request = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nX-Sablebay-Request-Id: {id}\r\nX-Sablebay-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        settings.path,
        settings.host,
        settings.deadline.as_millis(),
        body.len()
    );
    let Ok(mut writer) = stream.try_clone() else { return false };
    if writer.write_all(request.as_bytes()).is_err() {
        record.note(format!("request {id} can't be sent to {name}"));
        return false;
    }
    let sent_at = record.now();
    record.change(id, |attempt| {
        attempt.node = node;
        attempt.sent_at = sent_at;
    });
    record.note(format!("request {id} is sent to {name}"));
    let _ = stream.set_read_timeout(Some(settings.deadline));
    let Ok(reading) = stream.try_clone() else { return false };
    let answer = read_message(&mut BufReader::new(reading));
    let now = record.now();
    let (end, reusable) = match &answer {
        Ok(answer) => {
            (End::Answered(answer.status()), answer.header("connection").is_none_or(|value| value != "close"))
        }
        Err(error)
            if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
        {
            (End::GaveUp, false)
        }
        Err(_) => (End::Cut, false),
    };
    record.change(id, |attempt| {
        attempt.ended_at = Some(now);
        attempt.end = Some(end);
    });
    record.note(format!(
        "request {id} ends at the client: {end:?}, {:.3} s after it was sent",
        (now - sent_at).as_secs_f64()
    ));
    reusable
}
