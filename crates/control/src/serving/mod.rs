//! A control replica as part of a group that forms and mends itself, and serves routers, back-end
//! replicas and operators through an adapter.
//!
//! | module | job |
//! |---|---|
//! | [`daemon`] | starts the replica, its internal service and the tasks below |
//! | [`fleet`] | what all routers together meet at the replicas (pure) |
//! | [`formation`] | first member, joining, joining again |
//! | [`handle`] | what an adapter may ask: documents, registrations, weights |
//! | [`leader`] | proposals and reads by way of the leader |
//! | [`ledger`], [`quota`] | what tenants use of their quotas (the ledger is pure) |
//! | [`limits`], [`permits`] | requests to back ends that name a limit (the former is pure) |
//! | [`quarantine`] | releases requests that were quarantined long ago |
//! | [`liveness`] | signs of life of back-end replicas and routers |
//! | [`orders`], [`order_giver`] | carrying out the rollout of weights |
//! | [`order_channel`] | how orders reach back ends |
//! | [`weights`] | the rollout's pure decision |
//! | [`registration_queue`], [`registrar`] | recording back-end replicas in batches (the former is pure) |
//! | [`watch`] | answering routers |

pub mod daemon;
pub mod errors;
pub mod fleet;
pub mod formation;
pub mod handle;
pub mod leader;
pub mod ledger;
pub mod limits;
pub mod liveness;
pub mod order_channel;
pub mod order_dispatcher;
pub mod permits;
pub mod quarantine;
pub mod quota;
pub mod registrar;
pub mod registration_queue;
pub mod rollout_driver;
pub mod rollout_plan;
pub mod watch;

pub use daemon::{GroupOptions, start};
pub use errors::Unavailable;
pub use handle::{GroupHandle, HeartbeatTarget};
pub use order_channel::{OrderChannel, OrderReply, OrderRequest, WeightsReport};
