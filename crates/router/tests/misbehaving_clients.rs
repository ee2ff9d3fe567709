//! Crowds of clients that do not keep the limits, against a router process with little memory. It lives, stays within
//! its memory, and answers an ordinary request beside the crowd and after it.

#[path = "../../../platform/tests/support/crowd.rs"]
#[allow(dead_code)]
mod crowd;

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use crowd::{Script, SocketCount, exchange, gather, peak_memory_kb, settle};
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the process, megabytes.
const MEMORY_MB: u64 = 60;
/// Largest body of a request in the settings, bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Open connections of callers in the settings.
const MAX_CONNECTIONS: usize = 100;
/// Sockets for all but callers: listeners and calls to other processes.
const OTHER_SOCKETS: usize = 20;
/// Clients that send large bodies.
const CROWD: usize = 80;
/// Clients that send little.
const MANY: usize = 300;
/// Chunks of one byte that are sent at a time.
const TINY_CHUNKS: usize = 65_536;
/// Clients that send very small chunks.
const TINY_CHUNKS_CROWD: usize = 12;

/// Held by each test, so that one crowd comes at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

struct RouterProcess {
    child: Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
    _one_crowd: MutexGuard<'static, ()>,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address whose port is free.
fn free_address(last: u8) -> SocketAddr {
    let octet = (std::process::id() % 250) as u8 + 1;
    let ip = std::net::Ipv4Addr::new(127, octet, 9, last);
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

impl RouterProcess {
    async fn start() -> Self {
        let one_crowd = ONE_CROWD.lock().await;
        let folder = tempfile::tempdir().expect("a folder");
        let (address, admin) = (free_address(1), free_address(2));
        let file: PathBuf = folder.path().join("router.toml");
        let settings = format!(
            r#"router_id = 1
zone = "a"
listen = "{address}"
admin_listen = "{admin}"
control = [{{ replica_id = 1, address = "127.0.0.1:1" }}]
platform = "127.0.0.1:1"

[limits]
body_bytes = {MAX_BODY_BYTES}
connections = {MAX_CONNECTIONS}
memory_mb = {MEMORY_MB}
"#
        );
        std::fs::write(&file, settings).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_railtack-router"))
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let router = Self {
            child,
            address,
            _folder: folder,
            _one_crowd: one_crowd,
        };
        router.answers_an_ordinary_request().await;
        router
    }

    /// Without control replicas, a proper request is refused until there is a configuration.
    async fn answers_an_ordinary_request(&self) {
        let body = r#"{"template":"t","prompt":"p"}"#;
        let headers = format!("content-length: {}\r\n", body.len());
        for _ in 0..400 {
            let script = Script::request("/v1/completions", &headers).then(body, 1);
            if let Some(answer) = exchange(self.address, script, 0).await
                && answer.is_whole
                && answer.status == 503
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no answer to an ordinary request");
    }

    async fn withstands(&mut self, script: &Script, size: usize) {
        let process = self.child.id();
        let sockets = SocketCount::start(process);
        let open = gather(self.address, script, size).await;
        settle(process).await;
        self.answers_an_ordinary_request().await;
        drop(open);
        self.answers_an_ordinary_request().await;
        assert_eq!(self.child.try_wait().expect("its state"), None);
        let peak_kb = peak_memory_kb(process);
        assert!(
            peak_kb <= MEMORY_MB * 1024,
            "{peak_kb} KB, of {MEMORY_MB} MB"
        );
        let (most, bound) = (sockets.most(), MAX_CONNECTIONS + OTHER_SOCKETS);
        assert!(most <= bound, "{most} sockets, of {bound}");
    }
}

fn announced(bytes: usize) -> Script {
    Script::request("/v1/completions", &format!("content-length: {bytes}\r\n"))
}

fn chunked() -> Script {
    Script::request("/v1/completions", "transfer-encoding: chunked\r\n")
}

/// Guards against bodies that stop short of their end in the memory of a router.
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_bodies_short_of_their_end_is_withstood_by_v1() {
    let mut router = RouterProcess::start().await;
    let script = announced(MAX_BODY_BYTES).then(vec![b' '; MAX_BODY_BYTES - 1], 1);
    router.withstands(&script, CROWD).await;
}

/// Guards against very small chunks without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_chunks_of_one_byte_without_end_is_withstood_by_v1() {
    let mut router = RouterProcess::start().await;
    let script = chunked().then("1\r\nx\r\n".repeat(TINY_CHUNKS), 3);
    router.withstands(&script, TINY_CHUNKS_CROWD).await;
}

/// Guards against connections that say nothing and keep out callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_silent_connections_is_withstood_by_v1() {
    let mut router = RouterProcess::start().await;
    router.withstands(&Script::silent(), MANY).await;
}

/// Guards against a body that is read before it is known that its size is over the limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused_by_its_head_by_v1() {
    let router = RouterProcess::start().await;
    let answer = exchange(router.address, announced(10 << 30), 0).await;
    assert_eq!(answer.expect("an answer").status, 413);
}
