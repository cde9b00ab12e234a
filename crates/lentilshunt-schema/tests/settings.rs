//! Settings files with mistakes, and arbitrary ones.

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

fn node(bytes: &[u8]) -> Result<settings::Node, Problems> {
    ini::read("Node", "node.ini", bytes)
}

#[test]
fn read_bad_files() {
    let changed = |from: &str, to: &str| NODE.replace(from, to).into_bytes();
    let with = |more: &str| format!("{NODE}{more}").into_bytes();
    let cases = [
        ("empty", Vec::new()),
        ("not UTF-8", b"[instance]\nname = \xff\n".to_vec()),
        ("too long", vec![b';'; 2 * 1024 * 1024]),
        ("not INI", b"[instance".to_vec()),
        ("key before sections", b"name = a\n".to_vec()),
        (
            "section left out",
            changed("[platform]\naddress = 10.0.9.1:7100\n", ""),
        ),
        ("key left out", changed("domain = ambato\n", "")),
        ("unknown section", with("[colour]\nred = 1\n")),
        ("unknown key", with("[calls]\nretries = 1\n")),
        (
            "section twice",
            with("[platform]\naddress = 10.0.9.1:7100\n"),
        ),
        (
            "key twice",
            changed("name = a-1\n", "name = a-1\nname = a-2\n"),
        ),
        ("empty name", changed("a-1", "")),
        ("name in upper case", changed("a-1", "A1")),
        ("long name", changed("a-1", &"a".repeat(64))),
        ("host name", changed("10.0.9.1:7100", "platform:7100")),
        ("no port", changed("10.0.9.1:7100", "10.0.9.1")),
        ("port too large", changed("10.0.9.1:7100", "10.0.9.1:71000")),
        ("bad seed", changed("10.0.0.2:7001", "10.0.0.2:7001,,")),
        ("below the range", with("[calls]\ntimeout_ms = 0\n")),
        ("above the range", with("[calls]\nqueue = 10001\n")),
        ("not a number", with("[calls]\nqueue = 1.5\n")),
        ("not a choice", with("[log]\nlevel = loud\n")),
        ("shared listener", changed("10.0.0.1:7002", "10.0.0.1:7001")),
        (
            "listener of the platform",
            changed("10.0.9.1:7100", "10.0.0.1:7000"),
        ),
        (
            "node among its seeds",
            changed("10.0.0.2:7001", "10.0.0.1:7001"),
        ),
        (
            "seed twice",
            changed("10.0.0.2:7001", "10.0.0.2:7001, 10.0.0.2:7001"),
        ),
        (
            "unreachable address",
            changed("peers = 10.0.0.1:7001", "peers = 0.0.0.0:7001"),
        ),
        (
            "advertised list",
            changed(
                "[platform]",
                "advertise = 10.0.0.1:7001, 10.0.0.1:7003\n[platform]",
            ),
        ),
    ];
    let mut report = String::new();
    for (name, bytes) in cases {
        let problems = node(&bytes).expect_err(name).to_string();
        writeln!(report, "{name}\n  {}", problems.replace('\n', "\n  ")).unwrap();
    }
    insta::assert_snapshot!(report);
}

#[test]
fn read_bad_files_of_other_programs() {
    let read = |root: &str, text: &str| {
        let read = ini::read::<serde_json::Value>(root, "settings.ini", text.as_bytes());
        read.expect_err("a mistake").to_string()
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
fn read_written_defaults_as_if_left_out() {
    let schema: Value = serde_json::from_str(SCHEMA).expect("JSON");
    let definitions = &schema["definitions"];
    let mut text = String::new();
    for section in definitions["Node"]["properties"]
        .as_object()
        .expect("sections")
        .keys()
    {
        let name = section[..1].to_uppercase() + &section[1..];
        let keys = definitions[&name]["properties"].as_object().expect("keys");
        let given = NODE
            .split('[')
            .find_map(|part| part.strip_prefix(&format!("{section}]\n")));
        write!(text, "[{section}]\n{}", given.unwrap_or_default()).unwrap();
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
    assert_eq!(node(text.as_bytes()), node(NODE.as_bytes()), "{text}");
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
        drop(node(&bytes));
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
        drop(node(&bytes));
    }
}
