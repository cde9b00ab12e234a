//! Tests of the endpoints that records yield.

use lentilshunt_core::{
    membership::{LocalRecord, Phase, Record, View},
    routing::Locality,
};
use rstest::rstest;

fn record(instance: &str, address: &str) -> Record {
    let locality = Locality::new(instance.to_owned(), "d".to_owned(), "r".to_owned());
    Record {
        service: "s".to_owned(),
        phase: Phase::Ready,
        ..LocalRecord::new(&locality, address.to_owned(), 1)
            .record()
            .clone()
    }
}

// Requests were sent to addresses at which no node can listen.
#[rstest]
#[case::ipv4("10.0.0.9:80", true)]
#[case::ipv6("[fd00::9]:80", true)]
#[case::highest_port("10.0.0.9:65535", true)]
#[case::port_out_of_range("10.0.0.9:65536", false)]
#[case::port_0("10.0.0.9:0", false)]
#[case::port_0_of_ipv6("[fd00::9]:0", false)]
#[case::name("node.example:80", false)]
#[case::unspecified("0.0.0.0:80", false)]
#[case::unspecified_ipv6("[::]:80", false)]
#[case::unspecified_mapped("[::ffff:0.0.0.0]:80", false)]
#[case::multicast("224.0.0.1:80", false)]
#[case::broadcast("255.255.255.255:80", false)]
fn view_of_records(#[case] address: &str, #[case] is_usable: bool) {
    let records = [record("a", "10.0.0.1:80"), record("b", address)];
    let view = View::new(&records);
    let instances: Vec<_> = view
        .endpoints
        .iter()
        .map(|endpoint| endpoint.instance.as_str())
        .collect();
    let expected: &[&str] = if is_usable { &["a", "b"] } else { &["a"] };
    assert_eq!(instances, expected);
}
