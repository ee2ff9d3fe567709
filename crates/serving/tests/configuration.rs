//! Tests of validation and of lookups by route and key.

use quickcheck::{Gen, QuickCheck};
use railtack_serving::{
    ConfigurationError, KeyOwner, RequestKind, Route, RouteTable, ServiceConfig,
    ServingConfiguration, TenantConfig, WeightedService,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_objective_ms: 0,
        priority: 0,
        targets: vec![WeightedService {
            service: "app".to_owned(),
            weight_milli: 1_000,
        }],
        max_attempts: 2,
        allows_anonymous: false,
        sticky: false,
    }
}

fn service(name: &str) -> ServiceConfig {
    ServiceConfig {
        name: name.to_owned(),
        max_connections: 10,
        engine: None,
        store: None,
    }
}

fn tenant(name: &str, keys: &[&str]) -> TenantConfig {
    TenantConfig {
        name: name.to_owned(),
        api_keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        isolated: false,
        quota: None,
    }
}

fn valid() -> ServingConfiguration {
    ServingConfiguration {
        revision: 1,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
        ],
        services: vec![service("app")],
        tenants: vec![tenant("one", &["k1", "k2"]), tenant("two", &["k3"])],
        ..ServingConfiguration::default()
    }
}

#[test]
fn the_longest_prefix_wins_and_hosts_ignore_case_and_port() {
    let table = RouteTable::new(valid());
    let name = |host, path| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("A.Example:8080", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/xy/"), None);
    assert_eq!(name("b.example", "/x/"), None);
}

#[test]
fn a_key_is_resolved_to_its_tenant() {
    let table = RouteTable::new(valid());
    assert!(
        matches!(table.key_owner(Some("k2")), KeyOwner::Tenant(tenant) if tenant.name == "one")
    );
    assert_eq!(table.key_owner(Some("k9")), KeyOwner::Unknown);
    assert_eq!(table.key_owner(None), KeyOwner::Unknown);
    let open = ServingConfiguration {
        tenants: Vec::new(),
        ..valid()
    };
    assert_eq!(RouteTable::new(open).key_owner(None), KeyOwner::NotRequired);
}

#[test]
fn each_invalid_configuration_yields_its_error() {
    type Invalidate = fn(&mut ServingConfiguration);
    type Expect = fn(&ConfigurationError) -> bool;
    let cases: [(Invalidate, Expect); 7] = [
        (
            |c| c.routes[0].targets[0].service = "none".to_owned(),
            |e| matches!(e, ConfigurationError::UnknownService { .. }),
        ),
        (
            |c| c.routes[1].path_prefix = "/x/".to_owned(),
            |e| matches!(e, ConfigurationError::DuplicateRoute { .. }),
        ),
        (
            |c| c.routes[0].targets[0].weight_milli = 0,
            |e| matches!(e, ConfigurationError::NoWeight { .. }),
        ),
        (
            |c| c.routes[0].timeout_ms = 0,
            |e| matches!(e, ConfigurationError::NoTimeout { .. }),
        ),
        (
            |c| c.routes[0].path_prefix = "/x".to_owned(),
            |e| matches!(e, ConfigurationError::MalformedPrefix { .. }),
        ),
        (
            |c| c.services.push(c.services[0].clone()),
            |e| matches!(e, ConfigurationError::DuplicateService { .. }),
        ),
        (
            |c| c.tenants[1].api_keys.push("k1".to_owned()),
            |e| matches!(e, ConfigurationError::SharedKey { .. }),
        ),
    ];
    assert_eq!(valid().validate(), Ok(()));
    for (position, (invalidate, expected)) in cases.iter().enumerate() {
        let mut configuration = valid();
        invalidate(&mut configuration);
        let error = configuration
            .validate()
            .expect_err("an invalid configuration");
        assert!(expected(&error), "case {position}: {error}");
    }
}

/// Guards against a lookup that misses the longest prefix among prefixes that begin each other, as a scan of all routes
/// finds it.
#[test]
fn the_route_with_the_longest_prefix_is_found_whatever_the_routes() {
    fn is_found(prefixes: Vec<Vec<bool>>, path: Vec<bool>) -> bool {
        let text = |steps: &[bool]| -> String {
            let steps = steps.iter().take(6);
            steps.map(|step| if *step { "a/" } else { "b" }).collect()
        };
        let prefixes = prefixes.iter().map(|steps| text(steps));
        let routes: Vec<Route> = prefixes
            .enumerate()
            .map(|(number, prefix)| route(&number.to_string(), "h.example", &prefix))
            .collect();
        let path = text(&path);
        let matching = routes
            .iter()
            .filter(|route| path.starts_with(&route.path_prefix));
        // Of routes that share a prefix, the first.
        let longest = matching.rev().max_by_key(|route| route.path_prefix.len());
        let longest = longest.cloned();
        let table = RouteTable::new(ServingConfiguration {
            routes,
            ..ServingConfiguration::default()
        });
        table.route("h.example", &path) == longest.as_ref()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(5_000)
        .quickcheck(is_found as fn(Vec<Vec<bool>>, Vec<bool>) -> bool);
}
