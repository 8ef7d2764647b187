//! Servers that send a status which no answer has, or a part of an answer.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use sablebay_http::{ConnectionPool, ExchangeFailure, json_request, states_end_of_body};

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

/// Guards against a body that was cut short and can't be told from a whole one.
#[test]
fn a_body_ends_where_its_head_says_or_with_its_connection() {
    for (lines, states_end) in [
        (&[][..], false),
        (&[("connection", "close")][..], false),
        (&[("transfer-encoding", "gzip")][..], false),
        (&[("transfer-encoding", "chunked, gzip")][..], false),
        (&[("transfer-encoding", "chunked"), ("transfer-encoding", "gzip")][..], false),
        (&[("transfer-encoding", "Chunked")][..], true),
        (&[("transfer-encoding", "gzip, chunked")][..], true),
        (&[("content-length", "0")][..], true),
    ] {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(*name, HeaderValue::from_static(value));
        }
        assert_eq!(states_end_of_body(&headers), states_end, "{lines:?}");
    }
}

/// Forms of an answer; none of them is whole without its last byte.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Other: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\nX-Other: 1\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n",
];

/// Guards against an answer that stops within its head and is taken for a whole one, with an empty body.
#[tokio::test]
async fn an_answer_that_stops_within_its_head_is_none() {
    for head in HEADS {
        for length in 0..head.len() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a listener");
            let pool = ConnectionPool::new(listener.local_addr().expect("its address"), 1);
            let server = tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await.expect("a request");
                stream.write_all(&head.as_bytes()[..length]).await.expect("a part of the head is sent");
            });
            let exchanged = pool.exchange(Method::POST, "/", Bytes::from_static(b"{}")).await;
            assert_eq!(exchanged, Err(ExchangeFailure::Broken), "{length} of {head}");
            server.await.expect("the connection is closed");
        }
    }
}
