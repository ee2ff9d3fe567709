//! How dispatches and answers look on the wire; an adapter implements it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, http::response};
use railtack_serving::{BackEndSignals, LimitError, LimitHeader, ReplicaRecord, RequestLimit};

use crate::request::ProxiedRequest;

/// Everything that a replica is told besides the caller's own request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The caller's request.
    pub request: &'a ProxiedRequest,
    /// The replica that is to run it; no other may.
    pub replica: &'a ReplicaRecord,
    /// Time left.
    pub time_left: Duration,
    /// The tenant, if keys are asked for.
    pub tenant: Option<&'a str>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Weights that the replica must hold to run it.
    pub expected_weights: Option<u64>,
    /// Namespace of cached prompt memory.
    pub cache_namespace: Option<&'a str>,
    /// `ip:port` of a replica or store that is likely to keep the beginning of the prompt.
    pub fetch_from: Option<&'a str>,
    /// `ip:port` of the store that is to keep what the replica reads.
    pub save_to: Option<&'a str>,
    /// Last event that the caller has; the answer goes on behind it.
    pub last_event: Option<u64>,
}

/// What the head of an answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The replica answers this request.
    Response,
    /// The replica did not run the request and never will.
    NotRun,
    /// The address belongs to another replica, or it holds other weights; it did not run.
    WrongReplica,
    /// The answer belongs to another request.
    OtherRequest,
}

/// What the headers of an answer say of a limit on requests, under this name.
pub fn parse_limit_header(headers: &HeaderMap, name: &str) -> LimitHeader {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return LimitHeader::Absent;
    };
    if values.next().is_some() {
        return LimitHeader::Invalid(LimitError::Repeated);
    }
    match RequestLimit::parse(value.as_bytes()) {
        Ok(limit) => LimitHeader::Present(limit),
        Err(error) => LimitHeader::Invalid(error),
    }
}

/// The language of back ends.
pub trait BackendProtocol: Send + Sync {
    /// The request to send.
    fn encode(&self, dispatch: &Dispatch<'_>) -> Request<Full<Bytes>>;
    /// What the head of an answer proves.
    fn classify(&self, request: &ProxiedRequest, head: &response::Parts) -> ResponseClass;
    /// What the head of an answer says of the replica itself.
    fn signals(&self, head: &response::Parts) -> BackEndSignals;
    /// Whether a header of an answer concerns only one connection and is not passed on.
    fn is_hop_by_hop(&self, name: &str) -> bool;
}
