//! Parts that the cases of the second review share: the processes of a small deployment, the operator, replicas and
//! clients. Standard library only. All sockets are on loopback addresses.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/railtack-platform";
/// Longest head or body that a stand-in reads.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Interval of heartbeats, as in the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self
            .file
            .lock()
            .expect("no panic")
            .write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ports that are alike on all machines of a deployment.
#[derive(Clone, Copy)]
pub struct Ports {
    pub internal: u16,
    pub relay: u16,
    pub control: u16,
    pub front: u16,
    pub ready: u16,
    pub metrics: u16,
}

/// A deployment: machines with an address each, of which the first ones are the core.
pub struct Deployment {
    pub folder: PathBuf,
    pub record: Record,
    net: [u8; 2],
    ports: Ports,
    core: u8,
    bounds: String,
    tolerated: u32,
    processes: Mutex<HashMap<String, Process>>,
}

/// A process of the system.
struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Deployment {
    /// Prepares a deployment whose core has `core` machines, of which `tolerated` may be lost.
    pub fn new(record: Record, core: u8, tolerated: u32, bounds: &str) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("railtack-review-2-{process}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = [(process / 200 % 200) as u8 + 20, (process % 200) as u8 + 20];
        let first = Ipv4Addr::new(127, net[0], net[1], 1);
        let held: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind((first, 0)).expect("a free port"))
            .collect();
        let port = |position: usize| held[position].local_addr().expect("an address").port();
        let ports = Ports {
            internal: port(0),
            relay: port(1),
            control: port(2),
            front: port(3),
            ready: port(4),
            metrics: port(5),
        };
        drop(held);
        Self {
            folder,
            record,
            net,
            ports,
            core,
            bounds: bounds.to_owned(),
            tolerated,
            processes: Mutex::default(),
        }
    }

    /// Ends all processes of the system, and removes their files.
    pub fn stop(&self) {
        // A case that panicked has to end its processes as well.
        let mut processes = self
            .processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for process in processes.values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Ends a case that couldn't run.
    pub fn give_up(&self, cause: &str) -> ! {
        self.record.say(&format!("{cause}: the case couldn't run"));
        self.stop();
        std::process::exit(2);
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], machine)
    }

    /// An address for a stand-in, apart from the machines of the system.
    pub fn stand_in_address(&self, number: u8) -> Ipv4Addr {
        self.ip(100 + number)
    }

    pub fn control(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports.control).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=self.core)
            .map(|machine| self.control(machine))
            .collect()
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports.front).into()
    }

    pub fn ready(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports.ready).into()
    }

    /// Starts a control replica with its folder, as the platform does. `first` is true at the first start of all.
    pub fn start_control(&self, machine: u8, first: bool) {
        let name = format!("core-{machine}");
        let data = self.folder.join(&name);
        fs::create_dir_all(&data).expect("a data folder");
        let ip = self.ip(machine);
        let listen = format!(
            "control_listen = \"{ip}:{}\"\ndata = \"{}\"\n",
            self.ports.control,
            data.display()
        );
        self.start(&name, "control", ip, &listen, first);
    }

    /// Starts a router.
    pub fn start_router(&self, machine: u8, first: bool) {
        let ip = self.ip(machine);
        let listen = format!(
            "callers_listen = \"{ip}:{}\"\nready_listen = \"{ip}:{}\"\nrelay_listen = \"{ip}:{}\"\n",
            self.ports.front, self.ports.ready, self.ports.relay
        );
        self.start(&format!("front-{machine}"), "router", ip, &listen, first);
    }

    /// Writes the settings as the template `platform/settings.toml` renders them, and starts the process with the
    /// command of the deploy file.
    fn start(&self, name: &str, role: &str, ip: Ipv4Addr, listen: &str, first: bool) {
        let seeds: Vec<String> = (1..=3)
            .map(|machine| format!("\"{}\"", self.control(machine)))
            .collect();
        let text = format!(
            "node = \"{name}\"\nzone = \"z\"\ninternal_listen = \"{ip}:{}\"\nmetrics_listen = \"{ip}:{}\"\n{listen}\
             seeds = [{}]\nbootstrap = {first}\nreplica_heartbeat_ms = {}\ntolerated_machines = {}\n\n[bounds]\n{}",
            self.ports.internal,
            self.ports.metrics,
            seeds.join(", "),
            HEARTBEAT.as_millis(),
            self.tolerated,
            self.bounds,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let mut child = Command::new(PROGRAM)
            .arg(role)
            .env("RAILTACK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file is built");
        let output = child.stdout.take().expect("standard output");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let read = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                read.lock().expect("no panic").push((Instant::now(), line));
            }
        });
        self.record
            .line(&format!("started {name}, process {}", child.id()));
        let process = Process { child, lines };
        self.processes
            .lock()
            .expect("no panic")
            .insert(name.to_owned(), process);
    }

    /// Kills a process that this run started.
    pub fn kill(&self, name: &str) {
        let mut processes = self.processes.lock().expect("no panic");
        if let Some(mut process) = processes.remove(name) {
            let _ = process.child.kill();
            let _ = process.child.wait();
            self.record.line(&format!("killed {name}"));
        }
    }

    /// Returns the id of a process.
    pub fn id(&self, name: &str) -> Option<u32> {
        let processes = self.processes.lock().expect("no panic");
        processes.get(name).map(|process| process.child.id())
    }

    /// Returns whether a process has ended by itself.
    pub fn has_ended(&self, name: &str) -> bool {
        let mut processes = self.processes.lock().expect("no panic");
        let process = processes.get_mut(name);
        process.is_some_and(|process| matches!(process.child.try_wait(), Ok(Some(_))))
    }

    /// Returns the log lines that a process wrote since `since` and that contain `text`.
    pub fn log_lines(&self, name: &str, since: Instant, text: &str) -> Vec<String> {
        let processes = self.processes.lock().expect("no panic");
        let Some(process) = processes.get(name) else {
            return Vec::new();
        };
        let lines = process.lines.lock().expect("no panic");
        let wanted = lines
            .iter()
            .filter(|(at, line)| *at >= since && line.contains(text));
        wanted.map(|(_, line)| line.clone()).collect()
    }

    /// Repeats an order of the operator, to one control replica after the other, until it gets a clear answer.
    pub fn operate(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<u16> {
        let until = Instant::now() + limit;
        for address in self.controls().iter().cycle() {
            if Instant::now() >= until {
                return None;
            }
            let request = format!(
                "{method} {path} HTTP/1.1\r\nhost: control\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
                 connection: close\r\n\r\n{body}",
                body.len()
            );
            let answer = call(*address, request.as_bytes(), Duration::from_secs(1));
            if let Some(answer) = answer.filter(|answer| answer.status < 500) {
                self.record.line(&format!(
                    "operator: {method} {path} answered {}",
                    answer.status
                ));
                return Some(answer.status);
            }
            pause(100);
        }
        None
    }

    /// Waits until a router says that it is ready.
    pub fn await_ready(&self, machine: u8, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let request = b"GET /-/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        while Instant::now() < until {
            let answer = call(self.ready(machine), request, Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            pause(50);
        }
        false
    }
}

/// A received head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Status, if it is an answer.
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a request or an answer. `None` if the connection ended before it was whole.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    stream
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    message.start = line.trim_end().to_owned();
    message.status = message
        .start
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    loop {
        line.clear();
        stream
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let header = line.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            line.clear();
            stream
                .read_line(&mut line)
                .ok()
                .filter(|count| *count > 0)?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length.filter(|length| *length <= MAX_BYTES) {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Sends one request over a new connection and reads its answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Takes the text of a JSON field that is a string or a number. Enough for the flat messages of the system.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let marker = format!("\"{name}\":");
    let rest = &text[text.find(&marker)? + marker.len()..];
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(quoted) => Some(quoted[..quoted.find('"')?].to_owned()),
        None => {
            let end = rest.find([',', '}', ']'])?;
            Some(rest[..end].trim().to_owned())
        }
    }
}

/// What a replica does with a call or request: returns the parts of the answer with the pause before each, or `None` to
/// leave it without one.
pub type Handler = dyn Fn(&Message) -> Option<Answer> + Send + Sync;

/// The parts of an answer, and the pause before each but the first.
pub struct Answer {
    parts: Vec<Vec<u8>>,
    gap: Duration,
}

/// A replica: a listener, and heartbeats to the control replicas.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    /// The `models` of its heartbeats, as JSON, if it is an engine.
    models: Arc<Mutex<Option<String>>>,
    slots: u32,
    /// Version of its software, and the time of its start, if it tells that.
    version: String,
    born: Option<u64>,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Where its heartbeats go, as the last answer said.
    reports_to: Mutex<Option<SocketAddr>>,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        ip: Ipv4Addr,
        slots: u32,
        models: Option<String>,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let address = (ip, 0).into();
        Self::start_life(id, service, address, slots, models, "v1", None, handler)
    }

    /// Starts one life of a replica, which runs this version of its software and tells when it started.
    #[allow(clippy::too_many_arguments)]
    pub fn start_life(
        id: &str,
        service: &str,
        address: SocketAddr,
        slots: u32,
        models: Option<String>,
        version: &str,
        born: Option<u64>,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            models: Arc::new(Mutex::new(models)),
            slots,
            version: version.to_owned(),
            born,
            sequence: AtomicU64::new(0),
            state: Mutex::new("ready"),
            ended: Arc::default(),
            connections: Arc::default(),
            reports_to: Mutex::new(None),
        });
        let accepting = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(io::Result::ok) {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let handler = Arc::clone(&handler);
                let known = stream.try_clone();
                if let Ok(known) = known {
                    accepting.connections.lock().expect("no panic").push(known);
                }
                thread::spawn(move || serve(stream, handler));
            }
        });
        replica
    }

    pub fn set_models(&self, models: String) {
        *self.models.lock().expect("no panic") = Some(models);
    }

    pub fn set_state(&self, state: &'static str) {
        *self.state.lock().expect("no panic") = state;
    }

    pub fn reports_to(&self) -> Option<SocketAddr> {
        *self.reports_to.lock().expect("no panic")
    }

    pub fn last_sequence(&self) -> u64 {
        self.sequence.load(Ordering::SeqCst)
    }

    /// The body of a heartbeat with this number.
    pub fn heartbeat(&self, sequence: u64) -> String {
        let models = self.models.lock().expect("no panic").clone();
        let models = models.map_or(String::new(), |models| {
            format!("\"stage\":\"colocated\",\"models\":{models},")
        });
        let born = self
            .born
            .map_or(String::new(), |born| format!("\"born\":{born},"));
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"{}\",\"slots\":{},\"state\":\"{}\",\
             \"cold_remaining_ms\":0,{models}{born}\"sequence\":{sequence}}}",
            self.service,
            self.address,
            self.version,
            self.slots,
            *self.state.lock().expect("no panic"),
        )
    }

    /// Sends one heartbeat, to one control replica after the other until it is acknowledged. Returns who did.
    pub fn report(&self, controls: &[SocketAddr]) -> Option<SocketAddr> {
        let first = self.reports_to();
        let others = controls.iter().copied();
        let start = self.last_sequence() as usize % controls.len().max(1);
        let others = others.clone().skip(start).chain(others.take(start));
        for address in first.into_iter().chain(others) {
            if self.ended.load(Ordering::SeqCst) {
                return None;
            }
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = self.heartbeat(sequence);
            let path = format!("/-/instances/{}/heartbeat", self.id);
            if let Some(answer) =
                post(address, &path, &body).filter(|answer| answer.status / 100 == 2)
            {
                let url = json_field(&answer.text(), "heartbeat_url");
                let named = url.and_then(|url| url.strip_prefix("http://")?.parse().ok());
                *self.reports_to.lock().expect("no panic") = named.or(Some(address));
                return Some(address);
            }
            *self.reports_to.lock().expect("no panic") = None;
        }
        None
    }

    /// Says that the replica leaves for good.
    pub fn deregister(&self, controls: &[SocketAddr]) -> bool {
        let path = format!("/-/instances/{}/deregister", self.id);
        let mut answers = controls
            .iter()
            .filter_map(|address| post(*address, &path, ""));
        answers.any(|answer| answer.status / 100 == 2)
    }

    /// Sends heartbeats until the replica ends.
    pub fn keep_reporting(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        self.keep_reporting_after(Duration::ZERO, controls);
    }

    /// Sends heartbeats until the replica ends, the first one after a while.
    pub fn keep_reporting_after(self: &Arc<Self>, delay: Duration, controls: Vec<SocketAddr>) {
        let replica = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(delay);
            while !replica.ended.load(Ordering::SeqCst) {
                replica.report(&controls);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the replica: its port and its connections close.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Posts a body to a control replica.
pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<Message> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: control\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: \
         close\r\n\r\n{body}",
        body.len()
    );
    call(address, request.as_bytes(), Duration::from_secs(1))
}

fn serve(stream: TcpStream, handler: Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        match handler(&request) {
            Some(answer) => {
                for (number, part) in answer.parts.iter().enumerate() {
                    if number > 0 {
                        thread::sleep(answer.gap);
                    }
                    if writer.write_all(part).is_err() {
                        return;
                    }
                }
            }
            // Left without an answer, until the caller closes.
            None => {
                let _ = io::copy(&mut reader, &mut io::sink());
                return;
            }
        }
    }
}

/// Builds an answer with a body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    Answer {
        parts: vec![text.into_bytes()],
        gap: Duration::ZERO,
    }
}

/// Builds an answer in chunks: a head, and events with a pause between two.
pub fn stream_answer(head: String, events: impl Iterator<Item = String>, gap: Duration) -> Answer {
    let chunks = events.map(|event| format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
    let mut parts = vec![head.into_bytes()];
    parts.extend(chunks);
    parts.push(b"0\r\n\r\n".to_vec());
    Answer { parts, gap }
}
