//! Checks whether the port of a replica closes.

use std::net::{IpAddr, SocketAddr};

use tokio::time::{Instant, timeout_at};

use crate::pool::{Pool, PortState, ProbeConnection};

/// Maximum number of connections opened to check a port; a replica may close them for other
/// reasons.
const MAX_PORT_PROBES: u32 = 3;

/// Checks whether the port of a replica closes. An exiting process closes its connections and its
/// listening port one after the other; a connection accepted in between is closed with the port.
/// One check is therefore not enough.
#[derive(Debug)]
pub struct PortProbe {
    address: SocketAddr,
    pool: Pool,
    probes_left: u32,
    /// The last connection that was established.
    open: Option<ProbeConnection>,
}

impl PortProbe {
    /// Creates a probe that connects from `source`, or from an address that the system chooses.
    pub fn new(address: SocketAddr, source: Option<IpAddr>) -> Self {
        Self {
            address,
            pool: Pool::with_source(source),
            probes_left: MAX_PORT_PROBES,
            open: None,
        }
    }

    /// Whether the port refuses connections by `until`.
    pub async fn refuses(&mut self, until: Instant) -> bool {
        loop {
            if let Some(open) = &mut self.open {
                if timeout_at(until, open.closed()).await.is_err() {
                    return false;
                }
                self.open = None;
            }
            if self.probes_left == 0 {
                return false;
            }
            self.probes_left -= 1;
            match self.pool.probe_port(self.address).await {
                PortState::Refused => return true,
                PortState::Unknown => return false,
                PortState::Open(open) => self.open = Some(open),
            }
        }
    }

    /// Returns the connection that is still open, if any.
    pub fn into_connection(self) -> Option<ProbeConnection> {
        self.open
    }
}
