//! Limits on the entries of one append message.

use railtack_consensus::{Entry, Payload, RaftLog, Snapshot};

fn log(sizes: &[usize]) -> RaftLog {
    let mut log = RaftLog::new(Snapshot::default(), Vec::new());
    for (position, size) in sizes.iter().enumerate() {
        log.append(Entry {
            index: position as u64 + 1,
            term: 1,
            payload: Payload::Command(vec![0; *size]),
        });
    }
    log
}

fn indexes(entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|entry| entry.index).collect()
}

/// Guards against messages that take a slow member longer to process than an election timeout.
#[test]
fn entries_within_limits_bytes_and_returns_at_least_one_entry() {
    let log = log(&[40_000; 100]);
    assert_eq!(
        indexes(&log.entries_within(1, 512, 256 * 1024)),
        [1, 2, 3, 4, 5, 6]
    );
    assert_eq!(indexes(&log.entries_within(90, 512, 10)), [90]);
    assert_eq!(indexes(&log.entries_within(100, 512, 256 * 1024)), [100]);
    assert_eq!(log.entries_within(101, 512, 256 * 1024), []);
    // A probe carries no entries.
    assert_eq!(log.entries_within(1, 0, 256 * 1024), []);
}

#[test]
fn entries_within_limits_the_number_of_entries() {
    let log = log(&[10; 100]);
    assert_eq!(log.entries_within(1, 16, 256 * 1024).len(), 16);
}
