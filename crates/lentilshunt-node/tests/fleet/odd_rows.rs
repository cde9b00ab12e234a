//! Tests of the table of nodes with rows of other writers in it.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

use bytes::Bytes;
use lentilshunt_core::membership::{Phase, Record};
use lentilshunt_net::log;
use lentilshunt_node::fleet::{Change, NodeRegistry, Registration, TableUpdate};
use lentilshunt_schema::settings::{Log, LogFormat, LogLevel};
use rstest::rstest;

use crate::{record, registration, row, shared};

/// Levels at which a decoder that recurses without limit has used up its stack.
const NESTED_LEVELS: usize = 100_000;
/// Key of the odd row.
const ODD: &str = "odd";
/// Encoding of `slots` and its number in the rows of these tests.
const SLOTS: &[u8] = b"\xa5slots\x00";
/// Encoding of `link_mbps` and its number.
const LINK: &[u8] = b"\xa9link_mbps\x64";

/// Lines of a log.
#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// Returns the problems that are logged of the odd row.
    fn problems(&self) -> Vec<String> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        lines
            .filter(|line: &serde_json::Value| line["level"] == "WARN" && line["node"] == ODD)
            .map(|line| line["msg"].as_str().unwrap().to_owned())
            .collect()
    }
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn ready(instance: &str, address: &str) -> Record {
    Record {
        address: address.to_owned(),
        ..record(instance, Phase::Ready)
    }
}

/// Returns the content of a row with a part of its encoding replaced.
fn replaced(from: &[u8], to: &[u8]) -> Bytes {
    let row = registration(&ready(ODD, "10.0.0.9:80"));
    let bytes = rmp_serde::to_vec_named(&row).unwrap();
    let at = bytes.windows(from.len()).position(|part| part == from);
    let at = at.expect("the part to be replaced");
    [&bytes[..at], to, &bytes[at + from.len()..]]
        .concat()
        .into()
}

/// Returns the content of a row with another field before the others.
fn with_field(value: &[u8]) -> Bytes {
    // A map of three fields instead of two.
    replaced(
        b"\x82\xa6record",
        &[b"\x83\xa3odd", value, b"\xa6record"].concat(),
    )
}

fn nested(level: &[u8]) -> Vec<u8> {
    let mut bytes = level.repeat(NESTED_LEVELS);
    bytes.push(0xc0);
    bytes
}

fn nested_arrays() -> Vec<u8> {
    nested(b"\x91")
}

fn nested_maps() -> Vec<u8> {
    nested(b"\x81\xa1x")
}

/// Applies the rows `n1`, `odd` and `n3`, all at once or one after the other, and returns the
/// instances that requests, and those that reports, are sent to.
fn apply(odd: &Bytes, is_full: bool) -> (Vec<String>, Vec<String>, Vec<String>) {
    let lines = Lines::default();
    let settings = Log {
        format: LogFormat::Json,
        level: LogLevel::Info,
    };
    let mut shared = Arc::into_inner(shared()).unwrap();
    shared.log = log::logger_to(lines.clone(), &settings, "test");
    let shared = Arc::new(shared);
    let mut registry = NodeRegistry::new(Arc::clone(&shared));
    let odd = Change {
        key: ODD.to_owned(),
        value: Some(odd.clone()),
    };
    let first = row(&ready("n1", "10.0.0.1:80"));
    let changes = vec![first, odd, row(&ready("n3", "[fd00::3]:80"))];
    if is_full {
        registry.apply_update(TableUpdate::Full(changes), Instant::now());
    } else {
        for change in changes {
            registry.apply_update(TableUpdate::Incremental(vec![change]), Instant::now());
        }
    }
    let directory = shared.directory.load_full();
    let endpoints = directory.endpoints();
    let mut endpoints: Vec<_> = endpoints
        .map(|endpoint| endpoint.instance.clone())
        .collect();
    endpoints.sort();
    let coordinators = directory.coordinators().iter();
    let mut coordinators: Vec<_> = coordinators.map(|(instance, _)| instance.clone()).collect();
    coordinators.sort();
    // Writes the queued lines.
    drop((registry, shared));
    (endpoints, coordinators, lines.problems())
}

// One row must cost only itself: the other nodes are in use, and a line of the log names the row.
#[rstest]
#[case::no_row(Bytes::new())]
#[case::nested_arrays(nested_arrays().into())]
#[case::nested_maps(nested_maps().into())]
#[case::nested_arrays_in_unknown_field(with_field(&nested_arrays()))]
#[case::nested_maps_in_unknown_field(with_field(&nested_maps()))]
#[case::nested_arrays_in_number(replaced(SLOTS, &[b"\xa5slots", &*nested_arrays()].concat()))]
#[case::nested_maps_in_number(replaced(LINK, &[b"\xa9link_mbps", &*nested_maps()].concat()))]
#[case::too_large(replaced(SLOTS, b"\xa5slots\xcf\xff\xff\xff\xff\xff\xff\xff\xff"))]
#[case::negative(replaced(SLOTS, b"\xa5slots\xff"))]
#[case::fraction(replaced(SLOTS, b"\xa5slots\xcb\x3f\xf8\0\0\0\0\0\0"))]
#[case::infinite(replaced(LINK, b"\xa9link_mbps\xcb\x7f\xf0\0\0\0\0\0\0"))]
#[case::long_array(Bytes::from_static(b"\xdd\xff\xff\xff\xff\x01"))]
#[case::long_map(Bytes::from_static(b"\xdf\xff\xff\xff\xff\xa1x\x01"))]
#[case::long_text(with_field(b"\xdb\xff\xff\xff\xff"))]
#[case::long_bytes(with_field(b"\xc6\xff\xff\xff\xff"))]
#[case::long_array_in_unknown_field(with_field(b"\xdd\xff\xff\xff\xff"))]
#[case::json(Bytes::from_static(br#"{"record":{"address":"10.0.0.9:99999"}}"#))]
fn apply_update_with_undecodable_row(#[case] odd: Bytes, #[values(true, false)] is_full: bool) {
    let (endpoints, coordinators, problems) = apply(&odd, is_full);
    assert_eq!(endpoints, ["n1", "n3"]);
    assert_eq!(coordinators, ["n1", "n3"]);
    assert_eq!(
        problems,
        ["node registration cannot be decoded, row ignored"]
    );
}

// Requests and reports were sent to addresses at which no node can listen, and no line of the log
// named the row.
#[rstest]
#[case::port_out_of_range("10.0.0.9:99999")]
#[case::negative_port("10.0.0.9:-1")]
#[case::no_port("10.0.0.9")]
#[case::port_0("10.0.0.9:0")]
#[case::port_0_of_ipv6("[fd00::9]:0")]
#[case::empty("")]
#[case::no_host(":80")]
#[case::name("node.example:80")]
#[case::unspecified("0.0.0.0:80")]
#[case::unspecified_ipv6("[::]:80")]
#[case::multicast("224.0.0.1:80")]
#[case::broadcast("255.255.255.255:80")]
fn apply_update_with_unusable_address(#[case] address: &str, #[values(true, false)] is_full: bool) {
    let row = registration(&ready(ODD, address));
    let odd = rmp_serde::to_vec_named(&row).unwrap();
    let (endpoints, coordinators, problems) = apply(&odd.into(), is_full);
    assert_eq!(endpoints, ["n1", "n3"]);
    assert_eq!(coordinators, ["n1", "n3"]);
    assert_eq!(
        problems,
        ["node registration without a usable address, row ignored"]
    );
}

// The highest numbers that a row can hold must end no process.
#[rstest]
fn apply_update_with_highest_numbers(#[values(true, false)] is_full: bool) {
    let record = Record {
        incarnation: u64::MAX,
        sequence: u64::MAX,
        base: u64::MAX,
        reading: u64::MAX,
        slots: u32::MAX,
        room: u32::MAX,
        ..ready(ODD, "10.0.0.9:80")
    };
    let row = Registration {
        record,
        link_mbps: u32::MAX,
    };
    let odd = rmp_serde::to_vec_named(&row).unwrap();
    let (endpoints, coordinators, problems) = apply(&odd.into(), is_full);
    assert_eq!(endpoints, ["n1", "n3", ODD]);
    assert_eq!(coordinators, ["n1", "n3", ODD]);
    assert!(problems.is_empty(), "{problems:?}");
}
