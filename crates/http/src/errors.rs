//! Failures of HTTP exchanges, told apart by what they prove.

use std::net::SocketAddr;

use thiserror::Error;

/// Why a request body could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// It is larger than allowed.
    #[error("the body exceeds {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    Timeout,
    /// The connection broke.
    #[error("the connection broke while the body arrived")]
    ConnectionLost,
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection could be made; the request was not sent.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have been received.
    #[error("the request may have been received")]
    MaybeSent,
}

/// Why an exchange failed as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// Nothing listens there, or it did not answer.
    #[error("no answer from {address}")]
    NoAnswer {
        /// The address.
        address: SocketAddr,
    },
    /// The answer has another status than 200.
    #[error("{address} answered with status {status}")]
    Status {
        /// The address.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The answer is not of the expected shape.
    #[error("the answer of {address} is malformed")]
    Malformed {
        /// The address.
        address: SocketAddr,
    },
    /// A request could not be built from the given parts.
    #[error("the request is not valid HTTP")]
    InvalidRequest,
    /// A listener cannot be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
    },
}
