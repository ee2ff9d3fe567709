//! Resolved data-plane state, independent of the format in which operators write the configuration.
//!
//! Configuration documents and templates are both resolved to a [`ServingConfiguration`]. The
//! control group replicates it together with the [`ReplicaRecord`]s of back ends and the target
//! weights set by operators; routers hold copies. This crate performs no I/O and reads no clock.

pub mod availability;
pub mod configuration;
pub mod content;
pub mod errors;
pub mod life;
pub mod limit;
pub mod lookup;
pub mod policy;
pub mod quota;
pub mod registry;
pub mod retries;
pub mod settings;

pub use availability::{Announced, Availability, BackEndNotice, Moment, NamedLimit, News};
pub use configuration::{
    CallerLimits, EngineShape, RequestKind, Route, ServiceShape, ServingConfiguration, StoreShape,
    TenantShape, WeightedService,
};
pub use content::{ContentKey, RequestContent};
pub use errors::ConfigurationError;
pub use life::Life;
pub use limit::{LimitError, RequestLimit, StatedLimit};
pub use lookup::{KeyOwner, RouteTable};
pub use policy::Policy;
pub use quota::{Bucket, GrantTimes, QuotaBounds, QuotaUnit, TenantQuota};
pub use registry::{HeldWeights, PendingOrder, ReplicaKey, ReplicaRecord, ReplicaState};
pub use settings::{Bounds, FaultTolerance};
