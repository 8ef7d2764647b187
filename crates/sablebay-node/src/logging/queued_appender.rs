//! Writes log lines from a thread of its own: whoever logs never waits for the output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::{Encode, writer::simple::SimpleWriter};

use sablebay_config::LogTarget;

/// Lines that wait at the most; more are left out and counted.
const QUEUE_LENGTH: usize = 2_048;
/// How long a flush waits for the thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// What the thread is handed.
#[derive(Debug)]
enum Item {
    /// A line to be written.
    Line(Vec<u8>),
    /// Say so when everything before this was written.
    Flush(SyncSender<()>),
}

/// Hands lines to a thread that writes them.
#[derive(Debug)]
pub struct QueuedAppender {
    encoder: Box<dyn Encode>,
    lines: SyncSender<Item>,
    lost: Arc<AtomicU64>,
}

impl QueuedAppender {
    /// Starts the thread.
    pub fn start(target: LogTarget, encoder: Box<dyn Encode>) -> Self {
        let (lines, waiting) = sync_channel(QUEUE_LENGTH);
        let lost = Arc::new(AtomicU64::new(0));
        let counted = lost.clone();
        let writer = std::thread::Builder::new().name("log".to_string());
        // Without the thread the channel is closed, and every line counts as lost.
        let _ = writer.spawn(move || write_lines(target, &waiting, &counted));
        Self { encoder, lines, lost }
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(Item::Line(line.0)).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (written, waiting) = sync_channel(1);
        if self.lines.try_send(Item::Flush(written)).is_ok() {
            // Whoever stops does not wait for a slow output.
            let _ = waiting.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(target: LogTarget, items: &Receiver<Item>, lost: &AtomicU64) {
    while let Ok(first) = items.recv() {
        let mut text = Vec::new();
        let mut flushed = Vec::new();
        // Whatever waits already is written with it.
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                Item::Line(line) => text.extend_from_slice(&line),
                Item::Flush(written) => flushed.push(written),
            }
        }
        let missed = lost.swap(0, Ordering::Relaxed);
        if missed > 0 {
            let line = format!("{{\"message\":\"log: lines were lost.\",\"lost\":{missed}}}\n");
            text.extend_from_slice(line.as_bytes());
        }
        let written = match target {
            LogTarget::Stdout => std::io::stdout().write_all(&text),
            LogTarget::Stderr => std::io::stderr().write_all(&text),
        };
        if written.is_err() {
            lost.fetch_add(1, Ordering::Relaxed);
        }
        for waiting in flushed {
            // Whoever asked may have given up.
            let _ = waiting.try_send(());
        }
    }
}
