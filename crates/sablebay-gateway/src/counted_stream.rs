//! A TCP stream to a replica that counts its bytes by the kind of the current call.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use sablebay_node::{TrafficKind, TrafficLedger, TrafficSpan};

/// Traffic counters of one connection.
#[derive(Debug)]
pub struct CallTraffic {
    ledger: TrafficLedger,
    span: TrafficSpan,
    /// Whether the current call is a hedge or a retry.
    extra: AtomicBool,
}

impl CallTraffic {
    /// Counts the traffic of a connection over `span`.
    pub fn new(ledger: TrafficLedger, span: TrafficSpan) -> Self {
        Self { ledger, span, extra: AtomicBool::new(false) }
    }

    /// Marks the start of a call, which is a hedge or a retry if `extra` is set.
    pub fn begin(&self, extra: bool) {
        self.extra.store(extra, Ordering::Relaxed);
    }

    fn kind(&self) -> TrafficKind {
        if self.extra.load(Ordering::Relaxed) { TrafficKind::ExtraCall } else { TrafficKind::FirstCall }
    }
}

/// A TCP stream that counts its bytes.
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<CallTraffic>,
}

impl CountedStream {
    pub fn new(stream: TcpStream, traffic: Arc<CallTraffic>) -> Self {
        Self { stream, traffic }
    }

    fn count_sent(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.traffic.ledger.sent(self.traffic.kind(), self.traffic.span, *bytes as u64);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(task, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.traffic.ledger.received(self.traffic.kind(), self.traffic.span, bytes as u64);
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, task: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(task, bytes);
        self.count_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(task, slices);
        self.count_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(task)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(task)
    }
}
