//! Writes log lines from a dedicated thread, so that logging never blocks on the output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::{Encode, writer::simple::SimpleWriter};

use sablebay_config::LogTarget;

/// Maximum number of queued lines; further lines are dropped and counted.
const QUEUE_LENGTH: usize = 2_048;
/// How long a flush waits for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// An item of the writer thread's queue.
#[derive(Debug)]
enum Item {
    /// An encoded log line.
    Line(Vec<u8>),
    /// Requests a signal once all earlier items are written.
    Flush(SyncSender<()>),
}

/// An appender that queues lines for a writer thread.
#[derive(Debug)]
pub struct QueuedAppender {
    encoder: Box<dyn Encode>,
    lines: SyncSender<Item>,
    lost: Arc<AtomicU64>,
}

impl QueuedAppender {
    /// Starts the writer thread.
    pub fn start(target: LogTarget, encoder: Box<dyn Encode>) -> Self {
        let (lines, waiting) = sync_channel(QUEUE_LENGTH);
        let lost = Arc::new(AtomicU64::new(0));
        let counted = lost.clone();
        let writer = std::thread::Builder::new().name("log".to_string());
        // If the thread cannot be started, the channel is closed and all lines count as lost.
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
            // A slow output must not delay the caller beyond the timeout.
            let _ = waiting.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(target: LogTarget, items: &Receiver<Item>, lost: &AtomicU64) {
    while let Ok(first) = items.recv() {
        let mut text = Vec::new();
        let mut flushed = Vec::new();
        // All items already queued are written together.
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
            // The caller's flush may have timed out.
            let _ = waiting.try_send(());
        }
    }
}
