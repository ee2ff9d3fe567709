//! Rolls out weights to the engines that the platform lists.

use std::{net::SocketAddr, time::Duration};

use railtack_backend_api::{EngineStatus, MachineKind, MachineList, OrderReply, OrderRequest};
use railtack_core::{EngineId, ModelName};
use railtack_http::HttpClient;
use railtack_rpc::protocol::{Command, EngineOrder, Proposal};

use super::unix_millis;
use crate::{
    node::{LeaderView, NodeHandle, NodeInput},
    rollout::{self, ObservedEngines, RolloutStep},
    state::IssuedOrder,
};

/// Interval of the loop.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request to an engine or the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Rolls out the configured weights to the engines while this replica is the leader.
pub(super) async fn run(handle: NodeHandle, platform: SocketAddr) {
    let client = HttpClient::new(PLATFORM_TIMEOUT);
    let mut interval = tokio::time::interval(ROLLOUT_INTERVAL);
    loop {
        interval.tick().await;
        let Ok(view) = handle.request(NodeInput::LeaderView).await else {
            return;
        };
        let active_view = view.filter(|view| !view.configuration.models.is_empty());
        if let Some(view) = active_view {
            run_step(&handle, &client, platform, &view).await;
        }
    }
}

async fn run_step(
    handle: &NodeHandle,
    client: &HttpClient,
    platform: SocketAddr,
    view: &LeaderView,
) {
    let (listed, engines) = fetch_engine_statuses(client, platform).await;
    let statuses: Vec<EngineStatus> = engines.iter().map(|(_, status)| status.clone()).collect();
    let observed = ObservedEngines {
        statuses: &statuses,
        listed: &listed,
    };
    let RolloutStep { record, send } =
        rollout::next_step(&view.configuration, &view.orders, observed);
    for (engine, order) in record {
        let command = Command::Order { engine, order };
        let proposal = Proposal {
            at: unix_millis(),
            command,
        };
        // If recording fails, the next iteration retries.
        let _ = handle
            .request(|sender| NodeInput::Propose(proposal, sender))
            .await;
    }
    for (engine, issued) in send {
        let address = engines
            .iter()
            .find(|(_, status)| status.engine == engine)
            .map(|(address, _)| *address);
        if let Some(address) = address {
            send_order(client, address, &issued).await;
        }
    }
}

/// Returns the engines that the platform lists, and the status of those that respond.
async fn fetch_engine_statuses(
    client: &HttpClient,
    platform: SocketAddr,
) -> (Vec<(EngineId, ModelName)>, Vec<(SocketAddr, EngineStatus)>) {
    let list = client
        .get_json::<MachineList>(platform, "/machines", PLATFORM_TIMEOUT)
        .await
        .unwrap_or_default();
    let mut listed = Vec::new();
    let mut engines = Vec::new();
    for machine in list.machines {
        let MachineKind::Engine { engine, model } = machine.kind else {
            continue;
        };
        listed.push((engine, model));
        let status = client
            .get_json::<EngineStatus>(machine.address, "/status", PLATFORM_TIMEOUT)
            .await;
        engines.extend(status.ok().map(|status| (machine.address, status)));
    }
    (listed, engines)
}

async fn send_order(client: &HttpClient, address: SocketAddr, issued: &IssuedOrder) {
    let EngineOrder::Load(target) = &issued.order;
    let request = OrderRequest {
        token: issued.token,
        model: target.name.clone(),
        weights_version: target.weights_version,
    };
    let content = serde_json::to_vec(&request).unwrap_or_default();
    // If the engine does not accept the order, the next iteration resends it.
    let _ = client
        .post_json::<OrderReply>(address, "/orders", content, PLATFORM_TIMEOUT)
        .await;
}
