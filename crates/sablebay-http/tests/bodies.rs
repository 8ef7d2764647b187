//! Bodies are read whole, and in bounded memory.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio_stream::iter;

use sablebay_http::{BodyFailure, read_body, read_body_within};

const LIMIT: usize = 60_000;

/// Reads a body that arrives in these pieces.
async fn read(
    pieces: &[Vec<u8>],
    mut has_room: impl FnMut(usize) -> bool + Send,
) -> Result<Bytes, BodyFailure> {
    let frames = pieces.iter().map(|piece| Ok::<_, Infallible>(Frame::data(Bytes::from(piece.clone()))));
    read_body_within(StreamBody::new(iter(frames.collect::<Vec<_>>())), LIMIT, &mut has_room).await
}

#[tokio::test]
async fn a_body_in_one_piece_is_read() {
    assert_eq!(read_body(Full::new(Bytes::from_static(b"whole")), 5).await.as_deref(), Ok(&b"whole"[..]));
    assert_eq!(read_body(Full::new(Bytes::from_static(b"whole")), 4).await, Err(BodyFailure::TooLong));
    assert_eq!(read_body(Full::new(Bytes::new()), 0).await.as_deref(), Ok(&b""[..]));
    let no_room = read_body_within(Full::new(Bytes::from_static(b"whole")), 5, |_| false).await;
    assert_eq!(no_room, Err(BodyFailure::NoRoom));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(61), cases: 300, failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_body_is_read_whole_or_not_at_all(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..5_000), 0..30),
        room in 0..100_000usize,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let whole = pieces.concat();
        let mut asked = 0;
        let body = runtime.block_on(read(&pieces, |bytes| {
            asked = asked.max(bytes);
            bytes <= room
        }));
        match body {
            Ok(body) => {
                prop_assert_eq!(&body[..], &whole[..]);
                prop_assert!(whole.len() <= asked && asked <= room || whole.is_empty());
            }
            Err(BodyFailure::TooLong) => prop_assert!(whole.len() > LIMIT),
            Err(BodyFailure::NoRoom) => prop_assert!(asked > room),
            Err(BodyFailure::Broken) => prop_assert!(false, "no piece is broken"),
        }
    }
}
