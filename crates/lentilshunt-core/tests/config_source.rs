//! Tests for the compiler of inventory and rule files, and for their formatting as INI.

use std::{collections::BTreeMap, fmt::Write};

use lentilshunt_core::config::{
    Difference, IniText, Pattern, Service, Snapshot, Source, Topology, compile,
    compile_with_warnings,
};
use lentilshunt_schema::ini::Problems;
use proptest::{collection, prelude::*};

const INVENTORY: &str = "[region sierra]\n[domain ambato]\nregion = sierra\n\
    [service boletas]\nslots = 9\nconnections = 110\n[caller patio]\nservices = boletas\n";

const REQUEST: &str = "[request emitir]\nservice = boletas\nmethod = POST\n\
    path = /boletas/**\nidempotent = no\n";

fn compile_bytes(bytes: &[u8]) -> Result<Snapshot, Problems> {
    let name = "mesh.ini";
    compile(&[Source { name, bytes }])
}

/// Compiles the inventory followed by more lines.
fn compile_inventory_with(lines: &str) -> Result<Snapshot, Problems> {
    compile_bytes(format!("{INVENTORY}{lines}").as_bytes())
}

#[test]
fn compile_invalid_files() {
    let long = "a".repeat(64);
    let cases = [
        ("empty", String::new()),
        ("only a comment", "; nothing\n".to_owned()),
        ("not an INI file", "[region sierra\n".to_owned()),
        ("key before sections", "slots = 9\n".to_owned()),
        ("unknown section", format!("{INVENTORY}[zone a]\n")),
        ("section without name", format!("{INVENTORY}[service]\n")),
        ("uppercase name", format!("{INVENTORY}[region Costa]\n")),
        ("long name", format!("{INVENTORY}[region {long}]\n")),
        ("duplicate section", format!("{INVENTORY}[region sierra]\n")),
        (
            "unknown key",
            format!("{INVENTORY}[region costa]\ncolour = red\n"),
        ),
        (
            "duplicate key",
            format!("{INVENTORY}[domain manta]\nregion = sierra\nregion = sierra\n"),
        ),
        (
            "required key missing",
            format!("{INVENTORY}[domain manta]\n"),
        ),
        (
            "unknown region",
            format!("{INVENTORY}[domain manta]\nregion = costa\n"),
        ),
        ("number too large", INVENTORY.replace("= 9", "= 10001")),
        ("number zero", INVENTORY.replace("= 110", "= 0")),
        ("not a number", INVENTORY.replace("= 9", "= nine")),
        (
            "unknown service of a caller",
            INVENTORY.replace("s = boletas", "s = boletos"),
        ),
        (
            "duplicate service in a list",
            INVENTORY.replace("s = boletas", "s = boletas, boletas"),
        ),
        (
            "empty name in a list",
            INVENTORY.replace("s = boletas", "s = boletas,,"),
        ),
        (
            "unknown service of a request",
            format!("{INVENTORY}{REQUEST}").replace("service = boletas", "service = x"),
        ),
        (
            "lowercase method",
            format!("{INVENTORY}{REQUEST}").replace("POST", "post"),
        ),
        (
            "path without slash",
            format!("{INVENTORY}{REQUEST}").replace("/boletas/**", "boletas"),
        ),
        (
            "wildcard within a segment",
            format!("{INVENTORY}{REQUEST}").replace("/boletas/**", "/bol*"),
        ),
        (
            "double wildcard before the end",
            format!("{INVENTORY}{REQUEST}").replace("/boletas/**", "/**/a"),
        ),
        (
            "query in a path",
            format!("{INVENTORY}{REQUEST}").replace("/boletas/**", "/a?b=c"),
        ),
        (
            "neither yes nor no",
            format!("{INVENTORY}{REQUEST}").replace("= no", "= never"),
        ),
        (
            "duplicate rule",
            format!("{INVENTORY}{REQUEST}{}", REQUEST.replace("emitir", "otra")),
        ),
        (
            "contradictory rule",
            format!(
                "{INVENTORY}{REQUEST}{}",
                REQUEST.replace("emitir", "otra").replace("= no", "= yes")
            ),
        ),
        (
            "contradictory overlapping rule",
            format!(
                "{INVENTORY}{REQUEST}{}",
                REQUEST
                    .replace("emitir", "otra")
                    .replace("= no", "= yes")
                    .replace("POST", "*")
                    .replace("/boletas/**", "/*/buscar")
            ),
        ),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let problems = compile_bytes(text.as_bytes()).expect_err(name);
        writeln!(
            report,
            "{name}\n  {}",
            problems.to_string().replace('\n', "\n  ")
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}

#[test]
fn compile_invalid_bytes() {
    let messages = [
        compile_bytes(b"[region sierra]\n\xff\n"),
        compile_bytes(&vec![b';'; 10 * 1024 * 1024]),
        compile_bytes(&b"[zone a]\n".repeat(20_000)),
        compile_bytes(&b"[region a]\nx=1\n".repeat(10_000)),
    ]
    .map(|result| result.expect_err("a problem").0)
    .map(|problems| (problems.len(), problems.last().unwrap().to_string()));
    insta::assert_debug_snapshot!(messages);
}

#[test]
fn compile_reports_all_problems() {
    let problems = compile_inventory_with("[domain manta]\nregion = costa\n[zone a]\n")
        .expect_err("two problems");
    assert_eq!(problems.0.len(), 2);
}

#[test]
fn compile_with_warnings_suspicious_entries() {
    let text = format!(
        "{INVENTORY}[region costa]\n[caller nadie]\n[service consulta]\nslots = 9\nconnections = 1\n"
    );
    let source = Source {
        name: "mesh.ini",
        bytes: text.as_bytes(),
    };
    let compiled = compile_with_warnings(&[source]).expect("warnings only");
    insta::assert_snapshot!(compiled.warnings);
}

#[test]
fn compile_ignores_section_order() {
    let (first, second) = (
        REQUEST,
        REQUEST.replace("emitir", "a").replace("POST", "PUT"),
    );
    let digest = |lines: String| {
        compile_inventory_with(&lines)
            .expect("valid")
            .manifest()
            .digest()
    };
    assert_eq!(
        digest(format!("{first}{second}")),
        digest(format!("{second}{first}"))
    );
}

#[test]
fn difference_every_kind_of_change() {
    let old = compile_inventory_with(REQUEST).expect("valid");
    let text = INVENTORY.replace("= 9", "= 12").replace("patio", "muelle");
    let text = format!("{text}[region costa]\n[service consulta]\nslots = 1\nconnections = 1\n");
    let new = compile_bytes(text.as_bytes()).expect("valid");
    insta::assert_snapshot!(Difference::between(&old, &new));
    assert!(Difference::between(&old, &old).is_empty());
}

#[test]
fn pattern_overlaps_exactly_when_a_request_matches_both() {
    let paths = [
        "/", "/a", "/a/b", "/*", "/*/b", "/a/*", "/**", "/a/**", "/*/b/**", "/b",
    ];
    let requests = [
        "/", "/a", "/b", "/a/b", "/b/b", "/a/c", "/a/b/c", "/c/b/a", "/c/d/e",
    ];
    let pattern = |path: &str| Pattern {
        method: "GET".to_owned(),
        path: path.to_owned(),
    };
    for (left, right) in paths
        .iter()
        .flat_map(|a| paths.map(|b| (pattern(a), pattern(b))))
    {
        let both = |path: &&str| left.matches("GET", path) && right.matches("GET", path);
        let expected = requests.iter().any(both);
        assert_eq!(left.overlaps(&right), expected, "{left:?} {right:?}");
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9-]{0,8}"
}

fn pattern() -> impl Strategy<Value = Pattern> {
    let path = "(/[a-z]{1,3}|/\\*){1,3}(/\\*\\*)?";
    ("(GET|POST|\\*)", path).prop_map(|(method, path)| Pattern { method, path })
}

fn service() -> impl Strategy<Value = Service> {
    let callers = collection::btree_set(name(), 0..4);
    let patterns = collection::btree_set(pattern(), 0..4);
    (1..=10_000_u32, 1..=100_000_u32, callers, patterns).prop_map(
        |(slots, connections, callers, patterns)| Service {
            slots,
            connections,
            callers,
            non_idempotent: patterns.into_iter().collect(),
        },
    )
}

fn snapshot() -> impl Strategy<Value = Snapshot> {
    let regions = collection::btree_set(name(), 1..4);
    let domains = collection::btree_map(name(), any::<prop::sample::Index>(), 0..5);
    let services = collection::btree_map(name(), service(), 0..4);
    (regions, domains, services).prop_map(|(regions, domains, services)| {
        let names: Vec<&String> = regions.iter().collect();
        let domains: BTreeMap<String, String> = domains
            .into_iter()
            .map(|(domain, index)| (domain, (*index.get(&names)).clone()))
            .collect();
        let topology = Topology { regions, domains };
        Snapshot { topology, services }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn ini_text_round_trip(snapshot in snapshot()) {
        let text = IniText::new(&snapshot).to_string();
        let compiled = compile_bytes(text.as_bytes());
        prop_assert_eq!(compiled, Ok(snapshot), "{}", text);
    }
}
