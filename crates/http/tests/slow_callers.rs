//! Connections whose peers send a head too slowly, rest, or read nothing.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, body::Frame, body::Incoming};
use railtack_http::{Body, ConnectionLimits, ServeOptions, full, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Time after which a test fails.
const PATIENCE: Duration = Duration::from_secs(20);
/// A limit that no test reaches.
const LONG: Duration = Duration::from_secs(600);
const SHORT: Duration = Duration::from_millis(100);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

async fn start<H, F>(limits: ConnectionLimits, handler: H) -> SocketAddr
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let options = ServeOptions {
        limits,
        ..ServeOptions::default()
    };
    let never = CancellationToken::new();
    tokio::spawn(async move { serve(listener, options, never, handler).await });
    address
}

async fn respond(_: Request<Incoming>) -> Response<Body> {
    Response::new(full("done"))
}

fn limits(idle_timeout: Duration, head_timeout: Duration) -> ConnectionLimits {
    ConnectionLimits {
        idle_timeout,
        head_timeout,
        ..ConnectionLimits::default()
    }
}

async fn read_response(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"done") {
        let byte = timeout(PATIENCE, stream.read_u8()).await;
        received.push(byte.expect("in time").expect("a byte"));
    }
}

/// Guards against a head that is awaited for the time of an idle connection.
#[tokio::test]
async fn a_head_that_stops_is_not_awaited_for_long() {
    let address = start(limits(LONG, SHORT), respond).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(&REQUEST[..9]).await.expect("it is sent");
    let mut rest = Vec::new();
    let closed = timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
    closed.expect("it is closed").expect("not reset");
    assert!(rest.is_empty(), "{rest:?}");
}

/// Guards against a connection that is closed between two requests, or before the first, for the time of a head.
#[tokio::test]
async fn a_connection_may_rest_longer_than_a_head_may_take() {
    let address = start(limits(LONG, SHORT), respond).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    for _ in 0..2 {
        tokio::time::sleep(3 * SHORT).await;
        stream.write_all(REQUEST).await.expect("it is sent");
        read_response(&mut stream).await;
    }
}

/// A response without end.
async fn respond_without_end(_: Request<Incoming>) -> Response<Body> {
    let chunk = Bytes::from_static(&[b'x'; 65_536]);
    let frames = stream::repeat_with(move || Ok::<_, std::io::Error>(Frame::data(chunk.clone())));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Guards against a response that is held for a peer that never reads it.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_reads_nothing_is_cut_off() {
    let address = start(limits(SHORT, LONG), respond_without_end).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(REQUEST).await.expect("it is sent");
    stream.read_u8().await.expect("a byte");
    tokio::time::sleep(20 * SHORT).await;
    let mut buffer = vec![0; 65_536];
    let end = async { while matches!(stream.read(&mut buffer).await, Ok(bytes) if bytes > 0) {} };
    let ended = timeout(PATIENCE, end).await;
    assert!(ended.is_ok(), "the response goes on");
}
