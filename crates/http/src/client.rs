//! Sending requests to back ends and the platform.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, header::HOST, http::HeaderValue};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
};
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, time::timeout};

use crate::{
    body::read_body,
    errors::{HttpError, SendError},
};

/// Largest answer read as a whole.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;
/// Idle connections kept to each address.
const IDLE_CONNECTIONS: usize = 64;

/// A client that keeps connections open between requests.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client whose connections must be made within `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                SendError::NotSent
            } else {
                SendError::MaybeSent
            }
        })
    }

    /// Fetches a JSON document.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, Report<HttpError>> {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .change_context(HttpError::InvalidRequest)?;
        self.exchange_json(address, request, limit).await
    }

    /// Posts a JSON document and reads the JSON answer.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        content: Vec<u8>,
        limit: Duration,
    ) -> Result<T, Report<HttpError>> {
        let request = Request::post(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(content)))
            .change_context(HttpError::InvalidRequest)?;
        self.exchange_json(address, request, limit).await
    }

    async fn exchange_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<T, Report<HttpError>> {
        let no_answer = HttpError::NoAnswer { address };
        let response = timeout(limit, self.send(request))
            .await
            .change_context(no_answer)?
            .change_context(no_answer)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Report::new(HttpError::Status { address, status }));
        }
        let body = read_body(response.into_body(), ANSWER_LIMIT, limit)
            .await
            .change_context(no_answer)?;
        serde_json::from_slice(&body).change_context(HttpError::Malformed { address })
    }
}

/// Whether nobody listens at an address: its port refuses connections. False if it accepts them, and
/// if nothing is heard within `limit`.
pub async fn is_port_closed(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connected.is_ok_and(|connected| connected.as_ref().err().is_some_and(refused))
}

/// Sends one request on a connection of its own.
///
/// A pooled connection may turn out to be closed just as a request is written to it, and then
/// nobody knows whether it was received. Here a failure to connect proves that it was not sent.
pub async fn send_on_new_connection(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<Response<Incoming>, SendError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::NotSent)?
        .map_err(|_| SendError::NotSent)?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|_| SendError::NotSent)?;
    request.headers_mut().insert(HOST, host);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::NotSent)?;
    tokio::spawn(connection);
    sender
        .send_request(request)
        .await
        .map_err(|_| SendError::MaybeSent)
}
