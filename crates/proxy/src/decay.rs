//! Exponential decay. Pure.

use std::time::Duration;

/// Returns the share of a value that remains `age` after its last update.
pub fn remaining_share(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
