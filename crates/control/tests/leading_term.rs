//! Since when a control replica leads.

use std::time::Duration;

use railtack_control::serving::liveness::LeadingTerm;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a leader that lost the lead to nobody, is elected again, and takes replicas for silent because their
/// heartbeats of the time between did not reach it.
#[test]
fn a_later_term_of_the_same_leader_begins_anew() {
    let start = Instant::now();
    let mut leading = LeadingTerm::default();
    assert!(leading.mark_leading(3, start));
    assert!(!leading.mark_leading(3, start + SECOND));
    assert_eq!(leading.since(), Some(start));
    assert!(leading.mark_leading(5, start + SECOND * 20));
    assert_eq!(leading.since(), Some(start + SECOND * 20));
    leading.mark_following();
    assert_eq!(leading.since(), None);
}
