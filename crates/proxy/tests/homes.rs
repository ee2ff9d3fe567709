//! Which of very many replicas take prompts with the same first part.
//!
//! The pattern of load: 247 long prompts a second before 9,675 engines. Four first parts of 2,520 tokens are
//! shared by all of them, 2,336 second parts by some.
//! Ten thousand replicas are values here; no process and no network is needed.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use quickcheck::quickcheck;
use railtack_proxy::{
    PromptInfo, PromptSegment,
    affinity::{PrefixPath, rendezvous},
    fleet_view::FleetView,
    homes::{Homes, MIN_GROUP_SIZE, Ring, busy_replicas, group_homes, group_size},
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
    let shape = PromptInfo {
        model: "m".to_owned(),
        prompt_tokens: 9_190,
        segments: vec![
            segment(second % FIRST_PARTS, FIRST_TOKENS),
            segment(1_000 + second, 3_780),
            segment(u64::MAX, 2_890),
        ],
        ..PromptInfo::default()
    };
    PrefixPath::new(&shape, "")
}

fn ring(records: &[Arc<ReplicaRecord>]) -> Ring {
    Ring::new(records.iter().cloned())
}

fn first_segment_key(second: u64) -> u64 {
    prompt(second).first_segment_key().expect("a first part")
}

fn home_key(second: u64) -> u64 {
    prompt(second).key().expect("a shared part")
}

fn homes(ring: &Ring, second: u64, size: usize) -> Homes<'_> {
    let candidates = ring.iter_from(first_segment_key(second));
    group_homes(home_key(second), candidates, size, |_| true)
}

fn home(ring: &Ring, second: u64, size: usize) -> String {
    homes(ring, second, size).ranked[0].id.clone()
}

/// Of ten thousand replicas only those of the group are put in order: the first ones on the ring, in the
/// order in which all routers favour them for the deepest part.
#[test]
fn the_homes_are_the_first_on_the_ring_in_order() {
    let records: Vec<_> = (0..10_000).map(record).collect();
    let ring = ring(&records);
    for second in 1..50 {
        let on_ring: Vec<_> = ring.iter_from(first_segment_key(second)).collect();
        let members: HashSet<&String> = on_ring.iter().map(|record| &record.id).collect();
        assert_eq!(members.len(), records.len());
        let mut group = on_ring[..64].to_vec();
        group.sort_by_key(|record| Reverse(rendezvous(home_key(second), &record.id)));
        assert_eq!(homes(&ring, second, 64).ranked, group);
    }
    let few = Ring::new(records[..3].iter().cloned());
    assert_eq!(homes(&few, 7, 64).ranked.len(), 3);
    assert!(Ring::default().iter_from(7).next().is_none());
}

#[test]
fn a_first_part_is_kept_by_its_group_only() {
    let ring = ring(&fleet());
    let mut groups: HashMap<u64, HashSet<String>> = HashMap::new();
    for second in 0..SECOND_PARTS {
        let homes = homes(&ring, second, MIN_GROUP_SIZE);
        let group = groups.entry(second % FIRST_PARTS).or_default();
        group.insert(homes.ranked[0].id.clone());
    }
    for group in groups.values() {
        assert!(group.len() <= MIN_GROUP_SIZE, "{}", group.len());
        // Second parts spread over all of it.
        assert!(group.len() > MIN_GROUP_SIZE * 3 / 4, "{}", group.len());
    }
}

/// Routers learn of replicas in any order.
#[test]
fn all_routers_find_the_same_homes() {
    let records = fleet();
    let ring = ring(&records);
    let reversed = Ring::new(records.iter().rev().cloned());
    for second in 0..40 {
        let one = homes(&ring, second, MIN_GROUP_SIZE);
        let other = homes(&reversed, second, MIN_GROUP_SIZE);
        assert_eq!(one.ranked, other.ranked);
        assert_eq!(one.prefix_holders, other.prefix_holders);
    }
}

/// First parts read by replicas that another one could have handed them to, tokens, in the first seconds
/// after all replicas came up empty.
fn read_again(size: Option<usize>, seconds: u64, seed: u64) -> u64 {
    let records = fleet();
    let ring = ring(&records);
    let of_all = |second| {
        let home = home_key(second);
        let all = records.iter();
        all.max_by_key(|record| rendezvous(home, &record.id))
    };
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
                Some(size) => homes(&ring, second, size),
                None => Homes::of_all(None, of_all(second).into_iter().collect()),
            };
            let home = homes.ranked[0];
            let source = homes.prefix_source(
                home,
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
        let grouped = read_again(Some(MIN_GROUP_SIZE), 6, seed);
        assert!(
            grouped * 3 < flat,
            "seed {seed}: {grouped} of {flat} tokens"
        );
    }
}

/// Share of second parts whose home differs.
fn moved(before: &Ring, after: &Ring, sizes: (usize, usize)) -> f64 {
    let parts = 200;
    let differs = |second: &u64| home(before, *second, sizes.0) != home(after, *second, sizes.1);
    (0..parts).filter(differs).count() as f64 / parts as f64
}

#[test]
fn homes_move_by_about_the_share_of_replicas_that_changed() {
    let records = fleet();
    let all = ring(&records);
    let gone_each = 20;
    let kept = records.iter().enumerate();
    let kept = kept.filter(|(number, _)| number % gone_each != 0);
    let kept = Ring::new(kept.map(|(_, record)| Arc::clone(record)));
    let share = moved(&all, &kept, (MIN_GROUP_SIZE, MIN_GROUP_SIZE));
    // Those at replicas that are gone, and those of their places in the group.
    assert!(share < 3.0 / gone_each as f64, "{share}");
    // A group that doubles would leave half of them where they are; one that grows by its step a fourth.
    let doubled = moved(&all, &all, (MIN_GROUP_SIZE, MIN_GROUP_SIZE * 2));
    assert!(doubled < 0.6, "{doubled}");
    let grown = moved(&all, &all, (MIN_GROUP_SIZE, MIN_GROUP_SIZE * 4));
    assert!(grown < 0.85, "{grown}");
}

#[test]
fn the_loss_of_a_zone_leaves_the_work_within_the_slots_of_the_rest() {
    let records = fleet();
    let left = records.iter().filter(|record| record.zone != "zone-0");
    let left = Ring::new(left.cloned());
    let mut load: HashMap<String, u64> = HashMap::new();
    for second in 0..SECOND_PARTS {
        *load.entry(home(&left, second, MIN_GROUP_SIZE)).or_default() += 1;
    }
    // 247 prompts a second over 2,336 second parts, half a second each at a replica.
    let most = load.values().max().copied().unwrap_or_default() as f64;
    let open = most * LONG_PROMPTS as f64 / SECOND_PARTS as f64 * 0.5;
    assert!(open < 16.0 / 4.0, "{open}");
}

#[test]
fn members_on_which_all_routers_agree_are_left_out_unless_all_are() {
    let ring = ring(&fleet());
    let usual = homes(&ring, 3, MIN_GROUP_SIZE);
    let dark = usual.ranked[0].id.clone();
    let group = |is_usable: &dyn Fn(&ReplicaRecord) -> bool| {
        let candidates = ring.iter_from(first_segment_key(3));
        group_homes(home_key(3), candidates, MIN_GROUP_SIZE, is_usable)
    };
    let others = group(&|record| record.id != dark);
    assert!(others.ranked.iter().all(|record| record.id != dark));
    assert_eq!(others.ranked.len(), MIN_GROUP_SIZE);
    let kept = others
        .ranked
        .iter()
        .filter(|record| usual.ranked.contains(record));
    assert_eq!(kept.count(), MIN_GROUP_SIZE - 1);
    let none = group(&|_| false);
    assert_eq!(none.ranked, usual.ranked);
}

#[test]
fn a_group_grows_with_the_work() {
    assert_eq!(group_size(busy_replicas(0, 16)), MIN_GROUP_SIZE);
    // Work that comes and goes a little leaves homes where they are.
    for open_requests in [100, 345, 600, 1_000] {
        let size = group_size(busy_replicas(open_requests, 16));
        assert_eq!(size, MIN_GROUP_SIZE, "{open_requests}");
    }
    // Ten times the work.
    assert_eq!(group_size(busy_replicas(3_450, 16)), MIN_GROUP_SIZE * 4);
    // Figures that make no sense are borne.
    assert!(group_size(busy_replicas(u64::MAX, 0)) > FLEET);
}

#[test]
fn what_was_open_lately_is_believed_at_once_and_forgotten_slowly() {
    let start = Instant::now();
    let digest = |open_requests| FleetDigest {
        limited: Vec::new(),
        age_ms: 0,
        replicas: vec![ReplicaCondition {
            replica: ReplicaKey(1),
            open_requests,
            pending_prefill_tokens: 0,
            silent_ms: 0,
            is_unresponsive: false,
        }],
    };
    let mut fleet = FleetView::default();
    assert_eq!(fleet.peak_open_requests(start), 0);
    fleet.apply(digest(40), start);
    fleet.apply(digest(400), start);
    assert_eq!(fleet.peak_open_requests(start), 400);
    let later = start + Duration::from_secs(60);
    fleet.apply(digest(40), later);
    assert_eq!(fleet.peak_open_requests(later), 200);
    let much_later = start + Duration::from_secs(600);
    assert!(fleet.peak_open_requests(much_later) < 40);
}

quickcheck! {
    /// Any view has a home for any prompt, and none that is not in the view.
    fn any_view_has_homes(numbers: HashSet<u16>, second: u64, size: u8) -> bool {
        let records: Vec<_> = numbers.iter().map(|number| record(usize::from(*number))).collect();
        let ring = ring(&records);
        let size = usize::from(size).max(1);
        let homes = homes(&ring, second % SECOND_PARTS, size);
        let expected = records.len().min(size);
        let known: HashSet<&String> = records.iter().map(|record| &record.id).collect();
        homes.ranked.len() == expected
            && homes.ranked.iter().all(|record| known.contains(&record.id))
    }
}
