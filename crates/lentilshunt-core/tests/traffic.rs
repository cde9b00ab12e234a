//! Tests for the matching of requests to routes, and for weighted splits.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lentilshunt_core::traffic::{Error, Limits, Route, Rules, Split, WeightedService};
use rstest::rstest;

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(500),
        rank: 0,
        is_public: false,
        max_upstream_attempts: 2,
        split: Split::new(vec![weighted(service, 1)], 0).expect("a weight"),
    }
}

fn rules() -> Rules {
    let services = BTreeSet::from(["bales".to_owned()]);
    Rules::new(3, Limits::default(), services)
}

#[rstest]
#[case("yard.example", "/a/b/c?x=/q", Some("deep"))]
#[case("YARD.example:8080", "/a/b/", Some("deep"))]
#[case("yard.example", "/a/b", Some("shallow"))]
#[case("yard.example", "/a", None)]
#[case("yard.example", "/ab/c", None)]
#[case("port.example", "/a/b/c", None)]
fn find_longest_prefix(#[case] host: &str, #[case] path: &str, #[case] found: Option<&str>) {
    let mut rules = rules();
    let insert = |rules: &mut Rules, prefix, name| {
        rules.insert("yard.example", prefix, route(name, "bales"))
    };
    assert_eq!(insert(&mut rules, "/a/", "shallow"), Ok(()));
    assert_eq!(insert(&mut rules, "/a/b/", "deep"), Ok(()));
    let path = path.split('?').next().unwrap_or_default();
    let name = rules.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name, found);
}

#[test]
fn insert_unknown_service() {
    let error = rules().insert("yard.example", "/a/", route("r", "tickets"));
    let expected = Error::UnknownService {
        route: "r".to_owned(),
        service: "tickets".to_owned(),
    };
    assert_eq!(error, Err(expected));
}

#[rstest]
#[case("", "/a/", "route \"r\" has no host")]
#[case(
    "h",
    "a/",
    "prefix \"a/\" of route \"r\" does not start and end with a slash"
)]
fn insert_malformed(#[case] host: &str, #[case] prefix: &str, #[case] message: &str) {
    let error = rules().insert(host, prefix, route("r", "bales"));
    assert_eq!(error.expect_err("an error").to_string(), message);
}

#[test]
fn insert_duplicate() {
    let mut rules = rules();
    assert_eq!(rules.insert("h", "/a/", route("one", "bales")), Ok(()));
    let error = rules.insert("H", "/a/", route("two", "bales"));
    let message = "route \"two\" duplicates host \"H\" and prefix \"/a/\"";
    assert_eq!(error.expect_err("an error").to_string(), message);
}

#[rstest]
#[case(90, 10, 0)]
#[case(1, 2, 1)]
#[case(50, 50, 77)]
fn split_exact_shares(#[case] left: u32, #[case] right: u32, #[case] phase: u64) {
    let split = Split::new(
        vec![weighted("left", left), weighted("right", right)],
        phase,
    )
    .expect("weights");
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..(left + right) {
        *counts.entry(split.next_service()).or_default() += 1;
    }
    assert_eq!(counts, BTreeMap::from([("left", left), ("right", right)]));
}

// Requests of a route with such weights were not answered, or went to one service too often.
#[test]
fn split_highest_weights() {
    let weights = vec![weighted("left", u32::MAX), weighted("right", u32::MAX)];
    let split = Split::new(weights, u64::MAX).expect("weights");
    let requests = 10_000;
    let services = std::iter::repeat_with(|| split.next_service());
    let left = services
        .take(requests)
        .filter(|service| ***service == *"left");
    let left = left.count();
    assert!(left.abs_diff(requests / 2) <= requests / 100, "{left}");
}

#[test]
fn split_without_weight() {
    assert!(Split::new(vec![weighted("left", 0)], 0).is_none());
}
