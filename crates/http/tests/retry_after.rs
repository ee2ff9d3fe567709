//! What an answer says of when its sender takes requests again.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use railtack_http::{MAX_RETRY_AFTER, retry_after};

fn read(status: StatusCode, value: &[u8]) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("a value");
    headers.insert(RETRY_AFTER, value);
    retry_after(status, &headers)
}

#[test]
fn seconds_with_fractions_are_read_from_answers_that_turn_away() {
    let busy = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(read(busy, b"3"), Some(Duration::from_secs(3)));
    assert_eq!(read(busy, b" 0.25 "), Some(Duration::from_millis(250)));
    let limited = StatusCode::TOO_MANY_REQUESTS;
    assert_eq!(read(limited, b"3"), Some(Duration::from_secs(3)));
    assert_eq!(read(StatusCode::OK, b"3"), None);
    assert_eq!(read(StatusCode::MISDIRECTED_REQUEST, b"3"), None);
    assert_eq!(retry_after(busy, &HeaderMap::new()), None);
}

#[test]
fn anything_else_is_no_time() {
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
            read(StatusCode::SERVICE_UNAVAILABLE, value),
            None,
            "{value:?}"
        );
    }
}

#[test]
fn a_huge_time_stays_in_range() {
    let huge = read(StatusCode::SERVICE_UNAVAILABLE, b"1000000000000");
    assert_eq!(huge, Some(MAX_RETRY_AFTER));
}
