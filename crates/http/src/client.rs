//! HTTP client for back ends and the platform.

use std::{net::SocketAddr, time::Duration};

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
    head_limit::{HeadLimit, HeadLimitedStream},
    response_head,
};

/// Maximum size of a JSON response, bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const MAX_IDLE_PER_HOST: usize = 64;

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client with the given timeout for opening a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the response once its head is received.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.client.request(request).await;
        let response = sent.map_err(|error| {
            if error.is_connect() {
                SendError::NotSent
            } else {
                SendError::MaybeSent
            }
        })?;
        with_valid_head(response)
    }

    /// Sends a GET request and parses the JSON response.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        time_limit: Duration,
    ) -> Result<T, Report<HttpError>> {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .change_context(HttpError::InvalidRequest)?;
        self.exchange_json(address, request, time_limit).await
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        content: Vec<u8>,
        time_limit: Duration,
    ) -> Result<T, Report<HttpError>> {
        let request = Request::post(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(content)))
            .change_context(HttpError::InvalidRequest)?;
        self.exchange_json(address, request, time_limit).await
    }

    async fn exchange_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<T, Report<HttpError>> {
        let no_response = HttpError::NoResponse { address };
        let response = timeout(time_limit, self.send(request))
            .await
            .change_context(no_response)?
            .change_context(no_response)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Report::new(HttpError::Status { address, status }));
        }
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, time_limit)
            .await
            .change_context(no_response)?;
        serde_json::from_slice(&body).change_context(HttpError::Malformed { address })
    }
}

/// Sends one request on a new connection.
///
/// If a pooled connection is closed while a request is written, it is unknown whether the request
/// was received. With a new connection, a failure to connect proves that it was not sent.
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
    let limit = HeadLimit::default();
    let stream = HeadLimitedStream::new(stream, limit.clone());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::NotSent)?;
    tokio::spawn(connection);
    limit.await_head();
    let response = sender
        .send_request(request)
        .await
        .map_err(|_| SendError::MaybeSent)?;
    limit.head_received();
    with_valid_head(response)
}

/// Passes on a response in the protocol. The request may have run that got another one.
fn with_valid_head(response: Response<Incoming>) -> Result<Response<Incoming>, SendError> {
    match response_head::check(response.status(), response.headers()) {
        Ok(()) => Ok(response),
        Err(invalid) => {
            spdlog::info!("response with an invalid head", kv: {
                reason = invalid.name(),
                status = response.status().as_u16(),
            });
            Err(SendError::MaybeSent)
        }
    }
}
