//! Tests that arbitrary and mutated bytes cause an error, not a panic or an invalid snapshot.

use std::collections::BTreeMap;

use lentilshunt_core::config::{
    Head, Manifest, Pattern, Section, Service, Snapshot, Source, compile,
};
use proptest::{collection, prelude::*, sample::Index};

fn valid_snapshot() -> Snapshot {
    let text = "[region sierra]\n[domain ambato]\nregion = sierra\n\
        [service boletas]\nslots = 9\nconnections = 110\n[caller patio]\nservices = boletas\n\
        [request emitir]\nservice = boletas\nmethod = POST\npath = /boletas/**\nidempotent = no\n";
    let name = "mesh.ini";
    let bytes = text.as_bytes();
    compile(&[Source { name, bytes }]).expect("valid")
}

/// Assembles sections with matching hashes, regardless of their content.
fn assemble(sections: Vec<Section>) -> Result<Snapshot, String> {
    let named = sections.iter();
    let manifest = Manifest {
        sections: named
            .map(|section| (section.name.clone(), section.digest()))
            .collect(),
    };
    let contents: BTreeMap<String, Vec<u8>> = sections
        .into_iter()
        .map(|section| (section.digest(), section.content))
        .collect();
    Snapshot::assemble(&manifest, &contents).map_err(|error| error.to_string())
}

fn error_of_snapshot(change: impl Fn(&mut Snapshot)) -> String {
    let mut snapshot = valid_snapshot();
    change(&mut snapshot);
    assemble(snapshot.sections()).expect_err("an invalid snapshot")
}

fn error_of_service(change: impl Fn(&mut Service)) -> String {
    error_of_snapshot(|snapshot| change(snapshot.services.get_mut("boletas").expect("a service")))
}

fn pattern(method: &str, path: &str) -> Pattern {
    Pattern {
        method: method.to_owned(),
        path: path.to_owned(),
    }
}

#[test]
fn assemble_invalid_snapshots() {
    let messages = [
        error_of_snapshot(|snapshot| snapshot.topology.regions.clear()),
        error_of_snapshot(|snapshot| snapshot.topology.regions.extend(["Sierra".to_owned()])),
        error_of_snapshot(|snapshot| {
            let domains = &mut snapshot.topology.domains;
            domains.insert("a b".to_owned(), "sierra".to_owned());
        }),
        error_of_snapshot(|snapshot| {
            let regions = (0..300).map(|index| format!("r{index}"));
            snapshot.topology.regions.extend(regions);
        }),
        error_of_snapshot(|snapshot| {
            let boletas = snapshot.services["boletas"].clone();
            snapshot.services.insert(String::new(), boletas);
        }),
        error_of_service(|service| service.slots = 0),
        error_of_service(|service| service.connections = u32::MAX),
        error_of_service(|service| service.callers.extend(["a/b".to_owned()])),
        error_of_service(|service| service.non_idempotent.push(pattern("POST", "/boletas/**"))),
        error_of_service(|service| service.non_idempotent.push(pattern("post", "/x"))),
        error_of_service(|service| service.non_idempotent.push(pattern("PUT", "x"))),
        error_of_service(|service| {
            let more = (0..5000).map(|index| pattern("GET", &format!("/{index}")));
            service.non_idempotent.extend(more);
        }),
    ];
    insta::assert_debug_snapshot!(messages);
}

#[test]
fn assemble_invalid_sections() {
    let error_of = |change: &dyn Fn(&mut Vec<Section>)| {
        let mut sections = valid_snapshot().sections();
        change(&mut sections);
        assemble(sections).expect_err("invalid sections")
    };
    let extra = |name: &str| Section {
        name: name.to_owned(),
        content: vec![0x90],
    };
    let messages = [
        error_of(&|sections| sections[0].content.push(0)),
        error_of(&|sections| sections[1].content.truncate(3)),
        error_of(&|sections| drop(sections.remove(0))),
        error_of(&|sections| sections.push(extra("route/x"))),
        error_of(&|sections| sections[0].content = vec![0; 9 * 1024 * 1024]),
        // An array whose header declares 2^32 - 1 entries.
        error_of(&|sections| sections[0].content = vec![0x92, 0xdd, 0xff, 0xff, 0xff, 0xff]),
    ];
    insta::assert_debug_snapshot!(messages);
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    collection::vec(any::<u8>(), 0..200)
}

/// Replaces some bytes and optionally truncates the result.
fn mutate(bytes: &[u8], changes: &[(Index, u8)], cut: Option<Index>) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (index, value) in changes {
        let index = index.index(bytes.len());
        bytes[index] = *value;
    }
    if let Some(cut) = cut {
        bytes.truncate(cut.index(bytes.len()));
    }
    bytes
}

fn changes() -> impl Strategy<Value = (Vec<(Index, u8)>, Option<Index>)> {
    let change = (any::<Index>(), any::<u8>());
    (collection::vec(change, 0..4), any::<Option<Index>>())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in bytes()) {
        let digest = digest_of(&bytes);
        drop(Head::decode(&bytes));
        let path = format!("/{}", String::from_utf8_lossy(&bytes));
        let is_match = pattern("*", "/**").matches("GET", &path);
        prop_assert!(is_match);
        drop(Manifest::decode(&bytes, &digest));
        drop(compile(&[Source { name: "mesh.ini", bytes: &bytes }]));
        let section = |name: &str| Section { name: name.to_owned(), content: bytes.clone() };
        drop(assemble(vec![section(Section::TOPOLOGY), section("service/boletas")]));
    }

    #[test]
    fn decode_mutated_sections((changes, cut) in changes(), which in 0..2_usize) {
        let mut sections = valid_snapshot().sections();
        sections[which].content = mutate(&sections[which].content, &changes, cut);
        if let Ok(snapshot) = assemble(sections.clone()) {
            prop_assert_eq!(snapshot.sections(), sections);
            prop_assert!(snapshot.validate().is_ok());
        }
    }

    #[test]
    fn decode_mutated_manifest_and_head((changes, cut) in changes()) {
        let manifest = mutate(&valid_snapshot().manifest().encode(), &changes, cut);
        if let Ok(decoded) = Manifest::decode(&manifest, &digest_of(&manifest)) {
            prop_assert_eq!(decoded.encode(), manifest);
        }
        let head = Head { version: 7, digest: "d".repeat(64), operation: "o".to_owned() };
        drop(Head::decode(&mutate(&head.encode(), &changes, cut)));
    }

    #[test]
    fn compile_mutated_text((changes, cut) in changes()) {
        let text = lentilshunt_core::config::IniText::new(&valid_snapshot()).to_string();
        let bytes = mutate(text.as_bytes(), &changes, cut);
        if let Ok(snapshot) = compile(&[Source { name: "mesh.ini", bytes: &bytes }]) {
            prop_assert!(snapshot.validate().is_ok());
        }
    }
}

fn digest_of(bytes: &[u8]) -> String {
    let section = Section {
        name: String::new(),
        content: bytes.to_vec(),
    };
    section.digest()
}
