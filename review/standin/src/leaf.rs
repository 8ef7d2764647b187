//! Stand-in for a leaf: slots, a short queue, one request at a time on a connection. It drops a request
//! when the request's connection closes.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::Record;

const CHECK_PERIOD: Duration = Duration::from_millis(5);

pub struct LeafSettings {
    pub id: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Whether it answers every request with 500, which counts as run.
    pub fails: Arc<AtomicBool>,
}

#[derive(Default)]
struct Load {
    running: usize,
    /// The queue, by ticket.
    waiting: VecDeque<u64>,
    next_ticket: u64,
}

pub struct Leaf {
    settings: LeafSettings,
    load: Mutex<Load>,
    freed: Condvar,
    record: Arc<Record>,
}

impl Leaf {
    pub fn start(listener: TcpListener, settings: LeafSettings, record: Arc<Record>) {
        let leaf = Arc::new(Leaf { settings, load: Mutex::default(), freed: Condvar::new(), record });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = leaf.clone();
                thread::spawn(move || leaf.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(watched)) = (stream.try_clone(), stream.try_clone()) else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let id = request.header("x-sablebay-request-id").unwrap_or("").to_string();
            let expected = request.header("x-sablebay-expect-instance");
            if expected.is_some_and(|expected| expected != self.settings.id) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Sablebay-Request-Id: {id}\r\nX-Sablebay-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.settings.id
                );
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let now = self.record.now();
            self.record.change(&id, |attempt| {
                attempt.arrived_at = Some(now);
                attempt.arrivals.push(now);
            });
            self.record.note(format!("request {id} reaches leaf {}", self.settings.id));
            if !self.take_slot(&id, &watched) {
                let load = self.load_text();
                let head = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Sablebay-Request-Id: {id}\r\nX-Sablebay-Not-Executed: 1\r\nX-Sablebay-Server-Load: {load}\r\nContent-Length: 0\r\n\r\n"
                );
                self.record.note(format!("leaf {} doesn't run {id}", self.settings.id));
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let now = self.record.now();
            self.record.change(&id, |attempt| {
                attempt.begun_at = Some(now);
                attempt.runs += 1;
            });
            self.record.note(format!("leaf {} begins to work on {id}", self.settings.id));
            let finished = self.work(&watched);
            let now = self.record.now();
            self.record.change(&id, |attempt| attempt.done_at = Some(now));
            self.free_slot();
            if !finished {
                self.record.note(format!("leaf {} drops {id}: its connection closed", self.settings.id));
                return;
            }
            self.record.note(format!("leaf {} has run {id}", self.settings.id));
            let body = format!("done {id}\n");
            let status = if self.settings.fails.load(Ordering::Acquire) {
                "500 Internal Server Error"
            } else {
                "200 OK"
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Sablebay-Request-Id: {id}\r\nX-Sablebay-Response-Stamp: {}.{id}\r\nX-Sablebay-Server-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.settings.id,
                self.load_text(),
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn load_text(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("{},{},{}", load.running, load.waiting.len(), self.settings.slots)
    }

    /// Waits for a slot, in the order of arrival. False when the queue is full or the connection closed.
    fn take_slot(&self, id: &str, watched: &TcpStream) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.settings.slots && load.waiting.len() >= self.settings.queue {
            return false;
        }
        let ticket = load.next_ticket;
        load.next_ticket += 1;
        load.waiting.push_back(ticket);
        while load.running >= self.settings.slots || load.waiting.front() != Some(&ticket) {
            load = self.freed.wait_timeout(load, CHECK_PERIOD).unwrap().0;
            if is_closed(watched) {
                load.waiting.retain(|waiting| *waiting != ticket);
                self.record.note(format!(
                    "leaf {} drops {id} from its queue: its connection closed",
                    self.settings.id
                ));
                return false;
            }
        }
        load.waiting.pop_front();
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_all();
    }

    /// Works for the set time. False when the connection closed meanwhile.
    fn work(&self, watched: &TcpStream) -> bool {
        let until = Instant::now() + self.settings.work;
        while Instant::now() < until {
            thread::sleep(CHECK_PERIOD.min(until - Instant::now()));
            if is_closed(watched) {
                return false;
            }
        }
        true
    }
}

/// Whether the other side has closed or reset the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
