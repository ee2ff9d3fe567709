//! A fleet of real processes refuses bad input with a typed error and keeps serving.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    time::Duration,
};

use railtack_http::HttpClient;
use railtack_lab::{
    demo::{self, FleetOptions, PreparedFleet},
    fleet::{FleetKind, FleetShape, process},
    load::{CallOutcome, Caller, caller::ResponseMode},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// A request that must be refused.
struct BadInput {
    name: &'static str,
    path: &'static str,
    bearer: Option<String>,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

fn bad_inputs(prepared: &PreparedFleet) -> Vec<BadInput> {
    let key = Some(prepared.documents.tenants[0].key.clone());
    let completion = |body: Value| body.to_string().into_bytes();
    let case = |name, status, code, body: Vec<u8>| BadInput {
        name,
        path: "/v1/completions",
        bearer: key.clone(),
        body,
        status,
        code,
    };
    let counter_answer = |extra: Value| {
        let mut body = json!({ "template": "counter-response", "prompt": "q" });
        if let (Some(body), Value::Object(extra)) = (body.as_object_mut(), extra) {
            body.extend(extra);
        }
        completion(body)
    };
    vec![
        case(
            "malformed JSON",
            400,
            "malformed_request",
            b"{\"template\":".to_vec(),
        ),
        case("not UTF-8", 400, "malformed_request", vec![0xff, 0xfe]),
        case(
            "an unknown field",
            400,
            "malformed_request",
            counter_answer(json!({ "tempelate": 1 })),
        ),
        case(
            "an unknown template",
            404,
            "unknown_template",
            completion(json!({ "template": "x", "prompt": "q" })),
        ),
        case(
            "another tenant's template",
            404,
            "unknown_template",
            completion(json!({ "template": "private-to-tenant-2", "prompt": "q" })),
        ),
        case(
            "a missing parameter",
            400,
            "missing_parameter",
            completion(json!({ "template": "long-report", "prompt": "q" })),
        ),
        case(
            "an extra parameter",
            400,
            "unexpected_parameter",
            counter_answer(json!({ "parameters": { "colour": "red" } })),
        ),
        case(
            "a tenant's parameter",
            400,
            "unexpected_parameter",
            counter_answer(json!({ "parameters": { "context": "mine" } })),
        ),
        case(
            "an oversized parameter",
            400,
            "oversized_parameter",
            completion(
                json!({ "template": "long-report", "prompt": "q", "parameters": { "file": "x".repeat(70_000) } }),
            ),
        ),
        case(
            "an oversized body",
            413,
            "oversized_request",
            vec![b' '; 5 * 1024 * 1024],
        ),
        BadInput {
            bearer: Some("wrong".to_owned()),
            ..case(
                "a wrong key",
                401,
                "unauthorized",
                counter_answer(json!({})),
            )
        },
        BadInput {
            bearer: None,
            ..case("no key", 401, "unauthorized", counter_answer(json!({})))
        },
        BadInput {
            path: "/v2/completions",
            ..case(
                "an unknown path",
                404,
                "unknown_route",
                counter_answer(json!({})),
            )
        },
        BadInput {
            path: "/services/notice-renderer/x",
            ..case(
                "no Idempotency-Key",
                400,
                "missing_idempotency_key",
                Vec::new(),
            )
        },
        BadInput {
            path: "/services/nothing/x",
            ..case("an unknown service", 404, "unknown_template", Vec::new())
        },
    ]
}

async fn send(router: SocketAddr, input: &BadInput) -> (u16, bool, Value) {
    let mut builder = hyper::Request::post(format!("http://{router}{}", input.path));
    if let Some(bearer) = &input.bearer {
        builder = builder.header("authorization", format!("Bearer {bearer}"));
    }
    let request = builder
        .body(http_body_util::Full::from(input.body.clone()))
        .expect("a request");
    let client = HttpClient::new(Duration::from_secs(2));
    let response = client.send(request).await.expect("a response");
    let status = response.status().as_u16();
    let has_request_id = response.headers().contains_key("x-request-id");
    let content = railtack_http::read_body(response.into_body(), 1 << 20, Duration::from_secs(5))
        .await
        .expect("a body");
    (
        status,
        has_request_id,
        serde_json::from_slice(&content).expect("JSON"),
    )
}

/// Requests a stream and checks that the response is complete.
async fn assert_serves(prepared: &PreparedFleet) {
    let caller = Caller::new(
        HttpClient::new(Duration::from_secs(2)),
        &prepared.documents.tenants[0].key,
    );
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let request = prepared.documents.model_request(0, &mut random);
    let router = prepared.fleet.endpoints.routers[0].listen;
    let outcome = caller
        .generate(router, &request, ResponseMode::Stream)
        .await;
    assert!(
        matches!(outcome, CallOutcome::Complete { .. }),
        "{outcome:?}"
    );
}

/// Gives `tenant-2` a template that `tenant-1` does not have.
async fn add_private_template(prepared: &PreparedFleet, folder: &Path) {
    let template = folder.join("private.toml");
    std::fs::write(
        &template,
        "name = \"private-to-tenant-2\"\n[target.model]\nmodel = \"valuation\"\n",
    )
    .expect("a file");
    let template = template.display().to_string();
    prepared
        .fleet
        .run_ctl(&["template", "submit", &template])
        .await
        .expect("the command succeeds");
    let tenant = folder.join("tenant-tenant-2.toml");
    let mut text = std::fs::read_to_string(&tenant).expect("the submitted document");
    text.push_str("[[services]]\ntemplate = \"private-to-tenant-2\"\n");
    std::fs::write(&tenant, text).expect("a file");
    let tenant = tenant.display().to_string();
    prepared
        .fleet
        .run_ctl(&["tenant", "revise", &tenant])
        .await
        .expect("the command succeeds");
}

/// Sends half a request and waits. Returns the response, which must arrive before the read timeout.
fn send_partial_request(router: SocketAddr) -> String {
    let mut stream = TcpStream::connect(router).expect("a connection");
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{")
        .expect("a partial write");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a read timeout is set");
    let mut response = vec![0; 4096];
    let length = stream.read(&mut response).expect("a response");
    String::from_utf8_lossy(&response[..length]).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_fleet_refuses_bad_input_and_keeps_serving() {
    process::use_lab_binary(Path::new(env!("CARGO_BIN_EXE_railtack-lab")));
    let folder = tempfile::tempdir().expect("a folder");
    let mut shape = FleetShape::demonstration(FleetKind::Brasov);
    shape.engines = 2;
    shape.routers = 1;
    let options = FleetOptions {
        kind: FleetKind::Brasov,
        seed: 11,
        folder: Some(folder.path().to_owned()),
    };
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let prepared = demo::prepare(shape, &options, &mut random)
        .await
        .expect("a fleet");
    add_private_template(&prepared, folder.path()).await;
    let router = prepared.fleet.endpoints.routers[0].listen;
    for input in bad_inputs(&prepared) {
        let (status, has_request_id, body) = send(router, &input).await;
        assert_eq!(status, input.status, "{}: {body}", input.name);
        assert_eq!(body["error"]["code"], input.code, "{}: {body}", input.name);
        assert_eq!(body["error"]["execution"], "not_run", "{}", input.name);
        // The refusal of a model request carries a request id, which the caller can report.
        let is_model = input.path.starts_with("/v1/");
        if is_model && input.code == "unknown_template" {
            assert!(has_request_id, "{}", input.name);
        }
    }
    let slow = tokio::task::spawn_blocking(move || send_partial_request(router));
    assert_serves(&prepared).await;
    let response = slow.await.expect("the slow client completes");
    assert!(response.contains("slow_request"), "{response}");
    assert_serves(&prepared).await;
    check_operator_errors(&prepared, folder.path()).await;
    assert_serves(&prepared).await;
}

/// Checks the exit codes for bad documents and for conflicting operations.
async fn check_operator_errors(prepared: &PreparedFleet, folder: &Path) {
    let exit_code = async |arguments: &[&str]| match prepared.fleet.run_ctl(arguments).await {
        Ok(_) => 0,
        Err(report) => match report.current_context() {
            railtack_lab::LabError::Operator { code, .. } => *code,
            _ => -1,
        },
    };
    let file = folder.join("bad.toml");
    let path = file.display().to_string();
    let write = |text: &str| std::fs::write(&file, text).expect("a file");
    write("name = \"bad\"\nsegments = [\"{{nobody}}\"]\n[target.model]\nmodel = \"valuation\"\n");
    assert_eq!(exit_code(&["template", "submit", &path]).await, 4);
    write("name = \"bad\"\ncolour = 1\n");
    assert_eq!(exit_code(&["template", "submit", &path]).await, 1);
    write("name = \"counter-response\"\n[target.model]\nmodel = \"valuation\"\n");
    assert_eq!(
        exit_code(&["template", "submit", &path]).await,
        3,
        "the template exists"
    );
    assert_eq!(
        exit_code(&["template", "revise", &path, "--expect-revision", "1"]).await,
        3
    );
    assert_eq!(exit_code(&["template", "show", "no-such"]).await, 7);
    write("name = \"valuation\"\nweights_version = 1\n");
    let repeated = ["model", "revise", &path, "--operation-id", "the-same"];
    assert_eq!(exit_code(&repeated).await, 0);
    assert_eq!(
        exit_code(&[
            "explain",
            "00",
            "--router",
            &prepared.fleet.endpoints.routers[0].admin.to_string()
        ])
        .await,
        7
    );
}
