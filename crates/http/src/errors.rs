//! Errors of HTTP exchanges, distinguished by whether the request may have been received.

use std::net::SocketAddr;

use thiserror::Error;

/// Error of receiving a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The body is larger than allowed.
    #[error("the body exceeds {limit} bytes")]
    TooLarge {
        /// Maximum size, bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    Timeout,
    /// The connection broke.
    #[error("the connection broke while the body arrived")]
    ConnectionLost,
    /// There is no memory for the body.
    #[error("there is no room for the body")]
    NoRoom,
    /// The body stalled, and its memory was needed for another one.
    #[error("the body stalled and gave way to another one")]
    Displaced,
}

impl ReceiveError {
    /// Returns the name of the error for logs and metrics.
    pub fn cause(self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too_large",
            Self::Timeout => "timeout",
            Self::ConnectionLost => "connection_lost",
            Self::NoRoom => "no_room",
            Self::Displaced => "displaced",
        }
    }
}

/// Error of sending a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// The connection failed; the request was certainly not sent.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have been received.
    #[error("the request may have been received")]
    MaybeSent,
}

/// Error of a complete exchange, or of opening a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The server cannot be reached or did not respond in time.
    #[error("no response from {address}")]
    NoResponse {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The response has a status other than 200.
    #[error("{address} responded with status {status}")]
    Status {
        /// Address of the server.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
    },
    /// The response cannot be parsed.
    #[error("malformed response from {address}")]
    Malformed {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The request cannot be built from the given parts.
    #[error("the request is not valid HTTP")]
    InvalidRequest,
    /// A listener cannot be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// Listen address.
        address: SocketAddr,
    },
}
