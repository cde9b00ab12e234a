//! Tests of reading invalid and arbitrary settings files.

use std::fmt::Write;

use lentilshunt_schema::{
    ini::{self, Problems},
    settings,
};
use proptest::{collection, prelude::*};
use serde_json::Value;

const NODE: &str = "[instance]\nname = a-1\nregion = sierra\ndomain = ambato\n\
    [listen]\ncallers = 10.0.0.1:7000\npeers = 10.0.0.1:7001\nadmin = 10.0.0.1:7002\n\
    [platform]\naddress = 10.0.9.1:7100\n[peers]\nseeds = 10.0.0.2:7001\n";

const SCHEMA: &str = include_str!("../schema/settings.json");

fn read_node(bytes: &[u8]) -> Result<settings::Node, Problems> {
    ini::read("Node", "node.ini", bytes)
}

#[test]
fn read_invalid_node_settings() {
    let replaced = |from: &str, to: &str| NODE.replace(from, to).into_bytes();
    let appended = |text: &str| format!("{NODE}{text}").into_bytes();
    let cases = [
        ("empty", Vec::new()),
        ("not UTF-8", b"[instance]\nname = \xff\n".to_vec()),
        ("file too large", vec![b';'; 2 * 1024 * 1024]),
        ("not INI", b"[instance".to_vec()),
        ("key outside any section", b"name = a\n".to_vec()),
        (
            "missing section",
            replaced("[platform]\naddress = 10.0.9.1:7100\n", ""),
        ),
        ("missing key", replaced("domain = ambato\n", "")),
        ("unknown section", appended("[colour]\nred = 1\n")),
        ("unknown key", appended("[calls]\nretries = 1\n")),
        (
            "duplicate section",
            appended("[platform]\naddress = 10.0.9.1:7100\n"),
        ),
        (
            "duplicate key",
            replaced("name = a-1\n", "name = a-1\nname = a-2\n"),
        ),
        ("empty name", replaced("a-1", "")),
        ("uppercase name", replaced("a-1", "A1")),
        ("name too long", replaced("a-1", &"a".repeat(64))),
        ("host name", replaced("10.0.9.1:7100", "platform:7100")),
        ("missing port", replaced("10.0.9.1:7100", "10.0.9.1")),
        (
            "port too large",
            replaced("10.0.9.1:7100", "10.0.9.1:71000"),
        ),
        ("invalid seed", replaced("10.0.0.2:7001", "10.0.0.2:7001,,")),
        ("below the range", appended("[calls]\ntimeout_ms = 0\n")),
        ("above the range", appended("[calls]\nqueue = 10001\n")),
        ("not a number", appended("[calls]\nqueue = 1.5\n")),
        ("not an allowed value", appended("[log]\nlevel = loud\n")),
        (
            "address of two listeners",
            replaced("10.0.0.1:7002", "10.0.0.1:7001"),
        ),
        (
            "address of a listener and the platform",
            replaced("10.0.9.1:7100", "10.0.0.1:7000"),
        ),
        (
            "node among its seeds",
            replaced("10.0.0.2:7001", "10.0.0.1:7001"),
        ),
        (
            "duplicate seed",
            replaced("10.0.0.2:7001", "10.0.0.2:7001, 10.0.0.2:7001"),
        ),
        (
            "unreachable advertised address",
            replaced("peers = 10.0.0.1:7001", "peers = 0.0.0.0:7001"),
        ),
        (
            "list of advertised addresses",
            replaced(
                "[platform]",
                "advertise = 10.0.0.1:7001, 10.0.0.1:7003\n[platform]",
            ),
        ),
    ];
    let mut report = String::new();
    for (name, bytes) in cases {
        let problems = read_node(&bytes).expect_err(name).to_string();
        writeln!(report, "{name}\n  {}", problems.replace('\n', "\n  ")).unwrap();
    }
    insta::assert_snapshot!(report);
}

#[test]
fn read_invalid_settings_of_other_programs() {
    let read = |root: &str, text: &str| {
        let result = ini::read::<serde_json::Value>(root, "settings.ini", text.as_bytes());
        result.expect_err("the settings are invalid").to_string()
    };
    let upstream =
        "[instance]\nname = a\nregion = r\ndomain = d\n[listen]\naddress = 10.0.0.1:7003\n";
    let problems = [
        read(
            "Operator",
            "[platform]\naddress = 10.0.9.1:7100\ntimeout_ms = 60001\n",
        ),
        read(
            "Operator",
            "[platform]\naddress = 10.0.9.1:7100\n[acceptance]\ntimeout_ms = 1\n",
        ),
        read("PlatformStandIn", "[listen]\naddress = 10.0.9.1\n"),
        read(
            "PlatformStandIn",
            "[listen]\naddress = 10.0.9.1:7100\n[capacity]\nreads_per_second = 0\n",
        ),
        read(
            "UpstreamStandIn",
            &format!("{upstream}[upstream]\nservice = Boletas\nnode = 10.0.0.1:7001\n"),
        ),
        read(
            "UpstreamStandIn",
            &format!("{upstream}[upstream]\nservice = boletas\nnode = 10.0.0.1:7003\n"),
        ),
        read(
            "UpstreamStandIn",
            &format!("{upstream}[upstream]\nservice = b\nnode = 10.0.0.1:7001\nmislead = yes\n"),
        ),
    ];
    insta::assert_snapshot!(problems.join("\n"));
}

#[test]
fn read_explicit_defaults_equals_omitted_keys() {
    let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is valid JSON");
    let definitions = &schema["definitions"];
    let mut text = String::new();
    for section in definitions["Node"]["properties"]
        .as_object()
        .expect("the type has sections")
        .keys()
    {
        let name = section[..1].to_uppercase() + &section[1..];
        let keys = definitions[&name]["properties"]
            .as_object()
            .expect("the section has keys");
        let required = NODE
            .split('[')
            .find_map(|section_text| section_text.strip_prefix(&format!("{section}]\n")));
        write!(text, "[{section}]\n{}", required.unwrap_or_default()).unwrap();
        let defaults = keys.iter().filter(|(key, _)| *key != "seeds");
        for (key, default) in
            defaults.filter_map(|(key, key_schema)| Some((key, key_schema.get("default")?)))
        {
            let default = default
                .as_str()
                .map_or_else(|| default.to_string(), str::to_owned);
            writeln!(text, "{key} = {default}").unwrap();
        }
    }
    assert_eq!(
        read_node(text.as_bytes()),
        read_node(NODE.as_bytes()),
        "{text}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn read_arbitrary_bytes(bytes in collection::vec(any::<u8>(), 0..300)) {
        drop(read_node(&bytes));
    }

    #[test]
    fn read_mutated_files(
        changes in collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<Option<prop::sample::Index>>(),
    ) {
        let mut bytes = NODE.as_bytes().to_vec();
        for (index, value) in changes {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        drop(read_node(&bytes));
    }
}
