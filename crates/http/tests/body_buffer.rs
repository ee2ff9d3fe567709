//! Buffers of bodies that arrive in chunks of any size.

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use quickcheck::quickcheck;
use railtack_http::{ReceiveError, body_buffer::BodyBuffer};

const LIMIT: usize = 400_000;
/// Memory that a buffer may take beyond its content: what a step or a doubling leaves empty.
const SLACK_BYTES: usize = 64 * 1024;

fn body(chunks: &[Vec<u8>]) -> impl hyper::body::Body<Data = Bytes> + Unpin {
    let frames: Vec<_> = chunks
        .iter()
        .map(|chunk| Ok::<_, std::io::Error>(Frame::data(Bytes::copy_from_slice(chunk))))
        .collect();
    StreamBody::new(stream::iter(frames))
}

fn fill(chunks: &[Vec<u8>], limit: usize) -> Result<(Bytes, usize), ReceiveError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(async {
        let mut buffer = BodyBuffer::new(limit);
        buffer.fill(&mut body(chunks), limit, |_| Ok(())).await?;
        let allocated = buffer.allocated();
        Ok((buffer.into_bytes(), allocated))
    })
}

quickcheck! {
    fn the_content_does_not_depend_on_its_chunks(sizes: Vec<u16>) -> bool {
        let chunks: Vec<Vec<u8>> = sizes.iter().map(|size| vec![*size as u8; usize::from(*size)]).collect();
        let whole = chunks.concat();
        match fill(&chunks, LIMIT) {
            Ok((content, allocated)) => {
                content == whole && allocated >= whole.len() && allocated <= whole.len() + SLACK_BYTES
            }
            Err(error) => error == ReceiveError::TooLarge { limit: LIMIT } && whole.len() > LIMIT,
        }
    }
}

/// Guards against a body that costs a multiple of its size because each of its bytes is a chunk.
#[test]
fn a_body_in_chunks_of_one_byte_takes_its_size() {
    let chunks = vec![b"x".to_vec(); LIMIT];
    let (content, allocated) = fill(&chunks, LIMIT).expect("a body");
    assert_eq!(content.len(), LIMIT);
    assert!(allocated <= LIMIT + SLACK_BYTES, "{allocated}");
}

#[test]
fn memory_is_reserved_before_it_is_taken() {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let refused = runtime.expect("a runtime").block_on(async {
        let mut buffer = BodyBuffer::new(LIMIT);
        let reserve = |bytes| match bytes <= 100_000 {
            true => Ok(()),
            false => Err(ReceiveError::NoRoom),
        };
        let chunks = vec![vec![b'x'; 10_000]; 30];
        let filled = buffer.fill(&mut body(&chunks), LIMIT, reserve).await;
        assert!(buffer.allocated() <= 100_000, "{}", buffer.allocated());
        filled
    });
    assert_eq!(refused, Err(ReceiveError::NoRoom));
}
