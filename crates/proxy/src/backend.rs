//! Wire protocol of replicas, implemented by an adapter.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, http::response};
use railtack_http::InvalidHead;
use railtack_serving::{BackendSignals, LimitError, LimitHeader, ReplicaRecord, RequestLimit};

use crate::request::ProxiedRequest;

/// A request to a replica, with everything added by the router.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The caller's request.
    pub request: &'a ProxiedRequest,
    /// The replica that is to run the request; no other may.
    pub replica: &'a ReplicaRecord,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Name of the tenant; `None` for an anonymous request.
    pub tenant: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Version of the weights that the replica must hold.
    pub expected_weights: Option<u64>,
    /// Namespace of cached prefixes.
    pub cache_namespace: Option<&'a str>,
    /// Address of a replica or store that probably caches the prefix, `ip:port`.
    pub fetch_from: Option<&'a str>,
    /// Address of the store to which the prompt is saved, `ip:port`.
    pub save_to: Option<&'a str>,
    /// Last event received by the caller; the response continues after it.
    pub last_event: Option<u64>,
}

/// Classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// Response to this request.
    Response,
    /// The replica did not run the request and never will.
    NotRun,
    /// The address belongs to another replica, or the replica holds other weights; the request did
    /// not run.
    WrongReplica,
    /// Response to another request.
    OtherRequest,
    /// No response in the protocol; the request may have run.
    Invalid(InvalidHead),
}

/// Parses the rate limit advertised by the header `name`. Repeated headers are invalid.
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

/// Protocol spoken by replicas.
pub trait BackendProtocol: Send + Sync {
    /// Encodes a dispatch as an HTTP request.
    fn encode(&self, dispatch: &Dispatch<'_>) -> Request<Full<Bytes>>;
    /// Classifies a response by its head.
    fn classify(&self, request: &ProxiedRequest, head: &response::Parts) -> ResponseClass;
    /// Returns the replica's signals in the head of a response.
    fn signals(&self, head: &response::Parts) -> BackendSignals;
    /// Returns the request to which the replica responds with its incarnation; `None` if it cannot tell, or has a new name
    /// each time it starts.
    fn incarnation_request(&self, replica: &ReplicaRecord) -> Option<Request<Full<Bytes>>>;
    /// Whether a response to such a request comes from this incarnation.
    fn is_incarnation(
        &self,
        replica: &ReplicaRecord,
        head: &response::Parts,
        content: &[u8],
    ) -> bool;
    /// Whether a response header is hop-by-hop and not forwarded.
    fn is_hop_by_hop(&self, name: &str) -> bool;
}
