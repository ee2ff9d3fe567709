//! Which requests are quarantined after replicas ended.

use quickcheck::{TestResult, quickcheck};
use railtack_control::{
    serving::quarantine::ReleaseTimers,
    serving_state::{
        ServingState,
        quarantine::{ENDS_DESPITE_RIVAL, Quarantine},
    },
};
use railtack_rpc::{
    FeatureLevel,
    serving::{CRASHES_TO_QUARANTINE, QUARANTINE_DURATION, ServingCommand, WatchPosition},
};
use railtack_serving::{ContentKey, ReplicaKey};
use speedy::{Readable, Writable};
use tokio::time::Instant;

const FATAL: ContentKey = ContentKey(1);
const OTHER: ContentKey = ContentKey(2);

/// Records ends of replicas 1, 2, 3 and so on, each with the requests that ran there.
fn after(ends: &[&[ContentKey]]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (position, contents) in ends.iter().enumerate() {
        let index = position as u64 + 1;
        quarantine.record_end(index, ReplicaKey(index as u32), contents);
    }
    quarantine
}

fn quarantined(quarantine: &Quarantine) -> Vec<ContentKey> {
    quarantine.told().quarantined.clone()
}

#[test]
fn a_request_is_quarantined_at_the_third_end_under_it() {
    assert_eq!(quarantined(&after(&[&[FATAL], &[FATAL]])), []);
    assert_eq!(
        quarantined(&after(&[&[FATAL], &[FATAL], &[FATAL]])),
        [FATAL]
    );
}

#[test]
fn a_report_that_comes_again_or_in_parts_counts_once() {
    let mut quarantine = after(&[&[FATAL], &[FATAL]]);
    for index in 3..10 {
        quarantine.record_end(index, ReplicaKey(2), &[OTHER, FATAL]);
    }
    assert_eq!(quarantined(&quarantine), []);
}

#[test]
fn a_request_that_shared_some_ends_is_not_condemned() {
    let quarantine = after(&[
        &[FATAL, OTHER],
        &[FATAL, OTHER],
        &[FATAL],
        &[FATAL, ContentKey(3)],
    ]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn as_long_as_two_were_at_all_the_same_ends_neither_is_condemned() {
    let together: &[ContentKey] = &[OTHER, FATAL];
    let mut quarantine = after(&[together, together, together]);
    assert_eq!(quarantined(&quarantine), []);
    // The next end tells them apart.
    quarantine.record_end(4, ReplicaKey(4), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn two_with_as_many_ends_that_would_explain_each_other_wait_for_the_next_end() {
    let mut quarantine = after(&[&[FATAL, OTHER], &[FATAL, OTHER], &[FATAL], &[OTHER]]);
    assert_eq!(quarantined(&quarantine), []);
    quarantine.record_end(5, ReplicaKey(5), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn replicas_are_spared_in_the_end_though_two_cannot_be_told_apart() {
    let together: &[ContentKey] = &[FATAL, OTHER];
    let before = vec![together; ENDS_DESPITE_RIVAL - 1];
    assert_eq!(quarantined(&after(&before)), []);
    let by_then = vec![together; ENDS_DESPITE_RIVAL];
    assert_eq!(quarantined(&after(&by_then)), [FATAL, OTHER]);
}

#[test]
fn a_late_report_puts_a_hasty_judgement_right() {
    // The first reports of the third end name only the request that shared it.
    let mut quarantine = after(&[&[FATAL, OTHER], &[FATAL, OTHER], &[OTHER]]);
    assert_eq!(quarantined(&quarantine), [OTHER]);
    quarantine.record_end(4, ReplicaKey(3), &[FATAL]);
    assert_eq!(quarantined(&quarantine), []);
    quarantine.record_end(5, ReplicaKey(4), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn two_that_are_both_to_blame_are_both_found() {
    let quarantine = after(&[
        &[FATAL],
        &[OTHER],
        &[FATAL],
        &[OTHER],
        &[FATAL, OTHER],
        &[OTHER],
        &[FATAL],
    ]);
    assert_eq!(quarantined(&quarantine), [FATAL, OTHER]);
}

#[test]
fn a_good_end_clears_a_request() {
    let mut quarantine = after(&[&[FATAL], &[FATAL]]);
    assert_eq!(quarantine.told().suspected, [FATAL]);
    quarantine.clear(8, &[FATAL]);
    assert!(quarantine.suspects().is_empty());
    quarantine.record_end(9, ReplicaKey(9), &[FATAL]);
    assert_eq!(quarantined(&quarantine), []);
}

#[test]
fn a_released_request_is_quarantined_again_at_the_next_end() {
    let mut quarantine = after(&[&[FATAL], &[FATAL], &[FATAL]]);
    let changed_at = quarantine.suspects()[&FATAL].changed_at();
    quarantine.release(10, FATAL, changed_at);
    assert_eq!(quarantined(&quarantine), []);
    quarantine.record_end(11, ReplicaKey(11), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn a_release_that_does_not_know_the_last_end_does_nothing() {
    let mut quarantine = after(&[&[FATAL], &[FATAL], &[FATAL]]);
    let changed_at = quarantine.suspects()[&FATAL].changed_at();
    quarantine.record_end(5, ReplicaKey(5), &[FATAL]);
    quarantine.release(6, FATAL, changed_at);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn one_that_is_released_and_stays_harmless_is_forgotten() {
    let mut quarantine = after(&[&[FATAL], &[FATAL], &[FATAL]]);
    for index in [10, 11] {
        let changed_at = quarantine.suspects()[&FATAL].changed_at();
        quarantine.release(index, FATAL, changed_at);
    }
    assert!(quarantine.suspects().is_empty());
}

#[test]
fn a_request_is_due_for_release_a_while_after_its_last_end() {
    let start = Instant::now();
    let mut timers = ReleaseTimers::default();
    let mut quarantine = after(&[&[FATAL], &[FATAL], &[FATAL]]);
    assert_eq!(timers.due(&quarantine, start), []);
    assert_eq!(timers.due(&quarantine, start + QUARANTINE_DURATION / 2), []);
    // One more end begins the time anew.
    quarantine.record_end(9, ReplicaKey(9), &[FATAL]);
    assert_eq!(timers.due(&quarantine, start + QUARANTINE_DURATION / 2), []);
    assert_eq!(timers.due(&quarantine, start + QUARANTINE_DURATION), []);
    let over = start + QUARANTINE_DURATION + QUARANTINE_DURATION / 2;
    assert_eq!(timers.due(&quarantine, over), [(FATAL, 9)]);
    // A new leader measures from when it first sees it.
    assert_eq!(ReleaseTimers::default().due(&quarantine, over), []);
}

#[test]
fn the_state_stays_bounded_and_keeps_those_to_blame() {
    let mut quarantine = after(&[&[FATAL], &[FATAL], &[FATAL]]);
    for number in 0..5_000_u64 {
        let content = ContentKey(u128::from(number) + 100);
        quarantine.record_end(number + 10, ReplicaKey(number as u32 + 10), &[content]);
    }
    assert!(quarantine.suspects().len() <= 1_024);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn routers_are_told_only_what_changed_for_them() {
    let mut state = ServingState::default();
    let end = |replica: u32| ServingCommand::RecordCrash {
        replica: ReplicaKey(replica),
        contents: vec![FATAL],
        reporter: None,
    };
    state.apply(1, end(1));
    assert_eq!(
        state.update_after(WatchPosition::at(0)),
        None,
        "one end is no news for routers"
    );
    state.apply(2, end(2));
    state.apply(3, end(3));
    let update = state.update_after(WatchPosition::at(2)).expect("news");
    let told = update.quarantine.expect("a quarantine");
    assert_eq!(told.quarantined, [FATAL]);
    // A router that has just started learns all of it; one that knows it hears nothing more.
    let first = state
        .update_after(WatchPosition::at(0))
        .expect("everything");
    assert_eq!(first.quarantine, Some(told));
    assert_eq!(state.update_after(WatchPosition::at(3)), None);
}

#[test]
fn each_end_under_a_watched_request_is_news_though_the_lists_stay() {
    let mut quarantine = after(&[&[FATAL, OTHER], &[FATAL, OTHER]]);
    let before = quarantine.told().clone();
    quarantine.record_end(3, ReplicaKey(3), &[FATAL, OTHER]);
    assert_eq!(quarantine.told().suspected, before.suspected);
    assert_eq!(quarantine.told().changed_at, 3);
    // The same report again is none.
    quarantine.record_end(4, ReplicaKey(3), &[FATAL, OTHER]);
    assert_eq!(quarantine.told().changed_at, 3);
    // Nor is the end of a replica under others.
    quarantine.record_end(5, ReplicaKey(5), &[ContentKey(9)]);
    assert_eq!(quarantine.told().changed_at, 3);
}

#[test]
fn a_snapshot_keeps_it_and_one_of_an_earlier_build_is_read_without_it() {
    let mut state = ServingState::default();
    let empty = state.write_to_vec().expect("a snapshot");
    for replica in 1..=3 {
        let contents = vec![FATAL];
        let replica = ReplicaKey(replica);
        state.apply(
            u64::from(replica.0),
            ServingCommand::RecordCrash {
                replica,
                contents,
                reporter: None,
            },
        );
    }
    let bytes = state.write_to_vec().expect("a snapshot");
    assert_eq!(
        ServingState::read_from_buffer(&bytes).expect("a state"),
        state
    );
    // The layout that ended before: two tables and two lists, all empty, a position, the group's level and the
    // empty list of quotas less.
    let earlier = &empty[..empty.len() - (4 + 8 + 4 + 4 + 4) - (4 + 4)];
    let read = ServingState::read_from_buffer(earlier).expect("a state");
    let of_former_builds = ServingState::at(FeatureLevel::FIRST);
    assert_eq!(read, of_former_builds);
    // A group that still has members of that build writes just this.
    assert_eq!(
        of_former_builds.write_to_vec().expect("a snapshot"),
        earlier
    );
    // The one that ended before the level: its builds did all that the level stands for.
    let without_level = &empty[..empty.len() - (4 + 4)];
    let read = ServingState::read_from_buffer(without_level).expect("a state");
    assert_eq!(read, ServingState::at(FeatureLevel::SHARED_GRANTS));
}

quickcheck! {
    /// Whatever else runs beside it, one that is at every end is found, and nobody who was at fewer
    /// than three ends is condemned.
    fn the_one_at_every_end_is_found(shared: Vec<Vec<u8>>) -> TestResult {
        if shared.len() < ENDS_DESPITE_RIVAL {
            return TestResult::discard();
        }
        let mut quarantine = Quarantine::default();
        let mut counts = std::collections::BTreeMap::new();
        for (position, others) in shared.iter().take(16).enumerate() {
            let mut contents: Vec<ContentKey> =
                others.iter().map(|other| ContentKey(u128::from(*other) + 10)).collect();
            contents.sort();
            contents.dedup();
            for content in &contents {
                *counts.entry(*content).or_insert(0) += 1;
            }
            contents.push(FATAL);
            let index = position as u64 + 1;
            quarantine.record_end(index, ReplicaKey(index as u32), &contents);
        }
        let found = quarantined(&quarantine);
        let few = |content: &ContentKey| counts.get(content).copied().unwrap_or(0) < CRASHES_TO_QUARANTINE;
        let wronged = found.iter().any(|content| *content != FATAL && few(content));
        TestResult::from_bool(found.contains(&FATAL) && !wronged)
    }
}
