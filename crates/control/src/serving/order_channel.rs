//! Transport of orders to back ends, implemented by an adapter.

use std::{future::Future, pin::Pin, time::Duration};

use railtack_serving::{ModelWeights, PendingOrder, ReplicaRecord};

/// An order with everything that the back end needs to check it.
#[derive(Clone, Debug)]
pub struct OrderRequest {
    /// The back-end replica.
    pub replica: ReplicaRecord,
    /// The weights to load.
    pub order: PendingOrder,
    /// Name of the machine that issues the order.
    pub issuer: String,
    /// Fencing token of the issuer.
    pub token: u64,
    /// Number of accepted orders in the back end's last report.
    pub expected_sequence: u64,
}

/// Reply of a back end to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The back end is executing the order.
    Taken,
    /// The back end already holds the ordered weights.
    Held,
    /// Another order is in progress, or the sequence number differs.
    Conflict,
    /// The back end has seen a higher fencing token.
    Fenced,
    /// The back end refused for another reason, or is another replica.
    Refused,
    /// The back end refused and requested a back-off of this duration from this machine.
    BackOff(Duration),
    /// No reply; the order may still be executed.
    Unknown,
}

/// Error of a request for a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// The back end refused and requested a back-off of this duration from this machine.
    BackOff(Duration),
    /// No valid reply.
    NoReply,
}

/// Report of a back end about its weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsReport {
    /// Weights that it holds.
    pub weights: Vec<ModelWeights>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Requests queued at the back end, which it would reject when it executes an order.
    pub queued_requests: u64,
}

/// Future returned by the methods of [`OrderChannel`].
pub type ChannelFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Transport of orders to back ends, implemented by an adapter.
pub trait OrderChannel: Send + Sync {
    /// Requests a back end's report.
    fn report<'a>(
        &'a self,
        replica: &'a ReplicaRecord,
    ) -> ChannelFuture<'a, Result<WeightsReport, ReportError>>;
    /// Sends an order.
    fn order(&self, request: OrderRequest) -> ChannelFuture<'_, OrderReply>;
}
