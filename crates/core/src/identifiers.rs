//! Newtypes for everything that names something, so that two names cannot be swapped by mistake.

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
            /// Borrows the identifier's text.
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
    /// A tenant: the owner of keys, parameter values and limits.
    TenantName
);
text_identifier!(
    /// An operator's template.
    TemplateName
);
text_identifier!(
    /// A model served by engines.
    ModelName
);
text_identifier!(
    /// A failure domain inside a region.
    ZoneName
);
text_identifier!(
    /// A caller's name for a request that may not be repeated, unique within its tenant.
    IdempotencyKey
);
text_identifier!(
    /// An operator's name for one change, so that a resend returns the first outcome.
    OperationId
);
number_identifier!(
    /// A router process, as named in its settings.
    RouterId, u32
);
number_identifier!(
    /// A back-end engine replica, stable over restarts.
    EngineId, u32
);
number_identifier!(
    /// One life of an engine process; a restart empties the cache and changes this value.
    EngineIncarnation, u64
);
number_identifier!(
    /// A model's weights as rolled out; cached blocks never outlive their version.
    WeightsVersion, u32
);
number_identifier!(
    /// A position in the history of accepted configuration; it only grows.
    Revision, u64
);
number_identifier!(
    /// One request of one caller.
    RequestId, u128
);
number_identifier!(
    /// One dispatch of a request to a back end; answers of other attempts are dropped.
    AttemptId, u128
);
