//! Which of very many replicas take prompts with the same first part.
//!
//! The pattern of load: 247 long prompts a second before 9,675 engines. Four first parts of 2,520 tokens are
//! shared by all of them, 2,336 second parts by some; a fifth of 333 tenants shares nothing with others.
//! Ten thousand replicas are values here; no process and no network is needed.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use quickcheck::quickcheck;
use railtack_proxy::{
    PromptSegment, PromptShape,
    affinity::{PrefixPath, favoured, rendezvous},
    fleet::FleetKnowledge,
    homes::{Homes, SMALLEST_GROUP, Sharing, busy_replicas, group_size, nested},
};
use railtack_rpc::serving::{FleetDigest, ReplicaCondition};
use railtack_serving::{ReplicaKey, ReplicaRecord, ReplicaState};
use tokio::time::Instant;

const FLEET: usize = 9_675;
const ZONES: usize = 5;
const FIRST_PARTS: u64 = 4;
const FIRST_TOKENS: u64 = 2_520;
const SECOND_PARTS: u64 = 2_336;
const LONG_PROMPTS: u64 = 247;
/// All tenants share with each other.
const ALL: Sharing = Sharing {
    sharers: 1,
    tenants: 1,
};

fn record(number: usize) -> Arc<ReplicaRecord> {
    Arc::new(ReplicaRecord {
        id: format!("i-{number}"),
        service: "pool".to_owned(),
        address: format!("10.0.0.1:{number}"),
        zone: format!("zone-{}", number % ZONES),
        slots: 16,
        state: ReplicaState::Ready,
        weights: Vec::new(),
        order: None,
        changed_at: 1,
    })
}

fn fleet() -> Vec<Arc<ReplicaRecord>> {
    (0..FLEET).map(record).collect()
}

/// The prompt with a second part; each second part has one first part.
fn prompt(second: u64) -> PrefixPath {
    let segment = |id, tokens| PromptSegment { id, tokens };
    let shape = PromptShape {
        model: "m".to_owned(),
        prompt_tokens: 9_190,
        segments: vec![
            segment(second % FIRST_PARTS, FIRST_TOKENS),
            segment(1_000 + second, 3_780),
            segment(u64::MAX, 2_890),
        ],
        ..PromptShape::default()
    };
    PrefixPath::new(&shape, "")
}

fn homes<'a>(ready: &[&'a Arc<ReplicaRecord>], second: u64, size: usize) -> Homes<'a> {
    nested(&prompt(second), ready, size, |_| true).expect("a prompt with shared parts")
}

fn home(ready: &[&Arc<ReplicaRecord>], second: u64, size: usize) -> String {
    homes(ready, second, size).ranked[0].id.clone()
}

/// Of ten thousand replicas only those that can be chosen are put in order, and they are the same ones in
/// the same order as if all were.
#[test]
fn the_favoured_replicas_are_the_first_of_all_in_order() {
    let records: Vec<_> = (0..10_000).map(record).collect();
    for key in 1..50 {
        let mut all: Vec<_> = records.iter().collect();
        all.sort_by_key(|record| std::cmp::Reverse(rendezvous(key, &record.id)));
        let first = favoured(key, records.iter().collect(), 64);
        assert_eq!(first, all[..64]);
    }
    assert_eq!(favoured(7, records[..3].iter().collect(), 64).len(), 3);
}

#[test]
fn a_first_part_is_kept_by_its_group_only() {
    let records = fleet();
    let ready: Vec<_> = records.iter().collect();
    let mut groups: HashMap<u64, HashSet<String>> = HashMap::new();
    for second in 0..SECOND_PARTS {
        let homes = homes(&ready, second, SMALLEST_GROUP);
        let group = groups.entry(second % FIRST_PARTS).or_default();
        group.insert(homes.ranked[0].id.clone());
    }
    for group in groups.values() {
        assert!(group.len() <= SMALLEST_GROUP, "{}", group.len());
        // Second parts spread over all of it.
        assert!(group.len() > SMALLEST_GROUP * 3 / 4, "{}", group.len());
    }
}

/// Routers learn of replicas in any order.
#[test]
fn all_routers_find_the_same_homes() {
    let records = fleet();
    let ready: Vec<_> = records.iter().collect();
    let reversed: Vec<_> = records.iter().rev().collect();
    for second in 0..40 {
        let one = homes(&ready, second, SMALLEST_GROUP);
        let other = homes(&reversed, second, SMALLEST_GROUP);
        assert_eq!(one.ranked, other.ranked);
        assert_eq!(one.holders, other.holders);
    }
}

/// First parts read by replicas that another one could have handed them to, tokens, in the first seconds
/// after all replicas came up empty.
fn read_again(size: Option<usize>, seconds: u64, seed: u64) -> u64 {
    let records = fleet();
    let ready: Vec<_> = records.iter().collect();
    let mut keeps: HashSet<(u64, String)> = HashSet::new();
    let mut in_use: HashSet<String> = HashSet::new();
    let mut read = 0;
    let mut draw = seed;
    for _ in 0..seconds {
        // What routers are told is a second old.
        let told = in_use.clone();
        for _ in 0..LONG_PROMPTS {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let second = (draw >> 33) % SECOND_PARTS;
            let first = second % FIRST_PARTS;
            let homes = match size {
                Some(size) => homes(&ready, second, size),
                None => Homes {
                    ranked: favoured(prompt(second).key().expect("a key"), ready.clone(), 1),
                    holders: Vec::new(),
                },
            };
            let home = homes.ranked[0];
            let source = homes.first_part_source(
                |record| told.contains(&record.id),
                |record| record.id != home.id,
            );
            let is_kept = keeps.contains(&(first, home.id.clone()));
            let is_fetched =
                source.is_some_and(|source| keeps.contains(&(first, source.id.clone())));
            if !is_kept && !is_fetched {
                read += FIRST_TOKENS;
            }
            keeps.insert((first, home.id.clone()));
            in_use.insert(home.id.clone());
        }
    }
    read
}

/// Homes of second parts over all replicas read the first part at each of them; within a group they fetch
/// it once the digest names a member in use, so what is read does not grow with the fleet.
#[test]
fn a_group_reads_its_first_part_a_few_times_in_all() {
    for seed in [11, 12, 13] {
        let flat = read_again(None, 6, seed);
        let grouped = read_again(Some(SMALLEST_GROUP), 6, seed);
        assert!(
            grouped * 3 < flat,
            "seed {seed}: {grouped} of {flat} tokens"
        );
    }
}

/// Share of second parts whose home differs.
fn moved(
    before: &[&Arc<ReplicaRecord>],
    after: &[&Arc<ReplicaRecord>],
    sizes: (usize, usize),
) -> f64 {
    let parts = 200;
    let differs = |second: &u64| home(before, *second, sizes.0) != home(after, *second, sizes.1);
    (0..parts).filter(differs).count() as f64 / parts as f64
}

#[test]
fn homes_move_by_about_the_share_of_replicas_that_changed() {
    let records = fleet();
    let all: Vec<_> = records.iter().collect();
    let gone_each = 20;
    let kept: Vec<_> = all
        .iter()
        .copied()
        .enumerate()
        .filter(|(number, _)| number % gone_each != 0)
        .map(|(_, record)| record)
        .collect();
    let share = moved(&all, &kept, (SMALLEST_GROUP, SMALLEST_GROUP));
    // Those at replicas that are gone, and those of their places in the group.
    assert!(share < 3.0 / gone_each as f64, "{share}");
    // A group that doubles leaves half of them where they are.
    let grown = moved(&all, &all, (SMALLEST_GROUP, SMALLEST_GROUP * 2));
    assert!(grown < 0.6, "{grown}");
}

#[test]
fn the_loss_of_a_zone_leaves_the_work_within_the_slots_of_the_rest() {
    let records = fleet();
    let left: Vec<_> = records
        .iter()
        .filter(|record| record.zone != "zone-0")
        .collect();
    let mut load: HashMap<String, u64> = HashMap::new();
    for second in 0..SECOND_PARTS {
        *load.entry(home(&left, second, SMALLEST_GROUP)).or_default() += 1;
    }
    // 247 prompts a second over 2,336 second parts, half a second each at a replica.
    let most = load.values().max().copied().unwrap_or_default() as f64;
    let open = most * LONG_PROMPTS as f64 / SECOND_PARTS as f64 * 0.5;
    assert!(open < 16.0 / 4.0, "{open}");
}

#[test]
fn members_on_which_all_routers_agree_are_left_out_unless_all_are() {
    let records = fleet();
    let ready: Vec<_> = records.iter().collect();
    let usual = homes(&ready, 3, SMALLEST_GROUP);
    let dark = usual.ranked[0].id.clone();
    let path = prompt(3);
    let others = nested(&path, &ready, SMALLEST_GROUP, |record| record.id != dark);
    let others = others.expect("homes");
    assert_eq!(others.ranked[0], usual.ranked[1]);
    assert_eq!(others.ranked.len(), SMALLEST_GROUP);
    let none = nested(&path, &ready, SMALLEST_GROUP, |_| false).expect("homes");
    assert_eq!(none.ranked, usual.ranked);
}

#[test]
fn a_group_grows_with_the_work_and_is_a_tenants_share_of_it() {
    let sharing = |sharers| Sharing {
        sharers,
        tenants: 333,
    };
    assert_eq!(group_size(busy_replicas(0, 16), ALL), SMALLEST_GROUP);
    assert_eq!(group_size(busy_replicas(345, 16), ALL), SMALLEST_GROUP);
    assert_eq!(group_size(busy_replicas(3_450, 16), ALL), 2_048);
    assert_eq!(group_size(busy_replicas(345, 16), sharing(267)), 206);
    assert_eq!(group_size(busy_replicas(345, 16), sharing(1)), 2);
    // Figures that make no sense are borne.
    assert!(group_size(busy_replicas(u64::MAX, 0), sharing(usize::MAX)) > FLEET);
    assert_eq!(
        group_size(
            1,
            Sharing {
                sharers: 0,
                tenants: 0
            }
        ),
        2
    );
}

#[test]
fn what_was_open_lately_is_believed_at_once_and_forgotten_slowly() {
    let start = Instant::now();
    let digest = |open_requests| FleetDigest {
        age_ms: 0,
        replicas: vec![ReplicaCondition {
            replica: ReplicaKey(1),
            open_requests,
            unread_tokens: 0,
            heard_ms: 0,
            is_dark: false,
        }],
    };
    let mut fleet = FleetKnowledge::default();
    assert_eq!(fleet.busiest_open_requests(start), 0);
    fleet.take(digest(40), start);
    fleet.take(digest(400), start);
    assert_eq!(fleet.busiest_open_requests(start), 400);
    let later = start + Duration::from_secs(10);
    fleet.take(digest(40), later);
    assert_eq!(fleet.busiest_open_requests(later), 200);
    let much_later = start + Duration::from_secs(100);
    assert!(fleet.busiest_open_requests(much_later) < 40);
}

quickcheck! {
    /// Any view has a home for any prompt, and none that is not in the view.
    fn any_view_has_homes(numbers: HashSet<u16>, second: u64, size: u8) -> bool {
        let records: Vec<_> = numbers.iter().map(|number| record(usize::from(*number))).collect();
        let ready: Vec<_> = records.iter().collect();
        let size = usize::from(size).max(1);
        let homes = homes(&ready, second % SECOND_PARTS, size);
        let expected = records.len().min(size);
        let known: HashSet<&String> = records.iter().map(|record| &record.id).collect();
        homes.ranked.len() == expected
            && homes.ranked.iter().all(|record| known.contains(&record.id))
    }
}
