//! Bodies: whole ones, streams, and reading within limits.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt, channel::mpsc};
use http_body_util::{BodyDataStream, BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;
use tokio::time::timeout;
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

use crate::errors::ReceiveError;

/// The body type of every response. An error ends the connection, so that a body that breaks off
/// does not look whole.
pub type Body = BoxBody<Bytes, io::Error>;

/// Chunks that may wait for a slow reader before the writer waits too.
const STREAM_BUFFER: usize = 64;

/// The writing end of a streamed body.
pub type BodySender = mpsc::Sender<Bytes>;

/// An empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body that is known as a whole.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body that is written while it is sent; it ends when the sender is dropped.
pub fn streaming() -> (BodySender, Body) {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    let frames = receiver.map(|chunk| Ok::<_, io::Error>(Frame::data(chunk)));
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}

/// A JSON response.
pub fn json<T: Serialize>(status: u16, content: &T) -> Response<Body> {
    // Serializing our own types cannot fail: they have string keys only.
    let text = serde_json::to_vec(content).unwrap_or_default();
    with_content_type(status, "application/json", full(text))
}

/// A response of the given content type.
pub fn with_content_type(status: u16, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Longest line of a streamed body, bytes.
const LINE_LIMIT: usize = 16 * 1024 * 1024;

/// The lines of a body as they arrive. An error is a broken connection or an overlong line.
pub fn lines(body: Incoming) -> impl Stream<Item = Result<String, ReceiveError>> + Unpin {
    let chunks = BodyDataStream::new(body).map(|chunk| chunk.map_err(std::io::Error::other));
    let reader = StreamReader::new(chunks);
    FramedRead::new(reader, LinesCodec::new_with_max_length(LINE_LIMIT))
        .map(|line| line.map_err(|_| ReceiveError::ConnectionLost))
}

/// Reads a whole body within a size and a time.
pub async fn read_body<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, ReceiveError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = timeout(time, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_) => Err(ReceiveError::Timeout),
        Ok(Ok(content)) => Ok(content.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ReceiveError::TooLarge { limit })
        }
        Ok(Err(_)) => Err(ReceiveError::ConnectionLost),
    }
}
