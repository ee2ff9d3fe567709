//! A client that dials on demand and dials again after a failure.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use tarpc::{client, context};
use thiserror::Error;
use tokio::{net::TcpStream, sync::Mutex, time::timeout};
use tokio_util::codec::Framed;

use crate::{
    codec::ClientCodec,
    service::{ControlClient, ControlRequest, ControlResponse},
};

/// Time after which a connection with unacknowledged bytes counts as broken.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that may wait on one connection.
const PENDING_REQUESTS: usize = 1024;

/// Why a call got no answer. It may have been carried out unless the connection was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConnectionError {
    /// No connection could be made in time; nothing was sent.
    #[error("no connection to {address}")]
    Unreachable {
        /// The replica's address.
        address: SocketAddr,
    },
    /// The call failed or its deadline passed after it may have been sent.
    #[error("no answer from {address}")]
    NoResponse {
        /// The replica's address.
        address: SocketAddr,
    },
}

/// A connection to one control replica.
#[derive(Debug)]
pub struct ControlConnection {
    address: SocketAddr,
    connect_timeout: Duration,
    client: Mutex<Option<ControlClient>>,
}

/// A context whose deadline lies `limit` from now.
pub fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

impl ControlConnection {
    /// A connection that is made at the first call.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            client: Mutex::new(None),
        }
    }

    /// The replica's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs one call; after a failure the next call dials anew.
    pub async fn call<T, F>(
        &self,
        call: impl FnOnce(ControlClient) -> F,
    ) -> Result<T, Report<ConnectionError>>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let client = self.client().await?;
        let outcome = call(client).await;
        if outcome.is_err() {
            self.client.lock().await.take();
        }
        outcome.change_context(ConnectionError::NoResponse {
            address: self.address,
        })
    }

    async fn client(&self) -> Result<ControlClient, Report<ConnectionError>> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let client = self.dial().await?;
        *slot = Some(client.clone());
        Ok(client)
    }

    async fn dial(&self) -> Result<ControlClient, Report<ConnectionError>> {
        let unreachable = ConnectionError::Unreachable {
            address: self.address,
        };
        let stream = timeout(self.connect_timeout, TcpStream::connect(self.address))
            .await
            .change_context(unreachable)?
            .change_context(unreachable)?;
        stream.set_nodelay(true).change_context(unreachable)?;
        // A machine that falls silent resets nothing; unacknowledged bytes must not wait for it.
        socket2::SockRef::from(&stream)
            .set_tcp_user_timeout(Some(USER_TIMEOUT))
            .change_context(unreachable)?;
        let codec = ClientCodec::<ControlRequest, ControlResponse>::default();
        let mut config = client::Config::default();
        config.max_in_flight_requests = PENDING_REQUESTS;
        config.pending_request_buffer = PENDING_REQUESTS;
        Ok(ControlClient::new(config, Framed::new(stream, codec)).spawn())
    }
}
