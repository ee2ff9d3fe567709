//! The `[policy]` table: switches of the data plane's mechanisms, for measurements.

use railtack_serving::Policy;
use serde::Deserialize;

/// Switches; one that is left out is on. An unknown one is refused, so that a measurement does not
/// run with a mechanism on that it was to switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    homes: bool,
    sent_prefixes: bool,
    fetch: bool,
    save: bool,
    save_bound: bool,
    own_load: bool,
    zone: bool,
    failure_rate: bool,
    pauses: bool,
    retry: bool,
    resume: bool,
    busy_patience: bool,
    first_lease_wait: bool,
    stated_rest: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Policy::ALL.into()
    }
}

/// Writes the conversions between two structures with the same switches.
macro_rules! convert_switches {
    ($($switch:ident),+ $(,)?) => {
        impl From<PolicySettings> for Policy {
            fn from(settings: PolicySettings) -> Self {
                Self { $($switch: settings.$switch),+ }
            }
        }

        impl From<Policy> for PolicySettings {
            fn from(policy: Policy) -> Self {
                Self { $($switch: policy.$switch),+ }
            }
        }
    };
}

convert_switches!(
    homes,
    sent_prefixes,
    fetch,
    save,
    save_bound,
    own_load,
    zone,
    failure_rate,
    pauses,
    retry,
    resume,
    busy_patience,
    first_lease_wait,
    stated_rest,
);
