//! Case 5: orders of two holders reach one replica within the lease.
//!
//! Five control replicas and nine engines, which check no fences. Each round the operator names new weights. In the
//! disturbed run the leader is killed once an order has gone unanswered, and the one that takes over is killed and
//! started again as soon as it has the order lock.

#[path = "../../stand-ins-2/src/common.rs"]
mod common;

use common::{Answer, Deployment, Message, Record, Replica, answer, json_field, pause};
use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const BOUNDS: &str = include_str!("../../stand-ins-2/bounds.txt");
const CORE: u8 = 5;
const ENGINES: u8 = 9;
const LEASE: Duration = Duration::from_millis(3_000);
/// Time that new weights take an engine.
const LOAD: Duration = Duration::from_millis(760);
/// Time for which the first leader stays away, as one that lost its power.
const DARK: Duration = Duration::from_millis(2_000);
/// Time after which the killed process of the second one is started again.
const RESTART_DELAY: Duration = Duration::from_millis(20);
/// Rounds start while there is time for a whole one.
const LAST_ROUND_STARTS_S: f64 = 104.0;
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/a/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"priority":0,"service":"assessor","max_attempts":2,"allow_anonymous":true,"sticky":true,"resumable":true,"target_gap_ms":500}],"services":[{"name":"assessor","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":99487,"kv_token_bytes":18432,"link_mbps":550000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// An order as an engine received it.
#[derive(Clone)]
struct Arrival {
    at: Instant,
    holder: String,
    token: u64,
    version: u64,
    is_answered: bool,
}

/// What one engine holds, and the orders that reached it.
#[derive(Default)]
struct Engine {
    version: u64,
    sequence: u64,
    loading: bool,
    arrivals: Vec<Arrival>,
}

fn main() {
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(
        &Path::new(&std::env::args().nth(1).expect("the folder")).join("record.txt"),
    );
    let system = Arc::new(Deployment::new(record.clone(), CORE, 2, BOUNDS));
    for machine in 1..=CORE {
        system.start_control(machine, true);
    }
    let took = system.operate(
        "POST",
        "/-/config/put",
        CONFIGURATION,
        Duration::from_secs(15),
    );
    if took != Some(200) {
        system.give_up("the configuration was not taken");
    }
    let engines: Vec<Arc<Mutex<Engine>>> = (0..ENGINES).map(|_| Arc::default()).collect();
    let replicas: Vec<Arc<Replica>> = (0..ENGINES)
        .map(|number| start_engine(&system, number, &engines[usize::from(number)]))
        .collect();
    pause(3_000);

    let mut version = 1;
    let mut reelections = 0;
    while record.now() < LAST_ROUND_STARTS_S {
        version += 1;
        let named_at = Instant::now();
        let body = format!("{{\"model\":\"m\",\"version\":{version}}}");
        system.operate("POST", "/-/version-put", &body, Duration::from_secs(8));
        let unanswered = await_unanswered(&engines, version, Duration::from_secs(6));
        if with_trouble && let Some(first) = unanswered {
            reelections += u32::from(kill_two_leaders(&system, &first.holder));
        }
        // The next round starts once the killed machines count as back (`catch_up_s`) and the weights are everywhere.
        let until = named_at + Duration::from_millis(7_000);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    for replica in &replicas {
        replica.end();
    }
    let broken = judge(&record, &engines);
    record.say(&format!(
        "rounds: {}, machine elected again at once: {reelections}",
        version - 1
    ));
    system.stop();
    record.say(if broken > 0 {
        "ONE is broken"
    } else {
        "ONE holds"
    });
    std::process::exit(i32::from(broken > 0));
}

fn start_engine(system: &Deployment, number: u8, engine: &Arc<Mutex<Engine>>) -> Arc<Replica> {
    let id = format!("i-{number}");
    engine.lock().expect("no panic").version = 1;
    let record = system.record.clone();
    let shared = Arc::clone(engine);
    let name = id.clone();
    let handler = move |request: &Message| {
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != name)
        {
            return Some(answer(421, &[("x-not-executed", "1")], ""));
        }
        match request.path() {
            "/-/report" => {
                let engine = shared.lock().expect("no panic");
                let body = format!(
                    "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\"busy\":{},\
                     \"sequence\":{},\"num_waiting\":0,\"num_running\":0,\"kv_used\":0,\"kv_total\":99487,\"handles\":0}}",
                    engine.version, engine.loading, engine.sequence
                );
                Some(answer(200, &[("content-type", "application/json")], &body))
            }
            "/-/order" => take_order(&record, &name, &shared, &request.text()),
            _ => Some(answer(503, &[("x-not-executed", "1")], "")),
        }
    };
    let models = "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]".to_owned();
    let address = system.stand_in_address(number);
    let replica = Replica::start(
        &id,
        "assessor",
        address,
        64,
        Some(models),
        Arc::new(handler),
    );
    replica.keep_reporting(system.controls());
    let reported = Arc::clone(&replica);
    let engine = Arc::clone(engine);
    thread::spawn(move || {
        loop {
            pause(200);
            let version = engine.lock().expect("no panic").version;
            reported.set_models(format!(
                "[{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}]"
            ));
        }
    });
    replica
}

/// Takes an order. Of two orders one is left without an answer and carried out two seconds later, as `applied_late`.
fn take_order(
    record: &Record,
    id: &str,
    engine: &Arc<Mutex<Engine>>,
    text: &str,
) -> Option<Answer> {
    let number = |name| json_field(text, name).and_then(|field| field.parse::<u64>().ok());
    let (Some(version), Some(token)) = (number("version"), number("fencing_token")) else {
        return Some(answer(400, &[], ""));
    };
    let holder = json_field(text, "holder").unwrap_or_default();
    let expected = number("expected");
    let mut known = engine.lock().expect("no panic");
    let is_answered = known.arrivals.len() % 2 == 1;
    known.arrivals.push(Arrival {
        at: Instant::now(),
        holder: holder.clone(),
        token,
        version,
        is_answered,
    });
    record.line(&format!(
        "{id}: order of {holder}, token {token}, version {version}, expected {expected:?}, {}",
        if is_answered {
            "answered"
        } else {
            "left without an answer"
        }
    ));
    if !is_answered {
        let engine = Arc::clone(engine);
        let record = record.clone();
        let id = id.to_owned();
        thread::spawn(move || {
            pause(2_000);
            let status = carry_out(&engine, version, expected);
            record.line(&format!("{id}: carried out late: {status}"));
        });
        return None;
    }
    drop(known);
    Some(answer(carry_out(engine, version, expected), &[], ""))
}

fn carry_out(engine: &Arc<Mutex<Engine>>, version: u64, expected: Option<u64>) -> u16 {
    let mut known = engine.lock().expect("no panic");
    if known.version >= version {
        return 200;
    }
    if known.loading || expected.is_some_and(|expected| expected != known.sequence) {
        return 409;
    }
    known.sequence += 1;
    known.loading = true;
    let engine = Arc::clone(engine);
    thread::spawn(move || {
        thread::sleep(LOAD);
        let mut known = engine.lock().expect("no panic");
        known.version = version;
        known.loading = false;
    });
    202
}

/// Waits for an order of `version` that is left without an answer.
fn await_unanswered(
    engines: &[Arc<Mutex<Engine>>],
    version: u64,
    limit: Duration,
) -> Option<Arrival> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        for engine in engines {
            let known = engine.lock().expect("no panic");
            let mut arrivals = known.arrivals.iter();
            let found = arrivals.find(|arrival| arrival.version == version && !arrival.is_answered);
            if let Some(found) = found {
                return Some(found.clone());
            }
        }
        pause(2);
    }
    None
}

/// Kills the leader, which stays away for a while, then the one that takes the order lock over from it, which is started
/// again after a short delay.
/// Returns whether the second one took the lock once more.
fn kill_two_leaders(system: &Arc<Deployment>, leader: &str) -> bool {
    let killed_at = Instant::now();
    kill_and_restart(system, leader, DARK);
    let lock = "order lock acquired";
    let others = (1..=CORE).map(|machine| format!("core-{machine}"));
    let others: Vec<String> = others.filter(|name| name != leader).collect();
    let successor = loop {
        let mut names = others.iter();
        let found = names.find(|name| !system.log_lines(name, killed_at, lock).is_empty());
        if let Some(name) = found {
            break name;
        }
        if killed_at.elapsed() > Duration::from_secs(4) {
            return false;
        }
        pause(2);
    };
    let again_at = Instant::now();
    kill_and_restart(system, successor, RESTART_DELAY);
    pause(2_500);
    let lines = system.log_lines(successor, again_at, lock);
    for line in &lines {
        system.record.line(&format!("{successor}: {line}"));
    }
    !lines.is_empty()
}

fn kill_and_restart(system: &Arc<Deployment>, name: &str, delay: Duration) {
    system.kill(name);
    let (system, machine) = (Arc::clone(system), machine_of(name));
    thread::spawn(move || {
        thread::sleep(delay);
        system.start_control(machine, false);
    });
}

fn machine_of(name: &str) -> u8 {
    name.trim_start_matches("core-")
        .parse()
        .expect("a machine of the core")
}

/// Counts the orders that reached an engine within the lease of an order of another holder.
fn judge(record: &Record, engines: &[Arc<Mutex<Engine>>]) -> usize {
    let mut broken = 0;
    for (number, engine) in engines.iter().enumerate() {
        let known = engine.lock().expect("no panic");
        for pair in known.arrivals.windows(2) {
            let gap = pair[1].at - pair[0].at;
            if pair[0].holder != pair[1].holder && gap < LEASE {
                broken += 1;
                record.say(&format!(
                    "i-{number}: order of {} (token {}), {} ms later one of {} (token {}); lease_ms is {}",
                    pair[0].holder,
                    pair[0].token,
                    gap.as_millis(),
                    pair[1].holder,
                    pair[1].token,
                    LEASE.as_millis()
                ));
            }
        }
    }
    broken
}
