//! A control replica as a member of a group that forms and repairs itself. It serves routers,
//! back-end replicas and operators through an adapter. Modules marked as pure do no I/O and get
//! times as arguments.
//!
//! | module | job |
//! |---|---|
//! | [`daemon`] | starts the replica, its internal service and the tasks below |
//! | [`fleet`] | aggregates the observations of all routers at back-end replicas (pure) |
//! | [`formation`] | bootstraps the group and joins it |
//! | [`handle`] | interface for adapters: documents, registrations, target weights |
//! | [`leader`] | client of the leader: proposals and linearizable reads |
//! | [`quota`] | quotas of tenants and shared retries (its ledger is pure) |
//! | [`limits`], [`permits`] | permits for back ends that advertise a limit (the former is pure) |
//! | [`quarantine`] | releases quarantined requests after a time |
//! | [`liveness`] | heartbeats of back-end replicas and requests of routers |
//! | [`replica_speeds`] | derives relative speeds of back-end replicas (pure) |
//! | [`rollout_driver`], [`order_dispatcher`] | execute the rollout of weights |
//! | [`order_channel`] | transport of orders to back ends |
//! | [`order_lock`] | when the order lock may be used (pure) |
//! | [`rollout_plan`] | plans the next steps of a rollout (pure) |
//! | [`registration_queue`], [`registrar`] | record back-end replicas in batches (the former is pure) |
//! | [`slots`] | leases of slots at back ends that withstand few rejections (its ledger is pure) |
//! | [`software`] | tells the only version of software that a service ran (pure) |
//! | [`streams`] | remembers where streams began, for routers |
//! | [`watch`] | replies to watch requests of routers |

use std::sync::{Mutex, MutexGuard, PoisonError};

pub mod daemon;
pub mod errors;
pub mod fleet;
pub mod formation;
pub mod handle;
pub mod leader;
pub mod limits;
pub mod liveness;
pub mod order_channel;
pub mod order_dispatcher;
pub mod order_lock;
pub mod permits;
pub mod quarantine;
pub mod quota;
pub mod registrar;
pub mod registration_queue;
pub mod replica_speeds;
pub mod rollout_driver;
pub mod rollout_plan;
pub mod slots;
pub mod software;
pub mod streams;
pub mod target_ages;
pub mod watch;

pub use daemon::{GroupOptions, start};
pub use errors::Unavailable;
pub use handle::{GroupHandle, HeartbeatTarget};
pub use order_channel::{OrderChannel, OrderReply, OrderRequest, WeightsReport};

/// Locks a mutex; ignores poisoning, so that a panicking task does not stop the control replica.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
