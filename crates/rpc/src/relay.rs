//! Messages with which a router asks another router for a connection to a back-end replica.
//!
//! Both are sent once, at the beginning of a connection. After [`RelayReply::Connected`] the connection carries
//! the bytes between the requesting router and the replica.

use speedy::{LittleEndian, Readable, Writable};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::codec::CodecError;

/// Maximum size of a message, bytes.
const MAX_MESSAGE_BYTES: u32 = 4 * 1024;

/// A router that opens connections to replicas for other routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct RelayOffer {
    /// Name of the router.
    pub router: String,
    /// Address at which it accepts [`RelayRequest`]s.
    pub address: String,
}

/// Sent by a router whose peers opened none of the connections that it lacked: it is told of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RelaySearch {
    /// Random number that decides which other routers it is told of; a new one with each request.
    pub seed: u64,
}

/// Request for a connection to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RelayRequest {
    /// Name of the requesting router.
    pub router: String,
    /// Incarnation id of the replica.
    pub replica: String,
    /// Id of the request for which the connection is opened, for logs.
    pub request: String,
    /// Time after the reply within which the first byte may be passed on, milliseconds. The requesting router
    /// checked its lease right before it sent that byte, and the relay may have been suspended since.
    pub valid_ms: u32,
}

/// Reply to a [`RelayRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RelayReply {
    /// The connection to the replica is established.
    Connected,
    /// There is no connection; nothing was sent to the replica.
    Refused(RelayRefusal),
}

/// Reason why a router does not relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RelayRefusal {
    /// The replica is not known here.
    UnknownReplica,
    /// The replica cannot be reached from here.
    Unreachable,
    /// The replica's port refuses connections.
    PortClosed,
    /// The maximum number of connections is relayed.
    Busy,
    /// This router is shutting down, its configuration is not confirmed, or it reaches no replica of the
    /// service.
    NotServing,
}

/// Reads one message.
pub async fn read_message<T, S>(stream: &mut S) -> Result<T, CodecError>
where
    T: for<'a> Readable<'a, LittleEndian>,
    S: AsyncRead + Unpin,
{
    let length = stream.read_u32_le().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(std::io::Error::from(std::io::ErrorKind::InvalidData).into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(T::read_from_buffer(&bytes)?)
}

/// Writes one message.
pub async fn write_message<T, S>(stream: &mut S, message: &T) -> Result<(), CodecError>
where
    T: Writable<LittleEndian>,
    S: AsyncWrite + Unpin,
{
    let content = message.write_to_vec()?;
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    let mut frame = length.to_le_bytes().to_vec();
    frame.extend_from_slice(&content);
    stream.write_all(&frame).await?;
    Ok(())
}
