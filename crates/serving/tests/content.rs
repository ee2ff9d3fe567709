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

/// Guards against parts that are taken for others, and whole requests for parts.
#[test]
fn parts_of_prompts_are_told_apart_by_service() {
    let part = ContentKey::of_prompt_part("pool", 7);
    assert!(part.is_prompt_part());
    assert_eq!(part, ContentKey::of_prompt_part("pool", 7));
    assert_ne!(part, ContentKey::of_prompt_part("pool", 8));
    assert_ne!(part, ContentKey::of_prompt_part("other", 7));
    assert!(!ContentKey(7).is_prompt_part());
}
