//! Memory of where streams began.

use std::time::Duration;

use quickcheck::quickcheck;
use railtack_serving::{SoftwareVersion, StreamKey, StreamOrigin, StreamOrigins};

const SECOND: Duration = Duration::from_secs(1);

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "pool".to_owned(),
        software: SoftwareVersion::parse(software).expect("a version"),
    }
}

#[test]
fn a_stream_is_remembered_until_its_caller_cannot_come_back() {
    let mut origins = StreamOrigins::new(10);
    let key = StreamKey::of(Some("office"), "a");
    origins.record(key, origin("v1"), SECOND * 3, SECOND);
    assert_eq!(origins.get(key, SECOND * 3), Some(&origin("v1")));
    assert_eq!(origins.get(key, SECOND * 4), None);
    origins.record(StreamKey::of(None, "b"), origin("v1"), SECOND, SECOND * 4);
    assert_eq!(origins.len(), 1);
}

/// Guards against a caller who uses an id twice being continued at the wrong one of two versions.
#[test]
fn two_origins_of_one_attempt_are_none() {
    let mut origins = StreamOrigins::new(10);
    let key = StreamKey::of(Some("office"), "a");
    origins.record(key, origin("v1"), SECOND, Duration::ZERO);
    origins.record(key, origin("v1"), SECOND, Duration::ZERO);
    assert_eq!(origins.get(key, Duration::ZERO), Some(&origin("v1")));
    origins.record(key, origin("v2"), SECOND, Duration::ZERO);
    assert_eq!(origins.get(key, Duration::ZERO), None);
    origins.record(key, origin("v2"), SECOND, Duration::ZERO);
    assert_eq!(origins.get(key, Duration::ZERO), None);
}

/// Guards against one tenant learning of, or being sent where, another one's stream began.
#[test]
fn tenants_do_not_share_ids() {
    let keys = [
        StreamKey::of(Some("office"), "a"),
        StreamKey::of(Some("officea"), ""),
        StreamKey::of(Some("counter"), "a"),
        StreamKey::of(Some(""), "officea"),
        StreamKey::of(None, "officea"),
        StreamKey::of(None, "a"),
    ];
    for (position, key) in keys.iter().enumerate() {
        assert!(!keys[position + 1..].contains(key), "{position}");
    }
}

quickcheck! {
    /// Guards against a memory that grows without bound, or forgets a stream while there is room.
    fn the_memory_is_bounded_and_forgets_those_that_expire_first(streams: Vec<(u8, u8)>) -> bool {
        const CAPACITY: usize = 8;
        let mut origins = StreamOrigins::new(CAPACITY);
        let mut expected: Vec<(Duration, StreamKey)> = Vec::new();
        for (number, keep) in streams {
            let key = StreamKey(u128::from(number));
            let keep = SECOND * u32::from(keep) + SECOND;
            origins.record(key, origin("v1"), keep, Duration::ZERO);
            let before = expected.iter().position(|(_, known)| *known == key);
            let known = before.map(|position| expected.remove(position).0);
            expected.push((known.unwrap_or_default().max(keep), key));
            expected.sort();
            if expected.len() > CAPACITY {
                expected.remove(0);
            }
        }
        let remembered = |key: &StreamKey| origins.get(*key, Duration::ZERO).is_some();
        origins.len() == expected.len() && expected.iter().all(|(_, key)| remembered(key))
    }
}
