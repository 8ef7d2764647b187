//! Reads whole bodies in bounded memory.

use bytes::{Buf, Bytes};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Size of the first segment of a body that does not arrive in one piece. Most bodies need no further one.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Size of further segments. All of one size, because buffers that grow leave memory of many sizes behind.
const SEGMENT_BYTES: usize = 16 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyFailure {
    /// The body is malformed, or ended early.
    #[display("the body broke off")]
    Broken,
    #[display("the body is too long")]
    TooLong,
    /// The reader has no memory for the body.
    #[display("there is no room for the body")]
    NoRoom,
}

/// The memory that a body may take.
pub trait Room {
    /// Takes memory up to this size for the body. Returns `false` if there is none.
    fn grow_to(&mut self, bytes: usize) -> impl Future<Output = bool> + Send;
}

impl<F: FnMut(usize) -> bool + Send> Room for F {
    async fn grow_to(&mut self, bytes: usize) -> bool {
        self(bytes)
    }
}

/// A body that has arrived in part. The pieces are copied, because each piece that is kept takes far more than its bytes.
#[derive(Default)]
struct Segments {
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl Segments {
    /// Appends a piece. Takes `room` before a further segment is allocated.
    async fn append(&mut self, mut piece: Bytes, room: &mut impl Room) -> Result<(), BodyFailure> {
        while piece.has_remaining() {
            if self.length == self.capacity {
                let size = if self.capacity == 0 { FIRST_SEGMENT_BYTES } else { SEGMENT_BYTES };
                if !room.grow_to(self.capacity + size).await {
                    return Err(BodyFailure::NoRoom);
                }
                self.capacity += size;
                self.segments.push(Vec::with_capacity(size));
            }
            let fitting = piece.remaining().min(self.capacity - self.length);
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(&piece.split_to(fitting));
            }
            self.length += fitting;
        }
        Ok(())
    }

    fn into_bytes(mut self) -> Bytes {
        match self.segments.len() {
            0 | 1 => Bytes::from(self.segments.pop().unwrap_or_default()),
            _ => Bytes::from(self.segments.concat()),
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`BodyFailure`]
pub async fn read_body<B: Body<Data = Bytes> + Unpin>(body: B, limit: usize) -> Result<Bytes, BodyFailure> {
    read_body_within(body, limit, |_| true).await
}

/// Reads a whole body of at most `limit` bytes. Takes `room` before the body takes more memory.
///
/// # Errors
/// [`BodyFailure`]
pub async fn read_body_within<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    limit: usize,
    mut room: impl Room,
) -> Result<Bytes, BodyFailure> {
    let mut segments = Segments::default();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.map_err(|_| BodyFailure::Broken)?.into_data() else {
            continue;
        };
        if segments.length + piece.len() > limit {
            return Err(BodyFailure::TooLong);
        }
        if segments.length == 0 && body.is_end_stream() {
            return if room.grow_to(piece.len()).await { Ok(piece) } else { Err(BodyFailure::NoRoom) };
        }
        segments.append(piece, &mut room).await?;
    }
    Ok(segments.into_bytes())
}
