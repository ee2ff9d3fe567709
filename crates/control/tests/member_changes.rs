//! When a leader takes the vote of a silent member.

use railtack_consensus::{
    Body, DiskId, Member, Membership, Message, Millis, Raft, RaftOptions, Recovered, ReplicaId,
    Role, Snapshot,
};
use railtack_control::member_changes::MemberChanges;
use railtack_serving::FaultTolerance;

const TOLERANCE: FaultTolerance = FaultTolerance { machines: 2 };
const LEADER: u32 = 1;
const DEAD: u32 = 5;
const SPARE: u32 = 6;
/// Time in which a successor has to be in place, milliseconds.
const CATCH_UP_MS: Millis = 6_000;
const SYNC_MS: Millis = 800;
/// What is left of that time for the silence: two changes follow it, each with a sync of the leader and one of another
/// member.
const SILENCE_BOUND_MS: Millis = CATCH_UP_MS - 2 * 2 * SYNC_MS;

/// Silence that costs a voter its vote if syncs are fast, milliseconds.
const SILENCE_LIMIT_MS: Millis = 1_200;
/// Time that an exchange of votes takes, milliseconds.
const EXCHANGE_MS: Millis = 350;

/// A replica of a group of five voters and a spare replica.
fn replica() -> Raft {
    let members = (1..=SPARE).map(|number| Member {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        address: format!("10.0.0.{number}:1"),
        voter: number != SPARE,
    });
    let snapshot = Snapshot {
        membership: Membership {
            members: members.collect(),
        },
        ..Snapshot::default()
    };
    let options = RaftOptions {
        replica: ReplicaId(LEADER),
        disk: DiskId(u64::from(LEADER)),
        election_timeout: 400,
        heartbeat_interval: 100,
        append_limit: 64,
        append_bytes: 1 << 20,
        seed: 1,
        check_disk_identity: true,
    };
    let recovered = Recovered {
        snapshot,
        ..Recovered::default()
    };
    Raft::new(options, recovered, 0)
}

/// Delivers replies of all live members to what the replica sends.
fn exchange(raft: &mut Raft, now: Millis) {
    let ready = raft.take_ready();
    raft.mark_persisted(raft.log().last_index());
    for message in ready.messages {
        if message.to == ReplicaId(DEAD) {
            continue;
        }
        let body = match message.body {
            Body::PreVote { .. } => Body::PreVoteReply { granted: true },
            Body::Vote { .. } => Body::VoteReply { granted: true },
            Body::Append {
                previous_index,
                entries,
                sent_at,
                ..
            } => Body::AppendReply {
                success: true,
                index: previous_index + entries.len() as u64,
                sent_at,
            },
            _ => continue,
        };
        let reply = Message {
            from: message.to,
            from_disk: message.to_disk,
            to: message.from,
            to_disk: message.from_disk,
            term: message.term,
            body,
        };
        raft.receive(reply, now);
    }
}

/// Runs until the leader proposes to remove the dead voter, and returns the time since `from`.
fn time_to_removal(raft: &mut Raft, from: Millis) -> Millis {
    time_to_removal_with(raft, from, |_, _| {})
}

/// Like [`time_to_removal`], with something else that happens each millisecond.
fn time_to_removal_with(
    raft: &mut Raft,
    from: Millis,
    mut disturb: impl FnMut(&mut Raft, Millis),
) -> Millis {
    let changes = MemberChanges::default();
    for now in from..from + 20_000 {
        raft.tick(now);
        exchange(raft, now);
        disturb(raft, now);
        let next = (raft.role() == Role::Leader)
            .then(|| changes.next(raft, TOLERANCE, now))
            .flatten();
        if next.is_some_and(|next| !next.is_voter(ReplicaId(DEAD))) {
            return now - from;
        }
    }
    panic!("the dead voter is never removed");
}

/// Guards against a dead voter that keeps its vote for as long as some multiple of the time that syncs take: its successor
/// has to be in place within a time that does not depend on them.
#[test]
fn a_dead_voter_is_replaced_however_long_syncs_take() {
    let mut raft = replica();
    for _ in 0..4 {
        raft.record_sync(SYNC_MS);
    }
    let mut now = 0;
    while raft.role() != Role::Leader {
        now += 1;
        raft.tick(now);
        exchange(&mut raft, now);
    }
    let time = time_to_removal(&mut raft, now);
    assert!(time <= SILENCE_BOUND_MS, "{time} ms");
}

/// Guards against a new leader that takes a dead voter for a live one until it has been silent once more: the dead one has
/// not answered the votes of the election either.
#[test]
fn a_new_leader_counts_the_silence_of_a_voter_from_its_election() {
    let mut raft = replica();
    let mut asked_at = None;
    let mut now = 0;
    // Each exchange takes a third of the silence that costs a voter its vote.
    while raft.role() != Role::Leader {
        now += 1;
        raft.tick(now);
        if raft.role() == Role::PreCandidate {
            asked_at.get_or_insert(now);
            now += EXCHANGE_MS;
        }
        exchange(&mut raft, now);
        if raft.role() == Role::Candidate {
            now += EXCHANGE_MS;
            exchange(&mut raft, now);
        }
    }
    let elected_at = now;
    let asked_at = asked_at.expect("an election");
    assert!(elected_at >= asked_at + 2 * EXCHANGE_MS);
    let time = time_to_removal(&mut raft, elected_at);
    assert!(
        time <= SILENCE_LIMIT_MS - 2 * EXCHANGE_MS + 1,
        "{time} ms after the election"
    );
}

/// Guards against a voter that receives nothing, but asks for votes, and so never counts as silent.
#[test]
fn a_voter_that_answers_nothing_is_silent_although_it_sends() {
    let mut raft = replica();
    let mut now = 0;
    while raft.role() != Role::Leader {
        now += 1;
        raft.tick(now);
        exchange(&mut raft, now);
    }
    let ask_for_votes = |raft: &mut Raft, now: Millis| {
        let request = Message {
            from: ReplicaId(DEAD),
            from_disk: DiskId(u64::from(DEAD)),
            to: ReplicaId(LEADER),
            to_disk: DiskId(u64::from(LEADER)),
            term: raft.term() + 1,
            body: Body::PreVote {
                last_index: 0,
                last_term: 0,
            },
        };
        raft.receive(request, now);
    };
    let time = time_to_removal_with(&mut raft, now, ask_for_votes);
    assert!(time <= SILENCE_LIMIT_MS + 1, "{time} ms");
}
