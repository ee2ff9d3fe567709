//! A seeded model of streams over two routers and three control replicas, while versions come and go and every
//! process may die at every step. Judged by what callers receive: no stream holds events of two versions, and one
//! whose record is at hand goes on.

use std::{collections::VecDeque, time::Duration};

use railtack_control::{serving::software::ChangeTimes, serving_state::ServingState};
use railtack_rpc::{layout::VersionedRecords, serving::ServingCommand};
use railtack_serving::{
    MonotonicTime, ReplicaRecord, ReplicaState, SoftwareVersion, StreamKey, StreamOrigin,
    StreamOrigins,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 300;
const STEPS: usize = 400;
const STEP: Duration = Duration::from_millis(250);
const SERVICE: &str = "pool";
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];
/// Longest time for which a router uses a replica that has left.
const LEASE: Duration = Duration::from_millis(4_500);
/// Time in which a caller takes its stream up.
const CALLER_WAITS: Duration = Duration::from_secs(8);
const WINDOW: Duration = CALLER_WAITS.saturating_add(LEASE);

/// What is left out, to see that the judge notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Versions that have left count for nothing.
    NoFormerVersions,
    /// A router takes the versions that it sees for all there were.
    OwnView,
    /// Routers are presumed to use no replica that has left.
    NoLease,
}

struct ControlReplica {
    origins: StreamOrigins,
    departures: ChangeTimes,
}

impl ControlReplica {
    fn new() -> Self {
        Self {
            origins: StreamOrigins::new(1_000),
            departures: ChangeTimes::default(),
        }
    }
}

struct Router {
    view: ServingState,
    /// Time up to which the view is current.
    confirmed_at: MonotonicTime,
    own: StreamOrigins,
}

struct Stream {
    key: StreamKey,
    origin: StreamOrigin,
    began_at: MonotonicTime,
    /// Whether its caller used the id for another stream as well.
    is_ambiguous: bool,
}

struct World {
    mutant: Mutant,
    random: ChaCha8Rng,
    now: MonotonicTime,
    index: u64,
    state: ServingState,
    control: Vec<ControlReplica>,
    routers: Vec<Router>,
    streams: VecDeque<Stream>,
    next_replica: u64,
    continued: u32,
    mixed: u32,
    forgotten: u32,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        let router = || Router {
            view: ServingState::default(),
            confirmed_at: Duration::ZERO,
            own: StreamOrigins::new(1_000),
        };
        Self {
            mutant,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            index: 0,
            state: ServingState::default(),
            control: (0..3).map(|_| ControlReplica::new()).collect(),
            routers: vec![router(), router()],
            streams: VecDeque::new(),
            next_replica: 0,
            continued: 0,
            mixed: 0,
            forgotten: 0,
        }
    }

    fn run(mut self) -> Self {
        for _ in 0..STEPS {
            self.now += STEP * self.random.random_range(0..3);
            match self.random.random_range(0..12) {
                0 => self.register(),
                1 => self.leave(),
                2 => self.restart_control(),
                3 => self.restart_router(),
                4..=5 => self.update_router(),
                6..=8 => self.begin_stream(),
                _ => self.take_up(),
            }
            for control in &mut self.control {
                control.departures.observe(&self.state, self.now);
            }
        }
        self
    }

    fn apply(&mut self, command: ServingCommand) {
        self.index += 1;
        self.state.apply(self.index, command);
    }

    fn register(&mut self) {
        let version = VERSIONS[self.random.random_range(0..VERSIONS.len())];
        self.next_replica += 1;
        let record = ReplicaRecord {
            id: format!("i-{}", self.next_replica),
            service: SERVICE.to_owned(),
            address: format!("10.0.0.1:{}", self.next_replica),
            zone: "a".to_owned(),
            slots: 4,
            state: ReplicaState::Ready,
            weights: Vec::new(),
            order: None,
            changed_at: 0,
            software: SoftwareVersion::parse(version).expect("a version"),
        };
        let records = VersionedRecords(vec![record]);
        self.apply(ServingCommand::RegisterVersioned(records));
    }

    fn leave(&mut self) {
        let known = self.state.replicas().size();
        if known == 0 {
            return;
        }
        let position = self.random.random_range(0..known);
        let replica = self.state.replicas().keys().nth(position).cloned();
        let replica = replica.expect("a replica");
        let command = match self.random.random_bool(0.5) {
            true => ServingCommand::Expire { replica },
            false => ServingCommand::Deregister { replica },
        };
        self.apply(command);
    }

    fn restart_control(&mut self) {
        let position = self.random.random_range(0..self.control.len());
        self.control[position] = ControlReplica::new();
    }

    fn restart_router(&mut self) {
        let position = self.random.random_range(0..self.routers.len());
        self.routers[position].own = StreamOrigins::new(1_000);
        self.update(position);
    }

    fn update_router(&mut self) {
        let position = self.random.random_range(0..self.routers.len());
        self.update(position);
    }

    fn update(&mut self, position: usize) {
        self.routers[position].view = self.state.clone();
        self.routers[position].confirmed_at = self.now;
    }

    /// Begins a stream at a replica of a router's view, which may be outdated, and loses some of its records.
    fn begin_stream(&mut self) {
        let position = self.random.random_range(0..self.routers.len());
        let (now, random) = (self.now, &mut self.random);
        let router = &mut self.routers[position];
        let known = router.view.replicas().size();
        if known == 0 || router.confirmed_at + LEASE <= now {
            return;
        }
        let number = random.random_range(0..known);
        let record = router.view.replicas().values().nth(number);
        let origin = StreamOrigin {
            service: SERVICE.to_owned(),
            software: record.expect("a replica").software.clone(),
        };
        // Some callers use an id again.
        let reused = self.streams.back_mut().filter(|_| random.random_bool(0.05));
        let key = match reused {
            Some(stream) if stream.origin != origin => {
                stream.is_ambiguous = true;
                stream.key
            }
            _ => StreamKey(random.random()),
        };
        let is_ambiguous = self.streams.iter().any(|stream| stream.key == key);
        router.own.record(key, origin.clone(), CALLER_WAITS, now);
        let first = random.random_range(0..self.control.len());
        for copy in 0..2 {
            if random.random_bool(0.3) {
                continue;
            }
            let holder = (first + copy) % self.control.len();
            let origins = &mut self.control[holder].origins;
            origins.record(key, origin.clone(), CALLER_WAITS, now);
        }
        self.streams.push_back(Stream {
            key,
            origin,
            began_at: now,
            is_ambiguous,
        });
    }

    /// Has a caller come back for a stream, to a router that reaches some control replicas.
    fn take_up(&mut self) {
        let now = self.now;
        let waits = |stream: &Stream| stream.began_at + CALLER_WAITS > now;
        self.streams.retain(waits);
        if self.streams.is_empty() {
            return;
        }
        let number = self.random.random_range(0..self.streams.len());
        let position = self.random.random_range(0..self.routers.len());
        let reached = [(); 3].map(|()| self.random.random_bool(0.7));
        let key = self.streams[number].key;
        let recorded = self.recorded(position, key, reached);
        let is_at_hand = recorded.is_some();
        let found = recorded.or_else(|| self.only_origin(position, reached));
        let stream = &self.streams[number];
        match found {
            Some(origin) if origin == stream.origin => self.continued += 1,
            // Its caller cannot tell its streams apart either.
            Some(_) if stream.is_ambiguous && is_at_hand => {}
            Some(_) => self.mixed += 1,
            None if is_at_hand => self.forgotten += 1,
            None => {}
        }
    }

    fn recorded(&self, router: usize, key: StreamKey, reached: [bool; 3]) -> Option<StreamOrigin> {
        let own = self.routers[router].own.get(key, self.now);
        let control = self.control.iter().zip(reached);
        let mut asked = control
            .filter(|(_, is_reached)| *is_reached)
            .filter_map(|(control, _)| control.origins.get(key, self.now));
        own.or_else(|| asked.next()).cloned()
    }

    /// Asks the first control replica that is reached, which confirms its state first.
    fn only_origin(&mut self, router: usize, reached: [bool; 3]) -> Option<StreamOrigin> {
        let asked = reached.iter().position(|is_reached| *is_reached)?;
        let state = match self.mutant {
            Mutant::OwnView => &self.routers[router].view,
            _ => &self.state,
        };
        let window = match self.mutant {
            Mutant::NoFormerVersions => Duration::ZERO,
            Mutant::NoLease => CALLER_WAITS,
            _ => WINDOW,
        };
        let departures = &mut self.control[asked].departures;
        let software = departures.only_version(state, SERVICE, window, self.now)?;
        Some(StreamOrigin {
            service: SERVICE.to_owned(),
            software,
        })
    }
}

fn play(mutant: Mutant) -> (u32, u32, u32) {
    let (mut continued, mut mixed, mut forgotten) = (0, 0, 0);
    for seed in 0..SEEDS {
        let world = World::new(seed, mutant).run();
        continued += world.continued;
        mixed += world.mixed;
        forgotten += world.forgotten;
    }
    (continued, mixed, forgotten)
}

/// Guards against any order of deaths, lost records and outdated views in which a stream goes on at another version.
#[test]
fn no_stream_holds_events_of_two_versions() {
    let (continued, mixed, forgotten) = play(Mutant::None);
    assert_eq!(mixed, 0);
    assert_eq!(forgotten, 0);
    assert!(continued > 1_000, "{continued}");
}

#[test]
fn each_mutant_is_noticed() {
    for mutant in [Mutant::NoFormerVersions, Mutant::OwnView, Mutant::NoLease] {
        let (_, mixed, _) = play(mutant);
        assert!(mixed > 0, "{mutant:?}");
    }
}
