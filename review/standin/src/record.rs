//! What clients and leafs saw, with times, and the text of `record.txt`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Answered(u16),
    /// The connection ended before a complete answer.
    Cut,
    /// The client's deadline passed; the client closed the connection.
    GaveUp,
}

/// One client attempt, as seen by its client and by the leafs.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    pub node: usize,
    /// When its last byte was sent.
    pub sent_at: Duration,
    pub ended_at: Option<Duration>,
    pub end: Option<End>,
    /// When it last arrived at a leaf.
    pub arrived_at: Option<Duration>,
    /// All its arrivals at leafs.
    pub arrivals: Vec<Duration>,
    /// When a leaf began to work on it.
    pub begun_at: Option<Duration>,
    /// When the leaf's work on it ended.
    pub done_at: Option<Duration>,
    pub runs: u32,
}

pub struct Record {
    started: Instant,
    attempts: Mutex<BTreeMap<String, Attempt>>,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), attempts: Mutex::default(), lines: Mutex::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: String) {
        self.lines.lock().unwrap().push((self.now(), text));
    }

    pub fn change(&self, id: &str, change: impl FnOnce(&mut Attempt)) {
        change(self.attempts.lock().unwrap().entry(id.to_string()).or_default());
    }

    pub fn attempts(&self) -> BTreeMap<String, Attempt> {
        self.attempts.lock().unwrap().clone()
    }

    pub fn text(&self) -> String {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        text
    }
}
