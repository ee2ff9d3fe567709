//! What the data plane serves from, independent of how operators wrote it down.
//!
//! Whole documents and templates both come to a [`ServingConfiguration`]. The replicated state of
//! the control group keeps it beside the [`ReplicaRecord`]s of back ends and the weights that
//! operators named; routers hold copies. There is no I/O and no clock in this crate.

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
