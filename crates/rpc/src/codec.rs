//! Codec that encodes tarpc messages with `speedy`, each in a length-delimited frame.
//!
//! The message types of tarpc only support `serde`, so their fields are copied into the frame types
//! of this module.

use std::{
    io,
    marker::PhantomData,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use speedy::{LittleEndian, Readable, Writable};
use tarpc::{ClientMessage, Request, Response, ServerError, context};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame, bytes. The largest message is a snapshot of the control state.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time to the deadline of a request.
const MAX_REMAINING: Duration = Duration::from_secs(3600);

/// Error in reading or writing a frame.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The connection failed, or a frame exceeds the maximum size.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The content of a frame is not a message of the expected type.
    #[error("a frame is malformed: {0}")]
    Malformed(#[from] speedy::Error),
}

#[derive(Readable, Writable)]
enum ClientFrame<T> {
    Request {
        id: u64,
        remaining_us: u64,
        message: T,
    },
    Cancel {
        id: u64,
    },
}

#[derive(Readable, Writable)]
struct ServerFrame<T> {
    id: u64,
    message: Result<T, String>,
}

fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Codec of the client, which sends requests and receives responses.
pub struct ClientCodec<Req, Resp> {
    frames: LengthDelimitedCodec,
    types: PhantomData<fn(Req) -> Resp>,
}

/// Codec of the server, which receives requests and sends responses.
pub struct ServerCodec<Req, Resp> {
    frames: LengthDelimitedCodec,
    types: PhantomData<fn(Req) -> Resp>,
}

impl<Req, Resp> Default for ClientCodec<Req, Resp> {
    fn default() -> Self {
        Self {
            frames: frames(),
            types: PhantomData,
        }
    }
}

impl<Req, Resp> Default for ServerCodec<Req, Resp> {
    fn default() -> Self {
        Self {
            frames: frames(),
            types: PhantomData,
        }
    }
}

impl<Req, Resp> Encoder<ClientMessage<Req>> for ClientCodec<Req, Resp>
where
    Req: Writable<LittleEndian>,
{
    type Error = CodecError;

    fn encode(
        &mut self,
        message: ClientMessage<Req>,
        buffer: &mut BytesMut,
    ) -> Result<(), CodecError> {
        let frame = match message {
            ClientMessage::Request(request) => ClientFrame::Request {
                id: request.id,
                remaining_us: remaining_us(request.context.deadline),
                message: request.message,
            },
            ClientMessage::Cancel { request_id, .. } => ClientFrame::Cancel { id: request_id },
            // `ClientMessage` is non-exhaustive. This version of tarpc sends no other message.
            _ => return Ok(()),
        };
        write_frame(&mut self.frames, &frame, buffer)
    }
}

impl<Req, Resp> Decoder for ClientCodec<Req, Resp>
where
    Resp: for<'a> Readable<'a, LittleEndian>,
{
    type Item = Response<Resp>;
    type Error = CodecError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        let Some(bytes) = self.frames.decode(buffer)? else {
            return Ok(None);
        };
        let frame = ServerFrame::<Resp>::read_from_buffer(&bytes).inspect_err(|error| {
            log_undecodable("answer", &bytes, error);
        })?;
        let message = frame
            .message
            .map_err(|detail| ServerError::new(io::ErrorKind::Other, detail));
        Ok(Some(Response {
            request_id: frame.id,
            message,
        }))
    }
}

impl<Req, Resp> Encoder<Response<Resp>> for ServerCodec<Req, Resp>
where
    Resp: Writable<LittleEndian>,
{
    type Error = CodecError;

    fn encode(
        &mut self,
        response: Response<Resp>,
        buffer: &mut BytesMut,
    ) -> Result<(), CodecError> {
        let frame = ServerFrame {
            id: response.request_id,
            message: response.message.map_err(|error| error.detail),
        };
        write_frame(&mut self.frames, &frame, buffer)
    }
}

impl<Req, Resp> Decoder for ServerCodec<Req, Resp>
where
    Req: for<'a> Readable<'a, LittleEndian>,
{
    type Item = ClientMessage<Req>;
    type Error = CodecError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        let Some(bytes) = self.frames.decode(buffer)? else {
            return Ok(None);
        };
        let frame = ClientFrame::<Req>::read_from_buffer(&bytes).inspect_err(|error| {
            log_undecodable("request", &bytes, error);
        })?;
        let message = match frame {
            ClientFrame::Request {
                id,
                remaining_us,
                message,
            } => {
                let mut context = context::current();
                context.deadline = deadline(remaining_us);
                ClientMessage::Request(Request {
                    context,
                    id,
                    message,
                })
            }
            ClientFrame::Cancel { id } => ClientMessage::Cancel {
                trace_context: tarpc::trace::Context::default(),
                request_id: id,
            },
        };
        Ok(Some(message))
    }
}

/// Logs a message that cannot be decoded. The connection is then closed, so this occurs at most once per
/// connection.
fn log_undecodable(message: &'static str, bytes: &[u8], error: &speedy::Error) {
    spdlog::warn!("cannot decode message; the peer may run another build", kv: {
        message,
        bytes = bytes.len(),
        cause = error.to_string(),
    });
}

fn write_frame<T: Writable<LittleEndian>>(
    frames: &mut LengthDelimitedCodec,
    frame: &T,
    buffer: &mut BytesMut,
) -> Result<(), CodecError> {
    let bytes = frame.write_to_vec()?;
    frames.encode(Bytes::from(bytes), buffer)?;
    Ok(())
}

fn remaining_us(deadline: Instant) -> u64 {
    let remaining = deadline.saturating_duration_since(Instant::now());
    remaining.min(MAX_REMAINING).as_micros() as u64
}

fn deadline(remaining_us: u64) -> Instant {
    Instant::now() + Duration::from_micros(remaining_us).min(MAX_REMAINING)
}
