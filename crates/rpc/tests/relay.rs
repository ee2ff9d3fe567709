//! Messages between routers.

use railtack_rpc::relay::{RelayRefusal, RelayReply, RelayRequest, read_message, write_message};

fn request() -> RelayRequest {
    RelayRequest {
        router: "r1".to_owned(),
        replica: "i-7#3".to_owned(),
        request: "9c41".to_owned(),
        valid_ms: 4_500,
    }
}

async fn written<T: speedy::Writable<speedy::LittleEndian>>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_message(&mut bytes, message).await.expect("written");
    bytes
}

/// Guards against layouts that another build cannot read.
#[tokio::test]
async fn layouts_are_unchanged() {
    let expected = b"\x1b\0\0\0\x02\0\0\0r1\x05\0\0\0i-7#3\x04\0\0\09c41\x94\x11\0\0";
    assert_eq!(written(&request()).await, expected);
    let replies = [
        (RelayReply::Connected, vec![4, 0, 0, 0, 0, 0, 0, 0]),
        (
            RelayReply::Refused(RelayRefusal::UnknownReplica),
            vec![8, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0],
        ),
        (
            RelayReply::Refused(RelayRefusal::NotServing),
            vec![8, 0, 0, 0, 1, 0, 0, 0, 4, 0, 0, 0],
        ),
    ];
    for (reply, expected) in replies {
        assert_eq!(written(&reply).await, expected);
        let read: RelayReply = read_message(&mut &expected[..]).await.expect("read");
        assert_eq!(read, reply);
    }
    let read: RelayRequest = read_message(&mut &expected[..]).await.expect("read");
    assert_eq!(read, request());
}

/// Guards against a peer that makes a router allocate memory.
#[tokio::test]
async fn messages_that_are_too_long_or_malformed_are_refused() {
    let too_long = [0xff_u8; 64];
    let read = read_message::<RelayRequest, _>(&mut &too_long[..]).await;
    assert!(read.is_err(), "{read:?}");
    let cut = [8_u8, 0, 0, 0, 1, 0];
    let read = read_message::<RelayReply, _>(&mut &cut[..]).await;
    assert!(read.is_err(), "{read:?}");
    let malformed = [4_u8, 0, 0, 0, 9, 9, 9, 9];
    let read = read_message::<RelayReply, _>(&mut &malformed[..]).await;
    assert!(read.is_err(), "{read:?}");
}
