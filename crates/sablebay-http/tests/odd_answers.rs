//! Servers that send a status which no answer has.

use bytes::Bytes;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use sablebay_http::{ConnectionPool, ExchangeFailure, json_request};

/// What a pool reports of a server that answers every request with these bytes.
async fn status_of(answer: &'static str) -> Result<u16, ExchangeFailure> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a listener");
    let pool = ConnectionPool::new(listener.local_addr().expect("its address"), 1);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await.expect("a request");
        stream.write_all(answer.as_bytes()).await.expect("the answer is sent");
        // Until the client closes.
        while stream.read(&mut request).await.is_ok_and(|bytes| bytes > 0) {}
    });
    let mut lease = pool.connect(pool.permit().await).await.expect("a connection");
    let sent = pool.send(&mut lease, json_request(Method::GET, "/", Bytes::new())).await;
    let status = sent.map(|response| response.status().as_u16());
    drop(lease);
    server.await.expect("the connection is closed");
    status
}

#[tokio::test]
async fn a_status_that_no_answer_has_is_none() {
    for answer in [
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "HTTP/1.1 600 Beyond\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 Last\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2 0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX\u{1}Odd: 1\r\nContent-Length: 0\r\n\r\n",
    ] {
        assert_eq!(status_of(answer).await, Err(ExchangeFailure::Broken), "{answer}");
    }
}

#[tokio::test]
async fn the_statuses_of_answers_are_passed_on() {
    for (answer, status) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200),
        ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 599 Last\r\nContent-Length: 0\r\n\r\n", 599),
    ] {
        assert_eq!(status_of(answer).await, Ok(status), "{answer}");
    }
}
