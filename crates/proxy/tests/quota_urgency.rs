//! What a router states of a request's urgency to the leader.

use railtack_proxy::quota::stated_urgency;
use railtack_rpc::{FeatureLevel, serving::QuotaUrgency};
use railtack_serving::{ContentKey, Policy};

const URGENCY: QuotaUrgency = QuotaUrgency {
    priority: 2,
    objective_ms: 400,
    time_left_ms: 4_000,
    content: ContentKey(7),
};

#[test]
fn everything_is_stated_by_default() {
    assert_eq!(
        stated_urgency(Policy::ALL, FeatureLevel::LOAD_REPORTS, URGENCY),
        Some(URGENCY)
    );
}

#[test]
fn each_switch_leaves_out_its_part() {
    let without_urgency = Policy {
        quota_urgency: false,
        ..Policy::ALL
    };
    let without_returns = Policy {
        kept_returns: false,
        ..Policy::ALL
    };
    let neither = Policy {
        quota_urgency: false,
        ..without_returns
    };
    let returning = stated_urgency(without_urgency, FeatureLevel::LOAD_REPORTS, URGENCY);
    assert_eq!(
        returning.map(|urgency| (urgency.objective_ms, urgency.content)),
        Some((0, ContentKey(7)))
    );
    let urgent = stated_urgency(without_returns, FeatureLevel::LOAD_REPORTS, URGENCY);
    assert_eq!(
        urgent.map(|urgency| (urgency.objective_ms, urgency.content)),
        Some((400, ContentKey::default()))
    );
    assert_eq!(
        stated_urgency(neither, FeatureLevel::LOAD_REPORTS, URGENCY),
        None
    );
}

/// A member of a previous build may lead the group and would not expect the urgency.
#[test]
fn nothing_is_stated_below_the_level_of_load_reports() {
    assert_eq!(
        stated_urgency(Policy::ALL, FeatureLevel::SHARED_GRANTS, URGENCY),
        None
    );
}
