//! A router that was suspended while the members of the control group changed.

mod support;

use std::time::Duration;

use railtack_lab::fleet::Fault;
use support::start_fleet;

/// Time in which a router learns of a change of members; many polls.
const LEARN_TIME: Duration = Duration::from_secs(1);
/// Time after which a lease from before the suspension is over.
const LEASE_TIME: Duration = Duration::from_secs(7);

/// Guards against a router that knows former members of the control group only, and is never ready again once these
/// are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_finds_the_control_replicas_of_its_settings_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut prepared = start_fleet(folder.path(), 30, |shape| {
        shape.routers = 1;
        shape.engines = 2;
    })
    .await;
    let fleet = &mut prepared.fleet;
    for replica in ["2", "3"] {
        let removed = fleet.run_ctl(&["members", "remove", replica]).await;
        removed.expect("a member less");
    }
    tokio::time::sleep(LEARN_TIME).await;
    fleet.routers[0]
        .inject(Fault::Freeze)
        .await
        .expect("a signal");
    for position in [1, 2] {
        let address = fleet.endpoints.control[position].listen.to_string();
        let added = fleet.run_ctl(&["members", "add", &address]).await;
        added.expect("a member more");
    }
    fleet.control[0]
        .inject(Fault::Kill)
        .await
        .expect("a signal");
    fleet.routers[0]
        .inject(Fault::Thaw)
        .await
        .expect("a signal");
    tokio::time::sleep(LEASE_TIME).await;
    fleet.wait_for_routers().await.expect("a ready router");
}

/// Guards against `railtackctl members`, which reported a change that no majority had: if its leader was killed, the change
/// was lost and the group, counted on, elected no leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_members_that_is_not_committed_is_not_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut prepared = start_fleet(folder.path(), 31, |shape| {
        shape.routers = 1;
        shape.engines = 1;
    })
    .await;
    let fleet = &mut prepared.fleet;
    for position in [1, 2] {
        fleet.control[position]
            .inject(Fault::Freeze)
            .await
            .expect("a signal");
    }
    let removed = fleet.run_ctl(&["members", "remove", "3"]).await;
    assert!(removed.is_err(), "no majority has the change");
}
