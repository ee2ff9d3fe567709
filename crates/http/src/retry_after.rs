//! Parsing of the `Retry-After` header.

use std::time::Duration;

use hyper::{
    StatusCode,
    header::{HeaderMap, RETRY_AFTER},
};

/// Maximum delay that is returned; longer ones are reduced to it, so that adding it to a clock reading
/// cannot overflow.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Returns the `Retry-After` delay of a 503 or 429 response. Fractions of seconds are accepted; dates
/// are not, because clocks may differ.
pub fn retry_after(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let may_retry_later = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if !may_retry_later {
        return None;
    }
    let value = headers.get(RETRY_AFTER)?;
    let delay = parse_seconds(value.as_bytes());
    if delay.is_none() {
        spdlog::info!("header value invalid", kv: {
            header = RETRY_AFTER.as_str(),
            value = format!("{value:?}"),
        });
    }
    delay
}

fn parse_seconds(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let seconds = text.trim().parse::<f64>().ok()?;
    let delay = Duration::try_from_secs_f64(seconds).ok()?;
    Some(delay.min(MAX_RETRY_AFTER))
}
