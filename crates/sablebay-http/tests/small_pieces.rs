//! Bodies in small pieces take memory in proportion to their size. Alone in its file, since it looks at the memory of its
//! process.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use sablebay_http::ConnectionPool;

/// Requests at the same time.
const REQUESTS: usize = 16;
/// Memory that a small node may have, in kB.
const NODE_MEMORY_KB: u64 = 160_000;

/// Answers every request with chunks of one byte each, until the client closes.
async fn serve(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(async move {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
            let chunks = b"1\r\nx\r\n".repeat(4_096);
            while sent.is_ok() {
                sent = stream.write_all(&chunks).await;
            }
        });
    }
}

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number of kB")
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_in_small_pieces_take_no_more_memory_than_their_bytes() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let server = tokio::spawn(serve(listener));
    let requests = (0..REQUESTS)
        .map(|_| tokio::spawn(async move { ConnectionPool::new(address, 1).post("/", Bytes::new()).await }));
    for request in requests.collect::<Vec<_>>() {
        assert_eq!(request.await.expect("the request ends"), None);
    }
    server.abort();
    let peak_kb = peak_memory_kb();
    assert!(peak_kb < NODE_MEMORY_KB, "{peak_kb} kB");
}
