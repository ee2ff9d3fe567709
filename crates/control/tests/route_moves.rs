//! When routes were moved to a service.

use railtack_control::serving_state::route_moves::RouteMoves;
use railtack_serving::{RequestKind, Route, ServingConfiguration, WeightedService};

const SERVICE: &str = "current";

/// Returns a configuration with routes of the given prefixes and services.
fn configuration(routes: &[(&str, &[&str])]) -> ServingConfiguration {
    let routes = routes.iter().map(|(path_prefix, services)| Route {
        name: (*path_prefix).to_owned(),
        host: "a.example".to_owned(),
        path_prefix: (*path_prefix).to_owned(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 1_000,
        gap_objective_ms: 0,
        priority: 1,
        targets: services
            .iter()
            .map(|service| WeightedService {
                service: (*service).to_owned(),
                weight_milli: 1_000,
            })
            .collect(),
        max_attempts: 2,
        allows_anonymous: true,
        sticky: false,
    });
    ServingConfiguration {
        routes: routes.collect(),
        ..ServingConfiguration::default()
    }
}

/// Returns whether the second configuration moves a route to the service.
fn is_moved(before: &[(&str, &[&str])], after: &[(&str, &[&str])]) -> bool {
    let mut moves = RouteMoves::default();
    moves.record_change(7, &configuration(before), &configuration(after));
    let moved_at = moves.moved_at(SERVICE);
    assert!(moved_at.is_none_or(|moved_at| moved_at == 7));
    moved_at.is_some()
}

/// Guards against a stream going on at the service to which its route, or the paths of another route, were moved.
#[test]
fn every_way_to_move_a_route_is_seen() {
    let current: &[&str] = &[SERVICE];
    assert!(is_moved(&[("/a/", &["former"])], &[("/a/", current)]));
    let split: &[&str] = &[SERVICE, "former"];
    assert!(is_moved(&[("/a/", split)], &[("/a/", current)]));
    let shorter = ("/a/", &["former"][..]);
    let longer = ("/a/b/", current);
    assert!(is_moved(&[shorter], &[shorter, longer]));
    let longer_before = ("/a/b/", &["former"][..]);
    let rest = ("/a/", current);
    assert!(is_moved(&[rest, longer_before], &[rest]));
}

#[test]
fn other_changes_move_nothing() {
    let current = ("/a/", &[SERVICE][..]);
    assert!(!is_moved(&[current], &[current]));
    assert!(!is_moved(&[], &[current]));
    let other = ("/b/", &["former"][..]);
    assert!(!is_moved(&[other], &[other, current]));
    assert!(!is_moved(&[current, other], &[current]));
}

/// Guards against a move that is overlooked because another one follows at once.
#[test]
fn a_move_forth_and_back_is_seen() {
    let current = configuration(&[("/a/", &[SERVICE])]);
    let other = configuration(&[("/a/", &["former"])]);
    let mut moves = RouteMoves::default();
    moves.record_change(7, &current, &other);
    moves.record_change(8, &other, &current);
    assert_eq!(moves.moved_at("former"), Some(7));
    assert_eq!(moves.moved_at(SERVICE), Some(8));
    moves.record_change(9, &current, &current);
    assert_eq!(moves.moved_at(SERVICE), Some(8));
}
