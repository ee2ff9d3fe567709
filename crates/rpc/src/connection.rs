//! Client connection to a control replica, which connects on demand and reconnects after a failure.

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
/// Maximum number of pending requests on one connection.
const MAX_PENDING_REQUESTS: usize = 1024;

/// Error of a call. The call may have been executed unless the replica was unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConnectionError {
    /// No connection could be established in time; nothing was sent.
    #[error("no connection to {address}")]
    Unreachable {
        /// Address of the replica.
        address: SocketAddr,
    },
    /// The call failed, or its deadline passed, after it may have been sent.
    #[error("no response from {address}")]
    NoResponse {
        /// Address of the replica.
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

/// Returns a call context with a deadline `limit` from now.
pub fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

impl ControlConnection {
    /// Creates a connection that is established by the first call.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            client: Mutex::new(None),
        }
    }

    /// Address of the replica.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs one call. After a failure, the next call establishes a new connection.
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
        let client = self.connect().await?;
        *slot = Some(client.clone());
        Ok(client)
    }

    async fn connect(&self) -> Result<ControlClient, Report<ConnectionError>> {
        let unreachable = ConnectionError::Unreachable {
            address: self.address,
        };
        let stream = timeout(self.connect_timeout, TcpStream::connect(self.address))
            .await
            .change_context(unreachable)?
            .change_context(unreachable)?;
        stream.set_nodelay(true).change_context(unreachable)?;
        // A machine that fails silently sends no reset, so a timeout on unacknowledged bytes detects it.
        socket2::SockRef::from(&stream)
            .set_tcp_user_timeout(Some(USER_TIMEOUT))
            .change_context(unreachable)?;
        let codec = ClientCodec::<ControlRequest, ControlResponse>::default();
        let mut config = client::Config::default();
        config.max_in_flight_requests = MAX_PENDING_REQUESTS;
        config.pending_request_buffer = MAX_PENDING_REQUESTS;
        Ok(ControlClient::new(config, Framed::new(stream, codec)).spawn())
    }
}
