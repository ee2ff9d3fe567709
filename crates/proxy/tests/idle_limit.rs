//! Idle limits of connections to replicas.

use std::time::Duration;

use hyper::{HeaderMap, header::HeaderValue};
use railtack_proxy::idle_limit::IdleLimit;

fn from_header(text: &'static str) -> Option<IdleLimit> {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_static(text));
    IdleLimit::from_headers(&headers)
}

#[test]
fn a_declared_timeout_is_used_with_a_margin_for_all_requests() {
    for text in ["timeout=5", "timeout=5, max=100", "max=100, timeout=5"] {
        let idle_limit = from_header(text).expect("a time");
        assert_eq!(idle_limit.limit(true), idle_limit.limit(false));
        assert!(idle_limit.limit(true) > Duration::from_secs(3));
        assert!(idle_limit.limit(true) < Duration::from_millis(4_500));
    }
}

#[test]
fn without_a_declared_timeout_non_retryable_requests_use_fresh_connections() {
    assert_eq!(IdleLimit::from_headers(&HeaderMap::new()), None);
    assert_eq!(from_header("timeout=soon"), None);
    assert_eq!(from_header("max=100"), None);
    assert!(IdleLimit::DEFAULT.limit(true) < Duration::from_millis(500));
    assert!(IdleLimit::DEFAULT.limit(false) > IdleLimit::DEFAULT.limit(true));
}
