//! Stand-in for the platform's store: items by key, ranges and watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;

/// Items of a page; the users' store holds about 500 at most.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Contents {
    revision: u64,
    /// Value in base64 and revision, by key.
    items: BTreeMap<String, (String, u64)>,
    /// The JSON text of each event with its revision.
    events: Vec<(u64, String)>,
}

#[derive(Default)]
pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> (Arc<Store>, SocketAddr) {
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Store::default());
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    pub fn put(&self, key: &str, value: impl AsRef<[u8]>) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let item = (base64(value.as_ref()), revision);
        contents.events.push((revision, item_text(key, &item)));
        contents.items.insert(key.to_string(), item);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let (_, target) = request.target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let value = pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value);
                value.map(decoded).unwrap_or_default()
            };
            let body = match path {
                "/kv-range" => self.range(&parameter("PathPrefix"), &parameter("after")),
                "/kv-watch" => {
                    self.watch(&parameter("PathPrefix"), &parameter("after"), &parameter("WaitMs"))
                }
                _ => "{}".to_string(),
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let contents = self.contents.lock().unwrap();
        let matching: Vec<_> = contents
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let page: Vec<String> =
            matching.iter().take(PAGE_ITEMS).map(|(key, item)| item_text(key, item)).collect();
        let more = matching.len() > PAGE_ITEMS;
        format!("{{\"items\":[{}],\"more\":{more},\"at\":{}}}", page.join(","), contents.revision)
    }

    fn watch(&self, _prefix: &str, after: &str, wait_ms: &str) -> String {
        let after: u64 = after.parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let mut contents = self.contents.lock().unwrap();
        while contents.revision <= after && Instant::now() < until {
            let left = until - Instant::now();
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
        let events: Vec<&str> = contents
            .events
            .iter()
            .filter(|(revision, _)| *revision > after)
            .map(|(_, text)| text.as_str())
            .collect();
        format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), contents.revision.max(after))
    }
}

fn item_text(key: &str, (value, revision): &(String, u64)) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"made\":{revision},\"lease\":0}}"
    )
}

/// A query's value: percent signs and plus signs decoded.
fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = others.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = others;
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .enumerate()
            .fold(0u32, |word, (place, byte)| word | u32::from(*byte) << (16 - 8 * place));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= chunk.len() { sign } else { '=' });
        }
    }
    text
}
