//! Tests that the codec does not panic on malformed input.

use bytes::{BufMut, BytesMut};
use quickcheck::quickcheck;
use railtack_consensus::{Body, DiskId, Message, ReplicaId};
use railtack_rpc::{
    codec::{ClientCodec, ServerCodec},
    protocol::{Command, Proposal},
    service::{ControlRequest, ControlResponse},
};
use speedy::{Readable, Writable};
use tokio_util::codec::Decoder;

fn framed(content: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u32(content.len() as u32);
    bytes.extend_from_slice(content);
    bytes
}

quickcheck! {
    fn arbitrary_bytes_do_not_panic(content: Vec<u8>) -> bool {
        let mut server = ServerCodec::<ControlRequest, ControlResponse>::default();
        let mut client = ClientCodec::<ControlRequest, ControlResponse>::default();
        let _ = server.decode(&mut BytesMut::from(content.as_slice()));
        let _ = client.decode(&mut BytesMut::from(content.as_slice()));
        true
    }

    fn arbitrary_frames_do_not_panic(content: Vec<u8>) -> bool {
        let mut server = ServerCodec::<ControlRequest, ControlResponse>::default();
        let mut client = ClientCodec::<ControlRequest, ControlResponse>::default();
        let _ = server.decode(&mut framed(&content));
        let _ = client.decode(&mut framed(&content));
        true
    }

    fn a_truncated_message_is_an_error(term: u64, last_index: u64, length: usize) -> bool {
        let message = Message {
            from: ReplicaId(1),
            from_disk: DiskId(2),
            to: ReplicaId(3),
            to_disk: DiskId(4),
            term,
            body: Body::Vote { last_index, last_term: term },
        };
        let bytes = message.write_to_vec().expect("writing into memory");
        let decoded = Message::read_from_buffer(&bytes).expect("what was written is read");
        let truncated = &bytes[..length % bytes.len()];
        decoded == message && Message::read_from_buffer(truncated).is_err()
    }

    fn corrupted_proposals_do_not_panic(at: u64, position: usize, value: u8) -> bool {
        let proposal = Proposal { at, command: Command::Barrier };
        let mut bytes = proposal.write_to_vec().expect("writing into memory");
        let position = position % bytes.len();
        bytes[position] = value;
        let _ = Proposal::read_from_buffer(&bytes);
        true
    }
}
