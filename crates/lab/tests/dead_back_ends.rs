//! Requests to a service or a model most of whose back ends or engines have just died.

mod support;

use railtack_http::{HttpClient, read_body};
use railtack_lab::{
    fleet::Fault,
    load::{CallOutcome, Caller, caller::ResponseMode},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use support::{REQUEST_TIMEOUT, post, router_addresses, start_fleet, tenant_key};

/// Back ends of the service, and engines of the model.
const BACK_ENDS: u32 = 8;
/// Those that die; the platform still lists them when the requests arrive.
const DEAD: usize = 6;
const REQUESTS_PER_ROUTER: usize = 4;

/// Guards against a call that is refused after some connections to dead back ends although others run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_is_served_by_a_running_back_end_at_the_first_try() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut prepared = start_fleet(folder.path(), 28, |shape| {
        shape.routers = 2;
        shape.services = vec!["register-lookup"];
        shape.service_replicas = BACK_ENDS;
    })
    .await;
    for service in prepared.fleet.services.iter_mut().take(DEAD) {
        service.inject(Fault::Kill).await.expect("a signal");
    }
    for router in router_addresses(&prepared) {
        for call in 0..REQUESTS_PER_ROUTER {
            let path = format!("/services/register-lookup/parcel/{call}");
            let body = json!({ "text": "harmless" });
            let response = post(tenant_key(&prepared), router, &path, &body).await;
            let response = response.expect("a response");
            let status = response.status();
            let content = read_body(response.into_body(), 1 << 20, REQUEST_TIMEOUT).await;
            assert_eq!(status, 200, "{content:?}");
        }
    }
}

/// Guards against a prompt that is refused after some connections to dead engines although others run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_is_served_by_a_running_engine_at_the_first_try() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut prepared = start_fleet(folder.path(), 29, |shape| {
        shape.routers = 2;
        shape.engines = BACK_ENDS;
    })
    .await;
    for engine in prepared.fleet.engines.iter_mut().take(DEAD) {
        engine.inject(Fault::Kill).await.expect("a signal");
    }
    let caller = Caller::new(HttpClient::new(REQUEST_TIMEOUT), tenant_key(&prepared));
    let mut random = ChaCha8Rng::seed_from_u64(29);
    for router in router_addresses(&prepared) {
        for _ in 0..REQUESTS_PER_ROUTER {
            let request = prepared.documents.model_request(0, &mut random);
            let outcome = caller.generate(router, &request, ResponseMode::Unary).await;
            assert!(
                matches!(outcome, CallOutcome::Complete { .. }),
                "{outcome:?}"
            );
        }
    }
}
