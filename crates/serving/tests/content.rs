//! Tests of which requests have the same content key.

use railtack_serving::{ContentKey, RequestContent};

fn request() -> RequestContent<'static> {
    RequestContent {
        method: "POST",
        host: "a.example",
        target: "/chat/x?y=1",
        tenant: "office",
        body: b"prompt",
    }
}

#[test]
fn equal_requests_have_equal_keys() {
    assert_eq!(ContentKey::of(request()), ContentKey::of(request()));
}

#[test]
fn the_key_depends_on_each_part_and_on_their_boundaries() {
    let others = [
        RequestContent {
            method: "PUT",
            ..request()
        },
        RequestContent {
            host: "b.example",
            ..request()
        },
        RequestContent {
            target: "/chat/x?y=2",
            ..request()
        },
        RequestContent {
            tenant: "other",
            ..request()
        },
        RequestContent {
            body: b"another prompt",
            ..request()
        },
        // The same bytes, with another boundary between tenant and body.
        RequestContent {
            tenant: "officep",
            body: b"rompt",
            ..request()
        },
    ];
    let key = ContentKey::of(request());
    for other in others {
        assert_ne!(ContentKey::of(other), key, "{other:?}");
    }
}

/// Guards against segments that are taken for others, and whole requests for segments.
#[test]
fn segments_of_prompts_are_told_apart_by_service() {
    let segment = ContentKey::of_prompt_segment("pool", 7);
    assert!(segment.is_prompt_segment());
    assert_eq!(segment, ContentKey::of_prompt_segment("pool", 7));
    assert_ne!(segment, ContentKey::of_prompt_segment("pool", 8));
    assert_ne!(segment, ContentKey::of_prompt_segment("other", 7));
    assert!(!ContentKey(7).is_prompt_segment());
}
