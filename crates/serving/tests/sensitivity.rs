//! Services whose replicas withstand few rejections.

use std::time::Duration;

use railtack_serving::SensitiveServices;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a router that forgets what it heard because it sends nothing for some seconds.
#[test]
fn a_service_stays_sensitive_without_responses() {
    let mut services = SensitiveServices::default();
    assert!(services.record_stated("app", 3, at(1_000)));
    assert!(!services.record_stated("app", 4, at(1_200)));
    let known = services.get("app", at(200_000)).expect("still sensitive");
    assert_eq!(known.withstood_rejections, 4);
    assert_eq!(services.get("app", at(302_000)), None);
    assert_eq!(services.get("other", at(1_300)), None);
}

/// Guards against a service that counts as sensitive for long after it has ceased to be.
#[test]
fn responses_without_the_signal_end_it() {
    let mut services = SensitiveServices::default();
    services.record_stated("app", 3, at(1_000));
    assert!(!services.record_omitted("app", at(1_900)));
    assert!(services.record_omitted("app", at(2_100)));
    assert_eq!(services.get("app", at(2_100)), None);
    assert!(services.record_stated("app", 3, at(2_200)));
}

/// Guards against a late response from before the service was sensitive that ends it.
#[test]
fn a_late_response_does_not_end_it() {
    let mut services = SensitiveServices::default();
    services.record_stated("app", 3, at(1_000));
    services.record_omitted("app", at(1_001));
    assert!(services.get("app", at(1_001)).is_some());
    // A report that is older than what is known changes nothing.
    assert!(!services.record_stated("app", 9, at(500)));
    let known = services.get("app", at(1_002)).expect("still sensitive");
    assert_eq!(known.withstood_rejections, 3);
}
