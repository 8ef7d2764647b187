//! The handshake of a connection: nonces, then greetings authenticated with the fleet's key.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use sablebay_fleet::MemberInfo;
use sablebay_protocol::peer::{Greeting, PeerMessage};
use sablebay_protocol::{ChannelKey, FrameReader, Nonce, ProtocolError, encode_frame};

use super::PeerContext;
use crate::socket::prepare_socket;
use crate::traffic::{TrafficKind, TrafficSpan};

/// How long the whole handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Initial capacity of a read buffer. Most frames are small, and a node has connections to most other nodes.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// An empty buffer with a larger capacity is released.
const MAXIMUM_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// Releases the memory that a large frame required.
fn shrink(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAXIMUM_IDLE_BUFFER_BYTES {
        *buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    }
}

pub struct MessageReader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    frames: FrameReader,
    /// Whether the peer is in this node's zone; `None` before its greeting.
    span: Option<TrafficSpan>,
}

impl MessageReader {
    /// The next message; `None` when the connection was closed, failed, or sent an invalid frame.
    pub async fn next(&mut self, context: &PeerContext) -> Option<PeerMessage> {
        loop {
            let held = self.buffer.len();
            match self.frames.next::<PeerMessage>(&mut self.buffer) {
                Ok(Some(message)) => {
                    self.count(context, &message, held - self.buffer.len());
                    return Some(message);
                }
                Ok(None) => shrink(&mut self.buffer),
                Err(error) => {
                    count_bad_frame(context, &error);
                    return None;
                }
            }
            let read = self.half.read_buf(&mut self.buffer).await.ok()?;
            if read == 0 {
                return None;
            }
        }
    }

    fn count(&self, context: &PeerContext, message: &PeerMessage, bytes: usize) {
        if let Some(span) = self.span {
            context.traffic.received(TrafficKind::of(message), span, bytes as u64);
        }
    }
}

fn count_bad_frame(context: &PeerContext, error: &ProtocolError) {
    let counter = match error {
        ProtocolError::WrongProof => &context.counters.wrong_proof,
        _ => &context.counters.malformed,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    log::warn!("peer: closed a connection: {error}.");
}

pub struct MessageWriter {
    half: OwnedWriteHalf,
    key: ChannelKey,
    buffer: BytesMut,
}

impl MessageWriter {
    /// Encodes a message into the buffer; returns the length of its frame in bytes.
    pub fn put(&mut self, message: &PeerMessage) -> Result<usize, ProtocolError> {
        let before = self.buffer.len();
        encode_frame(message, &mut self.key, &mut self.buffer)?;
        Ok(self.buffer.len() - before)
    }

    pub async fn flush(&mut self) -> std::io::Result<()> {
        self.half.write_all(&self.buffer).await?;
        self.buffer.clear();
        shrink(&mut self.buffer);
        Ok(())
    }
}

/// Exchanges nonces and greetings. `None` when the peer is not authenticated, belongs to another fleet, or does not
/// answer within `HANDSHAKE_TIMEOUT`.
pub async fn handshake(
    context: &PeerContext,
    stream: TcpStream,
) -> Option<(MemberInfo, MessageReader, MessageWriter)> {
    let exchange = handshake_within_limit(context, stream);
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await.ok()?
}

async fn handshake_within_limit(
    context: &PeerContext,
    mut stream: TcpStream,
) -> Option<(MemberInfo, MessageReader, MessageWriter)> {
    prepare_socket(&stream);
    let own_nonce: Nonce = rand::rng().random();
    stream.write_all(&own_nonce).await.ok()?;
    let mut other_nonce: Nonce = [0; 16];
    stream.read_exact(&mut other_nonce).await.ok()?;
    let (read_half, write_half) = stream.into_split();
    let incoming = ChannelKey::new(&context.fleet, &context.secret, &other_nonce, &own_nonce);
    let outgoing = ChannelKey::new(&context.fleet, &context.secret, &own_nonce, &other_nonce);
    let mut writer = MessageWriter { half: write_half, key: outgoing, buffer: BytesMut::new() };
    let greeting = PeerMessage::Greeting(Greeting { info: context.info.clone() });
    let sent_bytes = own_nonce.len() + writer.put(&greeting).ok()?;
    writer.flush().await.ok()?;
    let mut reader = MessageReader {
        half: read_half,
        buffer: BytesMut::with_capacity(READ_BUFFER_BYTES),
        frames: FrameReader::new(incoming),
        span: None,
    };
    match reader.next(context).await? {
        PeerMessage::Greeting(greeting) => {
            let span = TrafficSpan::between(&context.info.zone, &greeting.info.zone);
            // Both greetings have about the same length, so the sent bytes approximate the received ones.
            context.traffic.sent(TrafficKind::Greeting, span, sent_bytes as u64);
            context.traffic.received(TrafficKind::Greeting, span, sent_bytes as u64);
            reader.span = Some(span);
            Some((greeting.info, reader, writer))
        }
        _ => None,
    }
}
