//! Newtypes for identifiers, so that the compiler detects mixed-up arguments.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, Readable, Writable,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_identifier {
    ($(#[$documentation:meta])* $name:ident, $inner:ty) => {
        $(#[$documentation])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, Readable, Writable,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

text_identifier!(
    /// Name of a tenant, which owns API keys, parameter values and limits.
    TenantName
);
text_identifier!(
    /// Name of a request template defined by an operator.
    TemplateName
);
text_identifier!(
    /// Name of a model.
    ModelName
);
text_identifier!(
    /// Name of a zone, a failure domain within a region.
    ZoneName
);
text_identifier!(
    /// Key that a caller assigns to a non-idempotent request; unique within its tenant.
    IdempotencyKey
);
text_identifier!(
    /// Id that an operator assigns to a change, so that a resend returns the first outcome.
    OperationId
);
number_identifier!(
    /// Id of a router process, from its settings.
    RouterId, u32
);
number_identifier!(
    /// Id of an engine replica, which is stable across restarts.
    EngineId, u32
);
number_identifier!(
    /// Identifies one incarnation of an engine process. It changes with every restart, which empties the cache.
    EngineIncarnation, u64
);
number_identifier!(
    /// Version of a model's weights. Cached blocks are only valid for one version.
    WeightsVersion, u32
);
number_identifier!(
    /// Revision of the accepted configuration; it increases monotonically.
    Revision, u64
);
number_identifier!(
    /// Id of a request.
    RequestId, u128
);
number_identifier!(
    /// Id of one attempt to run a request at a back end. Responses to other attempts are dropped.
    AttemptId, u128
);
