//! HTTP bodies: complete and streamed bodies, and reading with limits.

use std::{io, pin::pin, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt, channel::mpsc};
use http_body_util::{BodyDataStream, BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;
use tokio::time::timeout;
use tokio_util::{
    codec::{FramedRead, LinesCodec, LinesCodecError},
    io::StreamReader,
};

use crate::{body_buffer::BodyBuffer, errors::ReceiveError};

/// Body type of all responses. A body error aborts the connection, so that the peer does not mistake
/// a truncated body for a complete one.
pub type Body = BoxBody<Bytes, io::Error>;

/// Chunks buffered for a slow reader before the writer is blocked.
const STREAM_BUFFER: usize = 64;

/// Sender of a streamed body's chunks.
pub type BodySender = mpsc::Sender<Bytes>;

/// Returns an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Returns a body with the given content.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a streamed body and its sender. The body ends when the sender is dropped.
pub fn streaming() -> (BodySender, Body) {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    let frames = receiver.map(|chunk| Ok::<_, io::Error>(Frame::data(chunk)));
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}

/// Returns a JSON response.
pub fn json<T: Serialize>(status: u16, content: &T) -> Response<Body> {
    // Serialization cannot fail, because all maps of the serialized types have string keys.
    let text = serde_json::to_vec(content).unwrap_or_default();
    with_content_type(status, "application/json", full(text))
}

/// Returns a response with the given status, content type and body.
pub fn with_content_type(status: u16, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns the lines of a body as a stream. Fails if the connection breaks or a line is longer than `max_bytes`.
pub fn lines(
    body: Incoming,
    max_bytes: usize,
) -> impl Stream<Item = Result<String, ReceiveError>> + Unpin {
    let chunks = BodyDataStream::new(body).map(|chunk| chunk.map_err(std::io::Error::other));
    let reader = StreamReader::new(chunks);
    FramedRead::new(reader, LinesCodec::new_with_max_length(max_bytes)).map(move |line| {
        line.map_err(|error| match error {
            LinesCodecError::MaxLineLengthExceeded => ReceiveError::TooLarge { limit: max_bytes },
            LinesCodecError::Io(_) => ReceiveError::ConnectionLost,
        })
    })
}

/// Reads a complete body of at most `limit` bytes, within `time_limit`. It is not counted in any budget.
pub async fn read_body<B>(
    body: B,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, ReceiveError>
where
    B: hyper::body::Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut buffer = BodyBuffer::new(limit);
    timeout(time_limit, buffer.fill(&mut body, limit, |_| Ok(())))
        .await
        .map_err(|_| ReceiveError::Timeout)??;
    Ok(buffer.into_bytes())
}
