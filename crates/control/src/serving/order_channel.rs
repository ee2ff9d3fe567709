//! How orders reach back ends; an adapter implements it.

use std::{future::Future, pin::Pin, time::Duration};

use railtack_serving::{ModelWeights, PendingOrder, ReplicaRecord};

/// An order with everything that the back end needs to judge it.
#[derive(Clone, Debug)]
pub struct OrderRequest {
    /// The back-end replica.
    pub replica: ReplicaRecord,
    /// The weights to load.
    pub order: PendingOrder,
    /// Names the control replica that gives it.
    pub issuer: String,
    /// Its fencing token.
    pub token: u64,
    /// Orders that the back end had taken when it was last asked.
    pub expected_sequence: u64,
}

/// What a back end answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is carrying the order out.
    Taken,
    /// It already holds what was ordered.
    Held,
    /// Another order is under way, or its count of orders differs.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// It refused for another reason, or is another replica.
    Refused,
    /// It turned the order away, and wants nothing from this machine for so long.
    BackOff(Duration),
    /// No answer; the order may be carried out.
    Unknown,
}

/// Why a back end gave no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// It turned the question away, and wants nothing from this machine for so long.
    BackOff(Duration),
    /// No answer that could be read.
    NoReply,
}

/// What a back end says of its weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsReport {
    /// Weights that it holds.
    pub weights: Vec<ModelWeights>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders that it has taken.
    pub sequence: u64,
    /// Requests that wait there and would be declined by an order.
    pub queued_requests: u64,
}

/// A future that an adapter returns.
pub type ChannelFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How orders reach back ends; an adapter implements it.
pub trait OrderChannel: Send + Sync {
    /// Asks what a back end holds.
    fn report<'a>(
        &'a self,
        replica: &'a ReplicaRecord,
    ) -> ChannelFuture<'a, Result<WeightsReport, ReportError>>;
    /// Gives an order.
    fn order(&self, request: OrderRequest) -> ChannelFuture<'_, OrderReply>;
}
