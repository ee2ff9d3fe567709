//! What an answer says of when its sender takes requests again.

use std::time::Duration;

use hyper::{
    StatusCode,
    header::{HeaderMap, RETRY_AFTER},
};

/// Longest time that is reckoned with; keeps sums with any reading of a clock in range.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Time for which the sender of an answer wants no requests: the `Retry-After` of one that turns a request
/// away, in seconds with fractions. Dates are not taken, as clocks differ.
pub fn retry_after(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let turns_away = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if !turns_away {
        return None;
    }
    let value = headers.get(RETRY_AFTER)?;
    let time = seconds(value.as_bytes());
    if time.is_none() {
        spdlog::info!("header not read", kv: {
            header = RETRY_AFTER.as_str(),
            value = format!("{value:?}"),
        });
    }
    time
}

fn seconds(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let seconds = text.trim().parse::<f64>().ok()?;
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    Some(time.min(MAX_RETRY_AFTER))
}
