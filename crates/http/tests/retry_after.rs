//! Parsing of the `Retry-After` header.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use railtack_http::{MAX_RETRY_AFTER, retry_after};

fn parse(status: StatusCode, value: &[u8]) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("a value");
    headers.insert(RETRY_AFTER, value);
    retry_after(status, &headers)
}

#[test]
fn delay_is_parsed_only_from_503_and_429() {
    let busy = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(parse(busy, b"3"), Some(Duration::from_secs(3)));
    assert_eq!(parse(busy, b" 0.25 "), Some(Duration::from_millis(250)));
    let limited = StatusCode::TOO_MANY_REQUESTS;
    assert_eq!(parse(limited, b"3"), Some(Duration::from_secs(3)));
    assert_eq!(parse(StatusCode::OK, b"3"), None);
    assert_eq!(parse(StatusCode::MISDIRECTED_REQUEST, b"3"), None);
    assert_eq!(retry_after(busy, &HeaderMap::new()), None);
}

#[test]
fn invalid_values_are_ignored() {
    for value in [
        &b""[..],
        b"soon",
        b"-1",
        b"NaN",
        b"inf",
        b"1e300",
        b"3,3",
        b"\xff",
        b"Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        assert_eq!(
            parse(StatusCode::SERVICE_UNAVAILABLE, value),
            None,
            "{value:?}"
        );
    }
}

#[test]
fn long_delay_is_reduced_to_the_maximum() {
    let huge = parse(StatusCode::SERVICE_UNAVAILABLE, b"1000000000000");
    assert_eq!(huge, Some(MAX_RETRY_AFTER));
}
