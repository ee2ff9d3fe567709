//! Simulated control replicas on in-memory storage.

use railtack_consensus::{DiskId, LogIndex, Member, Message, Millis, ReplicaId, Role};
use railtack_control::{
    configuration::RevisionCheck,
    pending::PendingProposals,
    replica::{Replica, ReplicaOptions},
};
use railtack_rpc::protocol::ProposeReply;
use railtack_storage::MemoryMedia;
use rand::RngExt;

use crate::simulate::{
    Invariant, Mutant,
    control::world::{CheckFailure, Clock, Event, REPLICAS, Reply, Request, World},
    network::Node,
};

/// Milliseconds.
const TICK_INTERVAL: u64 = 10;
/// Minimum election timeout, milliseconds.
const ELECTION_TIMEOUT: Millis = 300;
/// Milliseconds.
const HEARTBEAT_INTERVAL: Millis = 60;
/// Log entries between snapshots; few, so that snapshots are frequent.
const SNAPSHOT_ENTRIES: u64 = 60;
/// Longer than any run, so that claims do not expire.
const CLAIM_RETENTION: Millis = 86_400_000;
/// Wall-clock time at the start of a run, milliseconds since the Unix epoch.
const CLOCK_EPOCH: u64 = 1_700_000_000_000;

/// A replica's running process.
pub struct ReplicaProcess {
    pub replica: Replica,
    /// Callers that wait for proposals to be applied.
    pub pending: PendingProposals<(Node, u64)>,
}

/// A replica's machine, with its disk and process.
pub struct SimReplica {
    /// Contents of the data folder.
    pub media: MemoryMedia,
    /// `None` while the process is down.
    pub process: Option<ReplicaProcess>,
    /// Number of the current process; rises with every start.
    pub incarnation: u32,
    pub clock: Clock,
}

impl World {
    /// Starts the initial replicas as voters of one cluster.
    pub fn start_replicas(&mut self) {
        for number in 1..=REPLICAS {
            self.add_machine(number);
        }
        let mut members = Vec::new();
        for number in 1..=REPLICAS {
            let options = self.options(number);
            members.push(Member {
                replica: ReplicaId(number),
                disk: options.new_disk,
                address: address(number),
                voter: true,
            });
        }
        for number in 1..=REPLICAS {
            let options = self.options(number);
            let media = self.replicas[&number].media.clone();
            // Writing to new in-memory storage cannot fail.
            let _ = Replica::initialize_with_members(&media, &options, members.clone());
            let _ = self.start_replica(number);
            // Syncs are skipped only after initialization, so that the mutant loses replicated entries only.
            media.ignore_syncs(self.is_mutant(Mutant::NoClaimSync));
        }
    }

    pub fn add_machine(&mut self, number: u32) {
        let media = MemoryMedia::default();
        let clock = Clock::draw(&mut self.random);
        let machine = SimReplica {
            media,
            process: None,
            incarnation: 0,
            clock,
        };
        self.replicas.insert(number, machine);
    }

    fn options(&self, number: u32) -> ReplicaOptions {
        let incarnation = self
            .replicas
            .get(&number)
            .map_or(0, |machine| machine.incarnation);
        let revision_check = if self.is_mutant(Mutant::NoRevisionCheck) {
            RevisionCheck::Skipped
        } else {
            RevisionCheck::Enforced
        };
        ReplicaOptions {
            cluster: "simulated".to_owned(),
            replica: ReplicaId(number),
            new_disk: DiskId(u64::from(number) << 32 | u64::from(incarnation)),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            snapshot_entries: SNAPSHOT_ENTRIES,
            snapshot_bytes: usize::MAX,
            accept_stored_id: false,
            claim_retention_ms: CLAIM_RETENTION,
            seed: u64::from(number) << 32 | u64::from(incarnation),
            check_disk_identity: !self.is_mutant(Mutant::StaleVote),
            revision_check,
        }
    }

    /// Starts a replica's process from its stored state.
    pub fn start_replica(&mut self, number: u32) -> Result<(), CheckFailure> {
        let options = self.options(number);
        let now = self.schedule.now();
        let Some(machine) = self.replicas.get_mut(&number) else {
            return Ok(());
        };
        if machine.process.is_some() {
            return Ok(());
        }
        machine.incarnation += 1;
        let incarnation = machine.incarnation;
        machine.media.fail_syncs(false);
        let local = machine.clock.read(now);
        let opened = Replica::open(&machine.media, options, local);
        let replica = match opened {
            Ok(replica) => replica,
            Err(report) => {
                // Synced data must be readable after any crash.
                let detail = format!("replica {number} cannot start: {report}");
                return Err((Invariant::LogAgreement, detail));
            }
        };
        machine.process = Some(ReplicaProcess {
            replica,
            pending: PendingProposals::default(),
        });
        self.trace.record(now, || {
            format!("replica {number} starts, life {incarnation}")
        });
        self.schedule.after(
            1,
            Event::Tick {
                replica: number,
                incarnation,
            },
        );
        if !self.engines.is_empty() || self.scenario == crate::simulate::Scenario::Rollout {
            let event = Event::RolloutCheck {
                replica: number,
                incarnation,
            };
            self.schedule.after(500, event);
        }
        Ok(())
    }

    /// Crashes a replica's process. Unsynced bytes are lost, except for a torn tail.
    pub fn crash_replica(&mut self, number: u32) {
        let torn = self.random.random_range(0..40);
        let now = self.schedule.now();
        if let Some(machine) = self.replicas.get_mut(&number)
            && machine.process.take().is_some()
        {
            machine.media.crash(torn);
            self.frozen.remove(&Node::Replica(number));
            self.trace
                .record(now, || format!("replica {number} crashes"));
        }
    }

    /// Handles a timer tick of a replica.
    pub fn tick(&mut self, number: u32, incarnation: u32) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let Some(machine) = self.replicas.get_mut(&number) else {
            return Ok(());
        };
        if machine.incarnation != incarnation {
            return Ok(());
        }
        let local = machine.clock.read(now);
        let Some(process) = machine.process.as_mut() else {
            return Ok(());
        };
        process.replica.tick(local);
        self.schedule.after(
            TICK_INTERVAL,
            Event::Tick {
                replica: number,
                incarnation,
            },
        );
        self.advance(number)
    }

    /// Delivers a Raft message to a replica.
    pub fn deliver(&mut self, message: Message) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let number = message.to.0;
        let Some(machine) = self.replicas.get_mut(&number) else {
            return Ok(());
        };
        let local = machine.clock.read(now);
        let Some(process) = machine.process.as_mut() else {
            return Ok(());
        };
        process.replica.receive(message, local);
        self.advance(number)
    }

    /// Handles a call of a router or an operator at a replica.
    pub fn handle_call(
        &mut self,
        number: u32,
        from: Node,
        call: u64,
        request: Request,
    ) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let Some(machine) = self.replicas.get_mut(&number) else {
            return Ok(());
        };
        let at = CLOCK_EPOCH + machine.clock.read(now);
        let Some(process) = machine.process.as_mut() else {
            self.reply(number, from, call, Reply::Refused);
            return Ok(());
        };
        match request {
            Request::Poll(request) => {
                let reply = process.replica.poll(&request);
                self.reply(number, from, call, Reply::Polled(Box::new(reply)));
                Ok(())
            }
            Request::Propose(mut proposal) => {
                proposal.at = at;
                match process.replica.propose(&proposal) {
                    Ok(position) => process.pending.insert(position, (from, call)),
                    Err(_) => {
                        let reply = Reply::Proposed(ProposeReply::NotLeader { leader: None });
                        self.reply(number, from, call, reply);
                    }
                }
                self.advance(number)
            }
        }
    }

    fn reply(&mut self, number: u32, to: Node, call: u64, reply: Reply) {
        if let Some(delay) = self.network.connection_delay(Node::Replica(number), to) {
            let event = Event::Reply {
                node: to,
                call,
                reply,
            };
            self.schedule.after(delay, event);
        }
    }

    /// Persists, sends and applies pending work, as the daemon does after each batch of inputs.
    pub fn advance(&mut self, number: u32) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let Some(process) = self
            .replicas
            .get_mut(&number)
            .and_then(|machine| machine.process.as_mut())
        else {
            return Ok(());
        };
        let advance = match process.replica.advance() {
            Ok(advance) => advance,
            Err(_) => {
                // A replica that cannot sync stops without acknowledging the entries.
                self.trace
                    .record(now, || format!("replica {number} stops: storage"));
                self.crash_replica(number);
                let pause = self.random.random_range(500..3_000);
                let event = Event::Restart(Node::Replica(number));
                self.schedule.after(pause, event);
                return Ok(());
            }
        };
        let mut replies = Vec::new();
        for applied in advance.applied {
            self.checks.record_applied(number, &applied)?;
            replies.extend(process.pending.applied(applied));
        }
        if process.replica.raft().role() != Role::Leader {
            replies.extend(process.pending.fail_all());
        }
        for ((node, call), reply) in replies {
            self.reply(number, node, call, Reply::Proposed(reply));
        }
        for message in advance.messages {
            let from = Node::Replica(number);
            let to = Node::Replica(message.to.0);
            for delay in self.network.datagram_delays(from, to) {
                let event = Event::Raft(Box::new(message.clone()));
                self.schedule.after(delay, event);
            }
        }
        Ok(())
    }

    /// Leaders of the highest term.
    pub fn leaders(&self) -> Vec<u32> {
        let leading = self.replicas.iter().filter_map(|(number, machine)| {
            let raft = machine.process.as_ref()?.replica.raft();
            (raft.role() == Role::Leader).then_some((raft.term(), *number))
        });
        let leading: Vec<(u64, u32)> = leading.collect();
        let newest = leading.iter().map(|(term, _)| *term).max();
        leading
            .into_iter()
            .filter(|(term, _)| Some(*term) == newest)
            .map(|(_, number)| number)
            .collect()
    }

    /// Records the state of every replica in the trace.
    pub fn trace_replicas(&mut self) {
        let now = self.schedule.now();
        for (number, machine) in &self.replicas {
            self.trace.record(now, || match &machine.process {
                None => format!("replica {number} is down"),
                Some(process) => {
                    let raft = process.replica.raft();
                    let members = raft.membership().members.iter().map(|member| {
                        let kind = if member.voter { "voter" } else { "learner" };
                        format!("{} {kind} disk {:x}", member.replica, member.disk.0)
                    });
                    format!(
                        "replica {number} disk {:x}: {:?}, term {}, log to {}, commit {}, members [{}]",
                        process.replica.identity().disk.0,
                        raft.role(),
                        raft.term(),
                        raft.log().last_index(),
                        raft.commit_index(),
                        members.collect::<Vec<_>>().join(", "),
                    )
                }
            });
        }
    }

    /// Checks that replicas with the same applied index have the same state.
    pub fn check_replicas_agree(&self) -> Result<(), CheckFailure> {
        let mut compared: Vec<(LogIndex, u32)> = Vec::new();
        for (number, machine) in &self.replicas {
            let Some(process) = &machine.process else {
                continue;
            };
            let applied = process.replica.raft().applied_index();
            let peer = compared.iter().find(|(index, _)| *index == applied);
            if let Some((_, other)) = peer {
                let peer_process = self.replicas[other].process.as_ref();
                let same = peer_process.is_some_and(|peer_process| {
                    peer_process.replica.state() == process.replica.state()
                });
                if !same {
                    let detail = format!("replicas {other} and {number} differ at {applied}");
                    return Err((Invariant::LogAgreement, detail));
                }
            }
            compared.push((applied, *number));
        }
        Ok(())
    }
}

/// Address of a replica in the membership.
pub fn address(number: u32) -> String {
    format!("127.0.0.{number}:1")
}
