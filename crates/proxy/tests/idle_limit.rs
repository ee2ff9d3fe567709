//! How long connections to replicas may rest.

use std::time::Duration;

use hyper::{HeaderMap, header::HeaderValue};
use railtack_proxy::idle_limit::IdleLimit;

fn stated(text: &'static str) -> Option<IdleLimit> {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_static(text));
    IdleLimit::from_headers(&headers)
}

#[test]
fn a_stated_time_is_trusted_for_every_request_but_not_to_its_end() {
    for text in ["timeout=5", "timeout=5, max=100", "max=100, timeout=5"] {
        let idle_limit = stated(text).expect("a time");
        assert_eq!(idle_limit.limit(true), idle_limit.limit(false));
        assert!(idle_limit.limit(true) > Duration::from_secs(3));
        assert!(idle_limit.limit(true) < Duration::from_millis(4_500));
    }
}

#[test]
fn without_one_a_request_that_must_not_be_lost_takes_only_a_fresh_connection() {
    assert_eq!(IdleLimit::from_headers(&HeaderMap::new()), None);
    assert_eq!(stated("timeout=soon"), None);
    assert_eq!(stated("max=100"), None);
    assert!(IdleLimit::DEFAULT.limit(true) < Duration::from_millis(500));
    assert!(IdleLimit::DEFAULT.limit(false) > IdleLimit::DEFAULT.limit(true));
}
