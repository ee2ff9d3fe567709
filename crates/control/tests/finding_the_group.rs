//! How a control replica that lost its data finds its group.

use railtack_consensus::{Body, DiskId, Member, Message, ReplicaId};
use railtack_control::{node::contacts::GroupContacts, serving::formation::is_own_group};

const LOCAL: &str = "10.0.0.2:7340";

fn member(number: u32) -> Member {
    Member {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        address: format!("10.0.0.{number}:7340"),
        voter: true,
    }
}

fn seeds(numbers: &[u32]) -> Vec<std::net::SocketAddr> {
    let addresses = numbers.iter().map(|number| member(*number).address);
    addresses
        .map(|address| address.parse().expect("an address"))
        .collect()
}

/// Guards against a replica that joins the group of another deployment, which had its address before.
#[test]
fn a_group_is_trusted_only_if_it_has_the_local_address_and_another_seed() {
    let group = [member(2), member(3), member(4)];
    assert!(is_own_group(LOCAL, &seeds(&[1, 2, 3]), &group));
    assert!(is_own_group(LOCAL, &seeds(&[4]), &group));
    assert!(!is_own_group(LOCAL, &seeds(&[1, 2]), &group));
    assert!(!is_own_group(LOCAL, &seeds(&[]), &group));
    assert!(!is_own_group(
        LOCAL,
        &seeds(&[3, 4]),
        &[member(3), member(4)]
    ));
}

fn message(to: u32, to_disk: u64) -> Message {
    Message {
        from: ReplicaId(4),
        from_disk: DiskId(4),
        to: ReplicaId(to),
        to_disk: DiskId(to_disk),
        term: 1,
        body: Body::PreVoteReply { granted: true },
    }
}

#[test]
fn only_senders_to_a_former_data_folder_are_contacts_and_only_for_a_time() {
    let local = (ReplicaId(20), DiskId(20));
    let mut contacts = GroupContacts::default();
    contacts.record(&message(20, 20), "10.0.0.3:7340", local, 0);
    assert!(contacts.recent(0).is_empty());
    contacts.record(&message(2, 2), "10.0.0.4:7340", local, 0);
    contacts.record(&message(20, 2), "10.0.0.5:7340", local, 2_000);
    assert_eq!(contacts.recent(2_500), ["10.0.0.4:7340", "10.0.0.5:7340"]);
    assert_eq!(contacts.recent(4_000), ["10.0.0.5:7340"]);
}

/// Guards against a replica that keeps an address for each of any number of senders.
#[test]
fn the_number_of_contacts_is_bounded() {
    let mut contacts = GroupContacts::default();
    for sender in 0..1_000 {
        let address = format!("10.0.1.{sender}:7340");
        contacts.record(&message(2, 2), &address, (ReplicaId(20), DiskId(20)), 0);
    }
    assert!(contacts.recent(0).len() <= 16);
}
