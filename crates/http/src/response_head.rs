//! Whether the head of a response is one that a server of the protocol sends.
//!
//! The HTTP library accepts more than that: any status of three digits, transfer codings that it does not know, and a
//! length where no body may be. What follows such a head cannot be known to be the whole response.

use hyper::{
    StatusCode,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
    http::response,
};

/// Statuses of final responses.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Reason why a head is not that of a response in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidHead {
    /// The status is none of a final response.
    Status,
    /// The body has a transfer coding other than chunks.
    TransferCoding,
    /// A body is announced where the status allows none.
    UnexpectedBody,
    /// The body is encoded, although no encoding was asked for.
    ContentEncoding,
    /// A success lacks what shows that the server made it.
    Unsigned,
}

impl InvalidHead {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Status => "status",
            Self::TransferCoding => "transfer_coding",
            Self::UnexpectedBody => "unexpected_body",
            Self::ContentEncoding => "content_encoding",
            Self::Unsigned => "unsigned",
        }
    }
}

/// Checks status, framing and encoding of a response.
pub fn check_response_head(head: &response::Parts) -> Result<(), InvalidHead> {
    check(head.status, &head.headers)
}

pub(crate) fn check(status: StatusCode, headers: &HeaderMap) -> Result<(), InvalidHead> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(InvalidHead::Status);
    }
    let has_coding = headers.contains_key(TRANSFER_ENCODING);
    if status == StatusCode::NO_CONTENT && (has_coding || announces_bytes(headers)) {
        return Err(InvalidHead::UnexpectedBody);
    }
    if has_coding && !is_only_chunked(headers) {
        return Err(InvalidHead::TransferCoding);
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(InvalidHead::ContentEncoding);
    }
    Ok(())
}

fn announces_bytes(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH);
    length.is_some_and(|length| length.as_bytes() != b"0")
}

fn is_only_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = codings.next();
    let is_chunked = first.is_some_and(|coding| {
        coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked")
    });
    is_chunked && codings.next().is_none()
}
