//! Tests of the quarantine of requests under which replicas crash.

use quickcheck::{TestResult, quickcheck};
use railtack_control::{
    serving::quarantine::ReleaseTimers,
    serving_state::{
        ServingState,
        quarantine::{CRASHES_DESPITE_RIVAL, Quarantine},
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

/// Records crashes of replicas 1, 2, 3 and so on, each with the requests that ran there.
fn quarantine_after(crashes: &[&[ContentKey]]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (position, contents) in crashes.iter().enumerate() {
        let index = position as u64 + 1;
        quarantine.record_crash(index, ReplicaKey(index as u32), contents);
    }
    quarantine
}

fn quarantined(quarantine: &Quarantine) -> Vec<ContentKey> {
    quarantine.update().quarantined.clone()
}

#[test]
fn a_request_is_quarantined_after_its_third_crash() {
    assert_eq!(quarantined(&quarantine_after(&[&[FATAL], &[FATAL]])), []);
    assert_eq!(
        quarantined(&quarantine_after(&[&[FATAL], &[FATAL], &[FATAL]])),
        [FATAL]
    );
}

#[test]
fn repeated_and_partial_reports_count_once() {
    let mut quarantine = quarantine_after(&[&[FATAL], &[FATAL]]);
    for index in 3..10 {
        quarantine.record_crash(index, ReplicaKey(2), &[OTHER, FATAL]);
    }
    assert_eq!(quarantined(&quarantine), []);
}

#[test]
fn a_request_present_at_some_crashes_is_not_quarantined() {
    let quarantine = quarantine_after(&[
        &[FATAL, OTHER],
        &[FATAL, OTHER],
        &[FATAL],
        &[FATAL, ContentKey(3)],
    ]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn requests_present_at_the_same_crashes_are_not_quarantined() {
    let together: &[ContentKey] = &[OTHER, FATAL];
    let mut quarantine = quarantine_after(&[together, together, together]);
    assert_eq!(quarantined(&quarantine), []);
    // The next crash distinguishes them.
    quarantine.record_crash(4, ReplicaKey(4), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn equally_suspected_requests_wait_for_the_next_crash() {
    let mut quarantine = quarantine_after(&[&[FATAL, OTHER], &[FATAL, OTHER], &[FATAL], &[OTHER]]);
    assert_eq!(quarantined(&quarantine), []);
    quarantine.record_crash(5, ReplicaKey(5), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn indistinguishable_requests_are_quarantined_after_more_crashes() {
    let together: &[ContentKey] = &[FATAL, OTHER];
    let below_threshold = vec![together; CRASHES_DESPITE_RIVAL - 1];
    assert_eq!(quarantined(&quarantine_after(&below_threshold)), []);
    let at_threshold = vec![together; CRASHES_DESPITE_RIVAL];
    assert_eq!(
        quarantined(&quarantine_after(&at_threshold)),
        [FATAL, OTHER]
    );
}

#[test]
fn a_late_report_corrects_a_wrong_quarantine() {
    // The first reports of the third crash name only the harmless request.
    let mut quarantine = quarantine_after(&[&[FATAL, OTHER], &[FATAL, OTHER], &[OTHER]]);
    assert_eq!(quarantined(&quarantine), [OTHER]);
    quarantine.record_crash(4, ReplicaKey(3), &[FATAL]);
    assert_eq!(quarantined(&quarantine), []);
    quarantine.record_crash(5, ReplicaKey(4), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn two_fatal_requests_are_both_quarantined() {
    let quarantine = quarantine_after(&[
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
fn a_successful_run_clears_a_request() {
    let mut quarantine = quarantine_after(&[&[FATAL], &[FATAL]]);
    assert_eq!(quarantine.update().suspected, [FATAL]);
    quarantine.clear(8, &[FATAL]);
    assert!(quarantine.suspects().is_empty());
    quarantine.record_crash(9, ReplicaKey(9), &[FATAL]);
    assert_eq!(quarantined(&quarantine), []);
}

#[test]
fn a_released_request_is_quarantined_again_at_the_next_crash() {
    let mut quarantine = quarantine_after(&[&[FATAL], &[FATAL], &[FATAL]]);
    let changed_at = quarantine.suspects()[&FATAL].changed_at();
    quarantine.release(10, FATAL, changed_at);
    assert_eq!(quarantined(&quarantine), []);
    quarantine.record_crash(11, ReplicaKey(11), &[FATAL]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn a_release_with_an_outdated_position_does_nothing() {
    let mut quarantine = quarantine_after(&[&[FATAL], &[FATAL], &[FATAL]]);
    let changed_at = quarantine.suspects()[&FATAL].changed_at();
    quarantine.record_crash(5, ReplicaKey(5), &[FATAL]);
    quarantine.release(6, FATAL, changed_at);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn a_released_request_without_further_crashes_is_forgotten() {
    let mut quarantine = quarantine_after(&[&[FATAL], &[FATAL], &[FATAL]]);
    for index in [10, 11] {
        let changed_at = quarantine.suspects()[&FATAL].changed_at();
        quarantine.release(index, FATAL, changed_at);
    }
    assert!(quarantine.suspects().is_empty());
}

#[test]
fn a_request_is_due_for_release_after_the_quarantine_time() {
    let start = Instant::now();
    let mut timers = ReleaseTimers::default();
    let mut quarantine = quarantine_after(&[&[FATAL], &[FATAL], &[FATAL]]);
    assert_eq!(timers.due(&quarantine, start), []);
    assert_eq!(timers.due(&quarantine, start + QUARANTINE_DURATION / 2), []);
    // A further crash restarts the timer.
    quarantine.record_crash(9, ReplicaKey(9), &[FATAL]);
    assert_eq!(timers.due(&quarantine, start + QUARANTINE_DURATION / 2), []);
    assert_eq!(timers.due(&quarantine, start + QUARANTINE_DURATION), []);
    let expired = start + QUARANTINE_DURATION + QUARANTINE_DURATION / 2;
    assert_eq!(timers.due(&quarantine, expired), [(FATAL, 9)]);
    // A new leader starts its timers when it first sees the request.
    assert_eq!(ReleaseTimers::default().due(&quarantine, expired), []);
}

#[test]
fn the_state_is_bounded_and_keeps_quarantined_requests() {
    let mut quarantine = quarantine_after(&[&[FATAL], &[FATAL], &[FATAL]]);
    for number in 0..5_000_u64 {
        let content = ContentKey(u128::from(number) + 100);
        quarantine.record_crash(number + 10, ReplicaKey(number as u32 + 10), &[content]);
    }
    assert!(quarantine.suspects().len() <= 1_024);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

#[test]
fn routers_receive_only_changed_lists() {
    let mut state = ServingState::default();
    let crash = |replica: u32| ServingCommand::RecordCrash {
        replica: ReplicaKey(replica),
        contents: vec![FATAL],
        reporter: None,
    };
    state.apply(1, crash(1));
    assert_eq!(
        state.update_after(WatchPosition::at(0)),
        None,
        "one crash must not wake routers"
    );
    state.apply(2, crash(2));
    state.apply(3, crash(3));
    let update = state.update_after(WatchPosition::at(2)).expect("an update");
    let received = update.quarantine.expect("a quarantine");
    assert_eq!(received.quarantined, [FATAL]);
    // A router that has just started receives the full lists; one that has them receives no update.
    let full = state
        .update_after(WatchPosition::at(0))
        .expect("a full update");
    assert_eq!(full.quarantine, Some(received));
    assert_eq!(state.update_after(WatchPosition::at(3)), None);
}

#[test]
fn each_crash_of_a_suspected_request_is_an_update_though_the_lists_stay() {
    let mut quarantine = quarantine_after(&[&[FATAL, OTHER], &[FATAL, OTHER]]);
    let previous = quarantine.update().clone();
    quarantine.record_crash(3, ReplicaKey(3), &[FATAL, OTHER]);
    assert_eq!(quarantine.update().suspected, previous.suspected);
    assert_eq!(quarantine.update().changed_at, 3);
    // A repeated report is no update.
    quarantine.record_crash(4, ReplicaKey(3), &[FATAL, OTHER]);
    assert_eq!(quarantine.update().changed_at, 3);
    // Neither is a crash under other requests.
    quarantine.record_crash(5, ReplicaKey(5), &[ContentKey(9)]);
    assert_eq!(quarantine.update().changed_at, 3);
}

#[test]
fn snapshots_keep_the_quarantine_and_previous_layouts_are_read() {
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
    // The layout before the quarantine lacks two empty tables, two empty lists, a position, the
    // group's level and the empty list of quotas.
    let without_quarantine = &empty[..empty.len() - (4 + 8 + 4 + 4 + 4) - (4 + 4)];
    let read = ServingState::read_from_buffer(without_quarantine).expect("a state");
    let first_level = ServingState::at(FeatureLevel::FIRST);
    assert_eq!(read, first_level);
    // A group at the first level still writes this layout.
    assert_eq!(
        first_level.write_to_vec().expect("a snapshot"),
        without_quarantine
    );
    // The layout before the level; its builds supported all of that level.
    let without_level = &empty[..empty.len() - (4 + 4)];
    let read = ServingState::read_from_buffer(without_level).expect("a state");
    assert_eq!(read, ServingState::at(FeatureLevel::SHARED_GRANTS));
}

quickcheck! {
    /// Whatever other requests run beside it, a request present at every crash is quarantined, and
    /// none that was present at fewer than three crashes.
    fn a_request_present_at_every_crash_is_quarantined(others_per_crash: Vec<Vec<u8>>) -> TestResult {
        if others_per_crash.len() < CRASHES_DESPITE_RIVAL {
            return TestResult::discard();
        }
        let mut quarantine = Quarantine::default();
        let mut counts = std::collections::BTreeMap::new();
        for (position, others) in others_per_crash.iter().take(16).enumerate() {
            let mut contents: Vec<ContentKey> =
                others.iter().map(|other| ContentKey(u128::from(*other) + 10)).collect();
            contents.sort();
            contents.dedup();
            for content in &contents {
                *counts.entry(*content).or_insert(0) += 1;
            }
            contents.push(FATAL);
            let index = position as u64 + 1;
            quarantine.record_crash(index, ReplicaKey(index as u32), &contents);
        }
        let found = quarantined(&quarantine);
        let has_few_crashes = |content: &ContentKey| counts.get(content).copied().unwrap_or(0) < CRASHES_TO_QUARANTINE;
        let is_wrongly_quarantined = found.iter().any(|content| *content != FATAL && has_few_crashes(content));
        TestResult::from_bool(found.contains(&FATAL) && !is_wrongly_quarantined)
    }
}

/// Prompt segment under which replicas crash.
fn fatal_segment() -> ContentKey {
    ContentKey::of_prompt_segment("pool", 0xfa7a1)
}

/// Segment that all prompts begin with.
fn popular_segment() -> ContentKey {
    ContentKey::of_prompt_segment("pool", 0xc0ffee)
}

/// Guards against requests of which no two are alike that crash replica after replica.
#[test]
fn a_segment_is_quarantined_once_the_segments_beside_it_completed() {
    let mut quarantine = Quarantine::default();
    for index in 1..=3 {
        let contents = [ContentKey(index.into()), popular_segment(), fatal_segment()];
        quarantine.record_crash(index, ReplicaKey(index as u32), &contents);
    }
    assert_eq!(quarantined(&quarantine), []);
    quarantine.clear(4, &[popular_segment()]);
    assert_eq!(quarantined(&quarantine), [fatal_segment()]);
}

/// Guards against a rare segment that is refused because one request with it comes again and again.
#[test]
fn a_segment_of_one_fatal_request_is_not_quarantined() {
    let rare = ContentKey::of_prompt_segment("pool", 7);
    let together: &[ContentKey] = &[FATAL, rare];
    let quarantine = quarantine_after(&[together, together, together, together, &[rare]]);
    assert_eq!(quarantined(&quarantine), [FATAL]);
}

/// Guards against two segments that hide each other, and a whole request that they hide.
#[test]
fn two_segments_and_a_request_are_all_quarantined() {
    let other = ContentKey::of_prompt_segment("pool", 8);
    let mut quarantine = Quarantine::default();
    let mut index = 0;
    for round in 0..5 {
        for contents in [
            [ContentKey(10 + round), fatal_segment()],
            [ContentKey(20 + round), other],
            [FATAL, FATAL],
        ] {
            index += 1;
            quarantine.record_crash(index, ReplicaKey(index as u32), &contents);
        }
    }
    let mut expected = vec![FATAL, fatal_segment(), other];
    expected.sort();
    assert_eq!(quarantined(&quarantine), expected);
}

/// Guards against a fatal segment that is pushed out by the segments of the harmless requests that crash with it.
#[test]
fn many_harmless_segments_do_not_push_a_fatal_one_out() {
    let mut quarantine = Quarantine::default();
    for index in 1..=6 {
        let crowd = (0..600_u64)
            .map(|number| ContentKey::of_prompt_segment("pool", index * 1_000 + number));
        let contents: Vec<ContentKey> = crowd.chain([fatal_segment()]).collect();
        quarantine.record_crash(index, ReplicaKey(index as u32), &contents);
    }
    assert_eq!(quarantined(&quarantine), [fatal_segment()]);
}

quickcheck! {
    /// Guards against a popular segment that stays refused, and a fatal one that is not, whichever crashes, completions and
    /// reports come in which order: an event is a crash under the fatal segment (0, 1), a kill (2), one of which only the
    /// popular segment is reported (3), or a completion of it (4, 5).
    fn segments_are_told_apart_in_any_order(events: Vec<u8>) -> TestResult {
        let mut quarantine = Quarantine::default();
        let mut index = 0;
        let mut apply = |quarantine: &mut Quarantine, event: u8| {
            index += 1;
            let replica = ReplicaKey(index as u32);
            let alone = ContentKey(u128::from(index) + 1_000);
            let beside = ContentKey::of_prompt_segment("pool", 100 + index % 7);
            match event % 6 {
                0 => quarantine.record_crash(index, replica, &[alone, popular_segment(), fatal_segment()]),
                1 => quarantine.record_crash(index, replica, &[alone, fatal_segment(), beside]),
                2 => quarantine.record_crash(index, replica, &[alone, popular_segment(), beside]),
                3 => quarantine.record_crash(index, replica, &[popular_segment()]),
                _ => quarantine.clear(index, &[popular_segment()]),
            }
        };
        for event in events {
            apply(&mut quarantine, event);
        }
        // From here on, crashes are due to the fatal segment, and requests with the popular one complete in between.
        for _ in 0..6 {
            apply(&mut quarantine, 0);
            apply(&mut quarantine, 4);
        }
        let quarantined = quarantined(&quarantine);
        let holds = quarantined.contains(&fatal_segment()) && !quarantined.contains(&popular_segment());
        TestResult::from_bool(holds)
    }
}
