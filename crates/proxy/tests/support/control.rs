//! A control replica that replies from memory.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use futures::StreamExt;
use railtack_consensus::{Message, ReplicaId};
use railtack_rpc::{
    Control, FeatureLevel, PeerInfo,
    codec::ServerCodec,
    permits::{PermitReply, PermitRequest},
    protocol::{
        Configuration, MembershipChange, MembershipReply, PollReply, PollRequest, Proposal,
        ProposeReply, ReplicaIdentity, StatusReply,
    },
    service::{ControlRequest, ControlResponse},
    serving::{
        JoinReply, JoinRequest, LivenessReply, LivenessReport, QuotaReply, QuotaRequest,
        ReadIndexReply, ServingUpdate, SuspectStatus, WatchReply, WatchRequest,
    },
    slots::{SlotReply, SlotRequest},
    streams::{OnlyVersionRequest, StreamRecord},
};
use railtack_serving::{SoftwareVersion, StreamKey, StreamOrigin};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, task::AbortHandle};
use tokio_util::codec::Framed;

/// Numbers of watch requests, in total and for replica records.
#[derive(Clone, Default)]
pub struct RequestCounts {
    pub total: Arc<AtomicU32>,
    pub for_records: Arc<AtomicU32>,
}

/// A control replica, by default with a confirmed state, that replies immediately with the same update.
#[derive(Clone)]
pub struct ControlStub {
    pub counts: RequestCounts,
    pub zone: &'static str,
    pub members: Vec<String>,
    /// Age of the confirmation of its state.
    pub confirmed_age_ms: Option<u64>,
    /// The update it sends; `None` before the first configuration.
    pub update: Option<ServingUpdate>,
    /// Where streams began, as recorded.
    pub origins: Arc<Mutex<HashMap<StreamKey, StreamOrigin>>>,
    /// The only version that it tells.
    pub only_version: Option<SoftwareVersion>,
    pub connections: Arc<Mutex<Vec<AbortHandle>>>,
}

impl ControlStub {
    /// Closes all open connections.
    pub fn close_connections(&self) {
        let mut connections = self.connections.lock().expect("no panic while locked");
        for connection in connections.drain(..) {
            connection.abort();
        }
    }
}

impl Default for ControlStub {
    fn default() -> Self {
        Self {
            counts: RequestCounts::default(),
            zone: "a",
            members: Vec::new(),
            confirmed_age_ms: Some(0),
            update: None,
            origins: Arc::default(),
            only_version: None,
            connections: Arc::default(),
        }
    }
}

impl Control for ControlStub {
    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        self.counts.total.fetch_add(1, Ordering::Relaxed);
        if request.wants_records {
            self.counts.for_records.fetch_add(1, Ordering::Relaxed);
        }
        WatchReply {
            confirmed_age_ms: self.confirmed_age_ms,
            delayed_ms: 0,
            zone: self.zone.to_owned(),
            members: self.members,
            routers: 1_000,
            update: self.update,
            fleet: None,
            group_level: FeatureLevel::SUPPORTED,
            relays: Vec::new(),
            configuration: None,
            invalidations: None,
            target_ages: Vec::new(),
        }
    }

    async fn record_streams(self, _: Context, records: Vec<StreamRecord>) -> bool {
        let mut origins = self.origins.lock().expect("no panic while locked");
        origins.extend(
            records
                .into_iter()
                .map(|record| (record.key, record.origin)),
        );
        true
    }

    async fn find_stream(self, _: Context, key: StreamKey) -> Option<StreamOrigin> {
        let origins = self.origins.lock().expect("no panic while locked");
        origins.get(&key).cloned()
    }

    async fn only_version(self, _: Context, _: OnlyVersionRequest) -> Option<SoftwareVersion> {
        self.only_version
    }

    async fn deliver(self, _: Context, _: Message, _: PeerInfo) {
        pending().await
    }

    async fn poll(self, _: Context, _: PollRequest) -> PollReply {
        pending().await
    }

    async fn propose(self, _: Context, _: Proposal) -> ProposeReply {
        pending().await
    }

    async fn configuration(self, _: Context) -> Configuration {
        pending().await
    }

    async fn identify(self, _: Context) -> ReplicaIdentity {
        pending().await
    }

    async fn status(self, _: Context) -> StatusReply {
        pending().await
    }

    async fn change_membership(self, _: Context, _: MembershipChange) -> MembershipReply {
        pending().await
    }

    async fn join(self, _: Context, _: JoinRequest) -> JoinReply {
        pending().await
    }

    async fn read_index(self, _: Context) -> ReadIndexReply {
        pending().await
    }

    async fn alive(self, _: Context, _: LivenessReport) -> LivenessReply {
        pending().await
    }

    async fn snapshot(self, _: Context) -> u64 {
        pending().await
    }

    async fn leave(self, _: Context, _: ReplicaId) -> JoinReply {
        pending().await
    }

    async fn suspects(self, _: Context) -> Vec<SuspectStatus> {
        pending().await
    }

    async fn take_quota(self, _: Context, _: QuotaRequest) -> QuotaReply {
        pending().await
    }

    async fn remove_if_silent(self, _: Context, _: String) -> bool {
        pending().await
    }

    async fn lease_slots(self, _: Context, _: SlotRequest) -> SlotReply {
        pending().await
    }

    async fn take_permit(self, _: Context, _: PermitRequest) -> PermitReply {
        pending().await
    }
}

/// Accepts connections; never returns.
pub async fn serve(listener: TcpListener, service: ControlStub) {
    while let Ok((stream, _)) = listener.accept().await {
        let codec = ServerCodec::<ControlRequest, ControlResponse>::default();
        let channel = BaseChannel::with_defaults(Framed::new(stream, codec));
        let requests = channel.execute(service.clone().serve());
        let connection = tokio::spawn(requests.for_each(|request| async {
            tokio::spawn(request);
        }));
        let mut connections = service.connections.lock().expect("no panic while locked");
        connections.push(connection.abort_handle());
    }
}
