//! Case 2: the leader of the control group is cut off just after it has sent an order to a replica. Another leader takes
//! over. After the cut has healed, the order of the former one still arrives.
//!
//! Starts five control replicas (the program of the deploy file) and plays three replicas, the operator, and the cut.
//! Standard library only. Usage: one PROGRAM FOLDER; TROUBLE=0 leaves the cut out.

use std::{
    env, fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio, exit},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const CONTROL: usize = 5;
const REPLICAS: usize = 3;
/// Largest `core_cut` with the leader in the site file of vsw-kochi.
const CUT: Duration = Duration::from_millis(5_500);
/// TCP sends unacknowledged bytes again after 0.2, 0.6, 1.4, 3.0, 6.2 s: the first time after the cut.
const RETRANSMISSION: Duration = Duration::from_millis(6_200);
/// `thaw_ms` of vsw-kochi: orders that arrive so soon after the heal are not counted.
const THAW: Duration = Duration::from_millis(300);
/// `lease_ms` of vsw-kochi.
const LEASE_MS: u64 = 3_000;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOAD: Duration = Duration::from_millis(760);

struct Order {
    at: Instant,
    replica: String,
    holder: String,
    token: u64,
}

struct Held {
    weights: u64,
    sequence: u64,
    loading: Option<(u64, Instant)>,
}

struct World {
    start: Instant,
    record: Mutex<Vec<String>>,
    orders: Mutex<Vec<Order>>,
    /// Process ids by the name of the machine.
    processes: Vec<(String, u32)>,
    cut_at: Mutex<Option<Instant>>,
    has_trouble: bool,
}

impl World {
    fn note(&self, text: String) {
        let line = format!("{:7.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        self.record.lock().unwrap().push(line);
    }

    /// Begins the cut of a machine, once: its process stands still, so that it exchanges nothing with anybody.
    fn begin_cut(self: &Arc<Self>, holder: &str) -> bool {
        let mut cut_at = self.cut_at.lock().unwrap();
        if !self.has_trouble || cut_at.is_some() {
            return false;
        }
        *cut_at = Some(Instant::now());
        drop(cut_at);
        let known = self.processes.iter().find(|(name, _)| name == holder);
        let Some((name, pid)) = known.cloned() else { return false };
        signal("-STOP", pid);
        self.note(format!("cut: {name} is cut off from all other machines"));
        let world = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(CUT);
            signal("-CONT", pid);
            world.note(format!("heal: the links of {name} work again"));
        });
        true
    }
}

fn signal(kind: &str, pid: u32) {
    let _ = Command::new("kill").args([kind, &pid.to_string()]).status();
}

fn find<'a>(text: &'a str, field: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{field}\":"))? + field.len() + 3;
    let rest = text[start..].trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return quoted.split('"').next();
    }
    rest.split([',', '}']).next().map(str::trim)
}

fn number(text: &str, field: &str) -> u64 {
    find(text, field).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Reads one message: its first line, its head and its body.
fn read_message(stream: &mut TcpStream) -> Option<(String, String, String)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
            if text.len() >= end + 4 + length.unwrap_or(0) {
                let first = text.lines().next()?.to_owned();
                return Some((first, text[..end].to_owned(), text[end + 4..].to_owned()));
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn call(address: SocketAddr, request_line: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let message = format!(
        "{request_line} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(message.as_bytes()).ok()?;
    let (first, _, answer) = read_message(&mut stream)?;
    Some((first.split(' ').nth(1)?.parse().ok()?, answer))
}

struct Replica {
    world: Arc<World>,
    id: String,
    address: SocketAddr,
    held: Mutex<Held>,
}

impl Replica {
    fn settle(&self) {
        let mut held = self.held.lock().unwrap();
        if let Some((version, done)) = held.loading.filter(|(_, done)| *done <= Instant::now()) {
            let _ = done;
            held.weights = version;
            held.loading = None;
        }
    }

    fn weights(&self) -> u64 {
        self.settle();
        self.held.lock().unwrap().weights
    }

    fn report(&self) -> String {
        self.settle();
        let held = self.held.lock().unwrap();
        format!(
            r#"{{"stage":"colocated","models":[{{"name":"m","version":{},"adapters":[]}}],"busy":{},"sequence":{},"num_waiting":0,"num_running":0,"kv_used":0,"kv_total":90000,"handles":0}}"#,
            held.weights,
            held.loading.is_some(),
            held.sequence
        )
    }

    /// Takes an order as the pages say; fences are not checked.
    fn order(&self, body: &str) -> u16 {
        self.settle();
        let mut held = self.held.lock().unwrap();
        let version = number(body, "version");
        if find(body, "expected").is_some() && number(body, "expected") != held.sequence || held.loading.is_some() {
            return 409;
        }
        if version == held.weights {
            return 200;
        }
        held.sequence += 1;
        held.loading = Some((version, Instant::now() + LOAD));
        202
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        while let Some((first, head, body)) = read_message(&mut stream) {
            let (status, answer) = if first.starts_with("GET /-/report") {
                (200, self.report())
            } else if first.starts_with("POST /-/order") {
                let holder = find(&body, "holder").unwrap_or_default().to_owned();
                if self.world.begin_cut(&holder) {
                    self.world.note(format!("{}: the bytes of an order of {holder} are held up by the cut", self.id));
                    if !self.wait_for_retransmission(&mut stream) {
                        return;
                    }
                }
                let is_for_other = !head.to_lowercase().contains(&format!("x-target-instance: {}", self.id));
                let status = if is_for_other { 421 } else { self.order(&body) };
                let order = Order {
                    at: Instant::now(),
                    replica: self.id.clone(),
                    holder: holder.clone(),
                    token: number(&body, "fencing_token"),
                };
                self.world.note(format!(
                    "{}: order arrives: holder {holder} fencing_token {} version {} expected {} -> {status}",
                    self.id, order.token, number(&body, "version"), number(&body, "expected")
                ));
                self.world.orders.lock().unwrap().push(order);
                (status, "{}".to_owned())
            } else {
                (404, "{}".to_owned())
            };
            let message = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if stream.write_all(message.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits until the sender's TCP sends the held bytes again. Returns false if the sender has reset the connection
    /// by then: its bytes are lost in this case.
    fn wait_for_retransmission(&self, stream: &mut TcpStream) -> bool {
        thread::sleep(RETRANSMISSION);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        let is_reset = match stream.peek(&mut [0; 1]) {
            Ok(_) => false,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        let _ = stream.set_read_timeout(None);
        if is_reset {
            self.world.note(format!("{}: the sender has reset the connection, the bytes are lost", self.id));
        }
        !is_reset
    }

    /// Sends heartbeats to one control replica, and to the next one if it does not answer.
    fn send_heartbeats(&self, control: Vec<SocketAddr>, first: usize) {
        let mut target = first;
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                r#"{{"service":"assessor","address":"{}","zone":"a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"colocated","models":[{{"name":"m","version":{},"adapters":[]}}],"sequence":{sequence}}}"#,
                self.address,
                self.weights()
            );
            let line = format!("POST /-/instances/{}/heartbeat", self.id);
            match call(control[target % CONTROL], &line, &body) {
                Some((200, _)) => thread::sleep(HEARTBEAT),
                _ => target += 1,
            }
        }
    }
}

struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            signal("-CONT", child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn settings(node: &str, ip: &str, ports: [u16; 3], seeds: &[String], data: &str) -> String {
    format!(
        r#"node = "{node}"
zone = "a"
internal_listen = "{ip}:{}"
metrics_listen = "{ip}:{}"
control_listen = "{ip}:{}"
seeds = {seeds:?}
bootstrap = true
data = "{data}"
replica_heartbeat_ms = 1200
tolerated_machines = 2

[bounds]
config_apply_ms = 2000
revoke_ms = 5000
fail_closed = true
drain_ms = 2000
grace_s = 8
ack_ms = 4000
contact_ms = 3000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
lease_ms = 3000
version_ms = 10000
reuse_window_s = 10
"#,
        ports[0], ports[1], ports[2]
    )
}

const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/a/","kind":"streaming","timeout_ms":10000,"target_latency_ms":800,"priority":1,"service":"assessor","max_attempts":2,"allow_anonymous":true,"sticky":true,"resumable":true,"target_gap_ms":500}],"services":[{"name":"assessor","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":99487,"kv_token_bytes":18432,"link_mbps":550000.0,"backups":true,"stride":6,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// Sends a call of the operator to one control replica after the other until it is acknowledged.
fn operate(control: &[SocketAddr], line: &str, body: &str, until: Instant) -> bool {
    while Instant::now() < until {
        for address in control {
            if let Some((200, _)) = call(*address, line, body) {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Returns a port that is free on all the addresses at present.
fn free_port(ips: &[String]) -> u16 {
    for _ in 0..50 {
        let Ok(first) = TcpListener::bind(format!("{}:0", ips[0])) else { continue };
        let Ok(port) = first.local_addr().map(|address| address.port()) else { continue };
        if ips[1..].iter().all(|ip| TcpListener::bind(format!("{ip}:{port}")).is_ok()) {
            return port;
        }
    }
    exit(2);
}

fn run(program: &str, folder: &str) -> i32 {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let octet = std::process::id() % 250 + 1;
    let ips: Vec<String> = (1..=CONTROL).map(|host| format!("127.{octet}.70.{host}")).collect();
    let ports = [free_port(&ips), free_port(&ips), free_port(&ips)];
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:{}", ports[2])).collect();
    let control: Vec<SocketAddr> = ips.iter().map(|ip| format!("{ip}:{}", ports[2]).parse().unwrap()).collect();
    let mut processes = Processes(Vec::new());
    let mut names = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let node = format!("core-{}", index + 1);
        let data = format!("{folder}/data-{index}");
        let file = format!("{folder}/{node}.toml");
        let log = fs::File::create(format!("{folder}/{node}.log")).unwrap();
        fs::create_dir_all(&data).unwrap();
        fs::write(&file, settings(&node, ip, ports, &seeds, &data)).unwrap();
        let child = Command::new(program).arg("control").env("RAILTACK_CONFIG", &file).stdout(log).stderr(Stdio::null()).spawn();
        let Ok(child) = child else { return 2 };
        names.push((node, child.id()));
        processes.0.push(child);
    }
    let world = Arc::new(World {
        start: Instant::now(),
        record: Mutex::default(),
        orders: Mutex::default(),
        processes: names,
        cut_at: Mutex::default(),
        has_trouble,
    });
    world.note(format!("started {CONTROL} control replicas; trouble: {has_trouble}"));
    if !operate(&control, "POST /-/config/put", DOCUMENT, Instant::now() + Duration::from_secs(30)) {
        world.note("the configuration was not acknowledged".to_owned());
        return finish(&world, 2);
    }
    world.note("configuration 1 acknowledged".to_owned());
    for index in 0..REPLICAS {
        let Ok(listener) = TcpListener::bind(format!("127.{octet}.71.{}:0", index + 1)) else { return 2 };
        let replica = Arc::new(Replica {
            world: Arc::clone(&world),
            id: format!("i-{octet:02x}00{index}"),
            address: listener.local_addr().unwrap(),
            held: Mutex::new(Held { weights: 1, sequence: 0, loading: None }),
        });
        let accepting = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&accepting);
                thread::spawn(move || replica.serve(stream));
            }
        });
        let control = control.clone();
        thread::spawn(move || replica.send_heartbeats(control, index));
    }
    thread::sleep(Duration::from_secs(4));
    let body = r#"{"model":"m","version":2}"#;
    if !operate(&control, "POST /-/version-put", body, Instant::now() + Duration::from_secs(10)) {
        world.note("version 2 was not acknowledged".to_owned());
        return finish(&world, 2);
    }
    world.note("version 2 acknowledged".to_owned());
    thread::sleep(Duration::from_secs(14));
    let status = judge(&world);
    finish(&world, status)
}

/// ONE at a single replica: a higher fencing token followed by a lower one. Orders within `thaw_ms` after the heal are
/// not counted.
fn judge(world: &World) -> i32 {
    let cut_at = *world.cut_at.lock().unwrap();
    let orders = world.orders.lock().unwrap();
    if orders.is_empty() || world.has_trouble && cut_at.is_none() {
        return 2;
    }
    let mut status = 0;
    for (position, order) in orders.iter().enumerate() {
        let since_heal = cut_at.and_then(|at| order.at.checked_duration_since(at + CUT));
        if since_heal.is_some_and(|since| since <= THAW) {
            continue;
        }
        let earlier = orders[..position].iter().filter(|earlier| earlier.replica == order.replica);
        for earlier in earlier.filter(|earlier| earlier.token > order.token && earlier.holder != order.holder) {
            let gap = order.at.duration_since(earlier.at).as_millis() as u64;
            world.note(format!(
                "ONE broken at {}: token {} of {}, then token {} of {}, {gap} ms later (lease_ms {LEASE_MS})",
                order.replica, earlier.token, earlier.holder, order.token, order.holder
            ));
            status = 1;
        }
    }
    status
}

fn finish(world: &World, status: i32) -> i32 {
    world.note(match status {
        0 => "the rule held".to_owned(),
        1 => "the rule was broken".to_owned(),
        _ => "the case could not run".to_owned(),
    });
    let lines = world.record.lock().unwrap().join("\n") + "\n";
    let _ = fs::write(env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned()), lines);
    status
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, program, folder] = arguments.as_slice() else { exit(2) };
    exit(run(program, folder));
}
