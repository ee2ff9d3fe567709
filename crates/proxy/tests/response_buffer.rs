//! Buffers of responses that are received completely.

use std::sync::Arc;

use railtack_proxy::response_buffer::{BufferRoom, ResponseBuffer, ResponseTooLarge};

const MEGABYTE: usize = 1024 * 1024;

/// Guards against a router that runs out of memory by large responses, and sound ones that are not received beside them.
#[test]
fn large_responses_share_a_bounded_room_and_small_ones_need_none() {
    let room = Arc::<BufferRoom>::default();
    let megabyte = vec![0; MEGABYTE];
    let mut large: Vec<ResponseBuffer> = (0..40)
        .map(|_| ResponseBuffer::new(Arc::clone(&room)))
        .collect();
    let mut received = 0;
    for buffer in &mut large {
        while buffer.push(&megabyte).is_ok() {
            received += MEGABYTE;
        }
    }
    assert!(received <= 74 * MEGABYTE, "{received} bytes");
    let mut small = ResponseBuffer::new(Arc::clone(&room));
    assert_eq!(small.push(&megabyte[..100_000]), Ok(()));
    assert_eq!(small.finish().len(), 100_000);
    drop(large);
    let mut next = ResponseBuffer::new(room);
    for _ in 0..16 {
        assert_eq!(next.push(&megabyte), Ok(()));
    }
    assert_eq!(next.push(b"x"), Err(ResponseTooLarge));
}

/// Guards against responses whose room counts as free while their callers read nothing.
#[test]
fn a_complete_response_keeps_its_room_until_it_is_taken() {
    let room = Arc::new(BufferRoom::new(2 * MEGABYTE));
    let megabyte = vec![0; MEGABYTE];
    let mut first = ResponseBuffer::new(Arc::clone(&room));
    for _ in 0..2 {
        assert_eq!(first.push(&megabyte), Ok(()));
    }
    let complete = first.finish();
    let mut second = ResponseBuffer::new(Arc::clone(&room));
    assert_eq!(second.push(&megabyte), Err(ResponseTooLarge));
    let part = complete.slice(..10);
    drop(complete);
    assert_eq!(second.push(&megabyte), Err(ResponseTooLarge));
    drop(part);
    assert_eq!(second.push(&megabyte), Ok(()));
}

/// Guards against responses that are ready and fail because another one has the room.
#[tokio::test]
async fn a_response_waits_for_its_room() {
    let room = Arc::new(BufferRoom::new(2 * MEGABYTE));
    let mut first = ResponseBuffer::new(Arc::clone(&room));
    assert_eq!(first.reserve(2 * MEGABYTE).await, Ok(false));
    let mut second = ResponseBuffer::new(Arc::clone(&room));
    let waiting = tokio::spawn(async move { second.reserve(MEGABYTE).await });
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    drop(first);
    assert_eq!(waiting.await.expect("no panic"), Ok(true));
    let mut too_large = ResponseBuffer::new(room);
    assert_eq!(too_large.reserve(3 * MEGABYTE).await, Err(ResponseTooLarge));
}
