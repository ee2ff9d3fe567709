//! Recovery of the log after truncation, torn writes and corruption.

use quickcheck::{TestResult, quickcheck};
use railtack_storage::{
    Media, MemoryMedia, SnapshotStore, StorageError, WalOptions, WriteAheadLog,
};

const SMALL_SEGMENTS: WalOptions = WalOptions { segment_bytes: 200 };

fn open(media: &MemoryMedia) -> (WriteAheadLog, Vec<Vec<u8>>) {
    WriteAheadLog::open(Box::new(media.clone()), SMALL_SEGMENTS).expect("the log opens")
}

fn write_all(media: &MemoryMedia, records: &[Vec<u8>]) {
    let (mut log, _) = open(media);
    for record in records {
        log.append(record).expect("append");
        log.sync().expect("sync");
    }
}

quickcheck! {
    fn synced_records_survive_a_crash(records: Vec<Vec<u8>>, torn_bytes: u8) -> bool {
        let media = MemoryMedia::default();
        write_all(&media, &records);
        media.crash(usize::from(torn_bytes));
        open(&media).1 == records
    }

    fn unsynced_records_are_a_prefix_after_a_crash(
        synced: Vec<Vec<u8>>,
        unsynced: Vec<Vec<u8>>,
        torn_bytes: u16
    ) -> bool {
        let media = MemoryMedia::default();
        write_all(&media, &synced);
        let (mut log, _) = open(&media);
        for record in &unsynced {
            log.append(record).expect("append");
        }
        media.crash(usize::from(torn_bytes));
        let all: Vec<_> = synced.iter().chain(&unsynced).cloned().collect();
        let recovered = open(&media).1;
        recovered.len() >= synced.len() && all.starts_with(&recovered)
    }

    fn arbitrary_bytes_never_panic(content: Vec<u8>) -> bool {
        let media = MemoryMedia::default();
        let mut file = media.create("wal-0000000000000001").expect("create");
        file.append(&content).expect("append");
        let _ = WriteAheadLog::open(Box::new(media), SMALL_SEGMENTS);
        true
    }

    fn a_rewritten_log_holds_only_the_new_records(
        old: Vec<Vec<u8>>,
        new: Vec<Vec<u8>>
    ) -> TestResult {
        let media = MemoryMedia::default();
        write_all(&media, &old);
        let (mut log, _) = open(&media);
        log.rewrite(&new).expect("compaction");
        drop(log);
        media.crash(0);
        TestResult::from_bool(open(&media).1 == new)
    }
}

/// Truncates the segment at every byte; recovery must return a prefix of the records.
#[test]
fn every_truncation_point_leaves_a_prefix() {
    let records: Vec<Vec<u8>> = (0..6_u8)
        .map(|size| vec![size; usize::from(size) * 3])
        .collect();
    let segment_length = {
        let media = MemoryMedia::default();
        write_all(&media, &records);
        media.read("wal-0000000000000001").expect("segment").len()
    };
    for length in 0..=segment_length {
        let media = MemoryMedia::default();
        write_all(&media, &records);
        media.truncate_file("wal-0000000000000001", length);
        let recovered = open(&media).1;
        assert!(
            records.starts_with(&recovered),
            "truncated at byte {length}"
        );
    }
}

/// Inverts each byte of a segment that another one follows; opening the log must fail.
#[test]
fn corruption_before_later_records_is_rejected() {
    let records: Vec<Vec<u8>> = (0..12_u8).map(|fill| vec![fill; 40]).collect();
    let length = {
        let media = MemoryMedia::default();
        write_all(&media, &records);
        media.read("wal-0000000000000001").expect("segment").len()
    };
    for offset in 0..length {
        let media = MemoryMedia::default();
        write_all(&media, &records);
        media.corrupt_byte("wal-0000000000000001", offset);
        let error = WriteAheadLog::open(Box::new(media), SMALL_SEGMENTS)
            .err()
            .unwrap_or_else(|| panic!("corruption at byte {offset} was accepted"));
        let rejected = matches!(error.current_context(), StorageError::CorruptRecord { .. });
        assert!(rejected, "corruption at byte {offset}: {error:?}");
    }
}

#[test]
fn a_failed_sync_poisons_the_log() {
    let media = MemoryMedia::default();
    let (mut log, _) = open(&media);
    media.fail_syncs(true);
    log.append(b"record").expect("append");
    assert!(log.sync().is_err());
    media.fail_syncs(false);
    let error = log
        .append(b"next")
        .expect_err("a poisoned log rejects appends");
    assert_eq!(error.current_context(), &StorageError::Poisoned);
}

#[test]
fn a_crash_while_saving_a_snapshot_keeps_the_previous_one() {
    let media = MemoryMedia::default();
    let store = SnapshotStore::new(Box::new(media.clone()));
    store.save(b"first").expect("save");
    media.fail_syncs(true);
    assert!(store.save(b"second").is_err());
    media.crash(3);
    assert_eq!(store.load().expect("load"), Some(b"first".to_vec()));
}

/// A process is killed between a write and its sync, and the next process recovers the record.
/// Guards against losing the record in a later power failure.
#[test]
fn records_read_at_open_survive_a_power_loss() {
    let media = MemoryMedia::default();
    let (mut log, _) = open(&media);
    log.append(b"first").expect("append");
    media.fail_syncs(true);
    assert!(log.sync().is_err());
    drop(log);
    media.fail_syncs(false);
    let (_, read) = open(&media);
    assert_eq!(read, vec![b"first".to_vec()]);
    media.crash(0);
    assert_eq!(open(&media).1, read);
}

/// A power failure may corrupt any part of an unsynced write. Guards against treating it as
/// corruption of acknowledged records.
#[test]
fn a_corrupt_unsynced_batch_is_a_torn_tail() {
    let unsynced_batch = || {
        let media = MemoryMedia::default();
        write_all(&media, &[b"synced".to_vec()]);
        let (mut log, _) = open(&media);
        for record in 0..3_u8 {
            log.append(&[record; 20]).expect("append");
        }
        media.fail_syncs(true);
        assert!(log.sync().is_err());
        media.fail_syncs(false);
        media
    };
    let name = "wal-0000000000000002";
    let length = unsynced_batch().read(name).expect("segment").len();
    for offset in 0..length {
        let media = unsynced_batch();
        media.corrupt_byte(name, offset);
        let (_, read) = open(&media);
        assert_eq!(read, vec![b"synced".to_vec()], "byte {offset}");
    }
}

/// Guards against treating a folder of an unsupported format as empty.
#[test]
fn records_of_an_unsupported_format_are_rejected() {
    let media = MemoryMedia::default();
    let mut file = media.create("wal-0000000000000001").expect("create");
    file.append(b"RTW1, and what an earlier build wrote")
        .expect("append");
    let error = WriteAheadLog::open(Box::new(media), SMALL_SEGMENTS)
        .err()
        .expect("the folder is rejected");
    let rejected = matches!(
        error.current_context(),
        StorageError::UnsupportedFormat { .. }
    );
    assert!(rejected, "{error:?}");
}
