//! The baseline of the `leaf-cost` experiment: raw frames over TCP, without routing or encoding.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::error::BenchError;
use crate::usage::process_cpu_time;

const CALL_BYTES: usize = 64;
const ANSWER_BYTES: usize = 256;
const CONNECTIONS: usize = 64;

/// Answers each frame with a frame that holds one answer for each call.
pub async fn serve_floor(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            // Fails with an unexpected end of file when the client closes the connection.
            let _ = answer_frames(stream).await;
        });
    }
}

async fn answer_frames(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut calls = Vec::new();
    loop {
        let bytes = stream.read_u32().await? as usize;
        calls.resize(bytes, 0);
        stream.read_exact(&mut calls).await?;
        let answers = bytes / CALL_BYTES * ANSWER_BYTES;
        let mut frame = Vec::with_capacity(answers + 4);
        frame.extend_from_slice(&(answers as u32).to_be_bytes());
        frame.resize(answers + 4, 0);
        stream.write_all(&frame).await?;
    }
}

/// Measures the CPU time of the calling side for each call, in microseconds.
pub async fn measure(server: SocketAddr, batch: usize, duration: Duration) -> Result<f64, BenchError> {
    let before = process_cpu_time();
    let started = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        workers.spawn(call_frames(server, batch, started, duration));
    }
    let mut calls = 0;
    for completed in workers.join_all().await {
        calls += completed?;
    }
    let cpu = process_cpu_time() - before;
    Ok(cpu.as_secs_f64() * 1e6 / calls as f64)
}

async fn call_frames(
    server: SocketAddr,
    batch: usize,
    started: Instant,
    duration: Duration,
) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(server).await?;
    stream.set_nodelay(true)?;
    let mut frame = Vec::with_capacity(batch * CALL_BYTES + 4);
    frame.extend_from_slice(&((batch * CALL_BYTES) as u32).to_be_bytes());
    frame.resize(batch * CALL_BYTES + 4, 0);
    let mut answers = vec![0; batch * ANSWER_BYTES];
    let mut calls = 0;
    while started.elapsed() < duration {
        stream.write_all(&frame).await?;
        let bytes = stream.read_u32().await? as usize;
        stream.read_exact(&mut answers[..bytes]).await?;
        calls += batch;
    }
    Ok(calls)
}
