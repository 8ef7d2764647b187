//! Clients that send raw bytes, many at a time.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::support::{EVENT_TIMEOUT, HOST};

/// The deadline that every client states, in milliseconds. Longer than any test.
const DEADLINE_MS: u64 = 600_000;
/// How long a connection of a crowd may take to come up. A client without one is no part of the crowd.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The receive buffer of a client that reads slowly.
const SMALL_BUFFER_BYTES: u32 = 4 * 1024;

/// How a client frames the body of its request.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// A length, and the bytes of the body.
    Length,
    /// Chunks of this size.
    Chunks(usize),
}

/// The body that each client of a crowd sends.
#[derive(Clone, Copy, Debug)]
pub struct CrowdBody {
    /// Stated length, or that of all chunks.
    pub bytes: usize,
    pub framing: Framing,
    /// Sent at once, before the next piece.
    pub piece_bytes: usize,
    /// Whether the last byte of the request is sent.
    pub is_whole: bool,
}

impl CrowdBody {
    /// The bytes of a request to this path.
    pub fn request(&self, path: &str, id: &str) -> Vec<u8> {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.bytes),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".to_string(),
        };
        let mut request = head("POST", path, id, &[&framing]).into_bytes();
        match self.framing {
            Framing::Length => request.resize(request.len() + self.bytes, b'x'),
            Framing::Chunks(chunk_bytes) => {
                let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
                request.extend(chunk.repeat(self.bytes / chunk_bytes).into_bytes());
                request.extend(b"0\r\n\r\n");
            }
        }
        if !self.is_whole {
            request.pop();
        }
        request
    }
}

/// The head of a request, with further lines.
pub fn head(method: &str, path: &str, id: &str, lines: &[&str]) -> String {
    let lines: String = lines.iter().map(|line| format!("{line}\r\n")).collect();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Sablebay-Request-Id: {id}\r\n\
         X-Sablebay-Deadline-Ms: {DEADLINE_MS}\r\n{lines}\r\n"
    )
}

/// Connects, unless the node takes no connection.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    connect_socket(TcpSocket::new_v4()?, address).await
}

/// Connects with a small receive buffer, which keeps the rest of an answer at its sender.
pub async fn connect_with_small_buffer(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
    connect_socket(socket, address).await
}

async fn connect_socket(socket: TcpSocket, address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address));
    let stream = connecting.await.map_err(std::io::Error::other)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request in pieces. Ends early when the node closes the connection, which it may.
pub async fn send_in_pieces(stream: &mut TcpStream, request: &[u8], piece_bytes: usize) {
    /// Lets the node read each piece on its own.
    const PAUSE: Duration = Duration::from_millis(1);
    let pieces = request.len().div_ceil(piece_bytes);
    for piece in request.chunks(piece_bytes) {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        if pieces > 1 {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Waits for bytes, and drops up to this many. Returns how many there were, none at the end of the stream.
pub async fn read_up_to(stream: &mut TcpStream, bytes: usize) -> usize {
    let mut buffer = vec![0; bytes];
    // The node may close the connection at any time.
    stream.read(&mut buffer).await.unwrap_or(0)
}

/// A crowd whose clients keep their connections open until it is dropped.
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

/// Runs this many clients at once, and waits until each of them has stopped.
pub async fn gather_crowd<F>(count: usize, client: impl Fn(usize) -> F) -> Crowd
where
    F: Future<Output = std::io::Result<TcpStream>> + Send + 'static,
{
    let clients: Vec<_> = (0..count).map(|number| tokio::spawn(client(number))).collect();
    let mut streams = Vec::with_capacity(count);
    for client in clients {
        let stopped = tokio::time::timeout(EVENT_TIMEOUT, client).await.expect("the client stops");
        // A client that cannot connect, or whose connection is closed, is no part of the crowd.
        streams.extend(stopped.expect("the client does not panic").ok());
    }
    Crowd { _streams: streams }
}

/// A crowd that sends the same body.
pub async fn send_bodies(address: SocketAddr, count: usize, path: &'static str, body: CrowdBody) -> Crowd {
    gather_crowd(count, |number| async move {
        let mut stream = connect(address).await?;
        let request = body.request(path, &format!("crowd-{number}"));
        send_in_pieces(&mut stream, &request, body.piece_bytes).await;
        Ok(stream)
    })
    .await
}
