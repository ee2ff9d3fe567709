//! Resolved data-plane state, independent of the format in which operators write the configuration.
//!
//! Configuration documents and templates are both resolved to a [`ServingConfiguration`]. The
//! control group replicates it together with the [`ReplicaRecord`]s of back ends and the target
//! weights set by operators; routers hold copies. This crate performs no I/O and reads no clock.

pub mod availability;
pub mod configuration;
pub mod configuration_items;
pub mod content;
pub mod errors;
pub mod incarnation;
pub mod limit;
pub mod lookup;
pub mod policy;
pub mod quota;
pub mod registry;
pub mod retries;
pub mod sensitivity;
pub mod settings;
pub mod software;
pub mod speed;
pub mod stream_origins;
pub mod weight_versions;

pub use availability::{
    AdvertisedLimit, AdvertisedState, Availability, BackendSignals, MonotonicTime, SignalChanges,
};
pub use configuration::{
    CallerLimits, EngineConfig, LEAST_URGENT_PRIORITY, RequestKind, Route, ServiceConfig,
    ServingConfiguration, StoreConfig, TenantConfig, WeightedService,
};
pub use configuration_items::{ConfigurationItem, ConfigurationItems, ItemKey, KeyDigest};
pub use content::{ContentKey, RequestContent};
pub use errors::ConfigurationError;
pub use incarnation::Incarnation;
pub use limit::{LimitError, LimitHeader, RequestLimit};
pub use lookup::{KeyOwner, RouteTable};
pub use policy::Policy;
pub use quota::{Bucket, GrantTimes, QuotaBounds, QuotaUnit, TenantQuota};
pub use registry::{ModelWeights, PendingOrder, ReplicaKey, ReplicaRecord, ReplicaState};
pub use sensitivity::{SensitiveServices, Sensitivity};
pub use settings::{Bounds, FaultTolerance};
pub use software::{SoftwareVersion, SoftwareVersionError};
pub use speed::RelativeSpeed;
pub use stream_origins::{StreamKey, StreamOrigin, StreamOrigins};
pub use weight_versions::{TargetVersion, WeightVersions};
