//! Tests of the limit on nested values.

use lentilshunt_core::{
    encoding::{MAX_LEVELS, decode},
    quota, rollout,
};
use rstest::rstest;
use serde::de::IgnoredAny;

/// Returns the encoding of a value at a number of levels of arrays or maps.
fn nested(level: &[u8], levels: usize) -> Vec<u8> {
    let mut bytes = level.repeat(levels);
    bytes.push(0xc0);
    bytes
}

#[rstest]
#[case::array(b"\x91")]
#[case::map(b"\x81\xa1x")]
fn decode_nested(#[case] level: &[u8]) {
    let is_decoded = |levels| decode::<IgnoredAny>(&nested(level, levels)).is_ok();
    assert!(is_decoded(MAX_LEVELS - 1));
    assert!(!is_decoded(MAX_LEVELS));
    assert!(!is_decoded(100_000));
}

// An unknown field must not use up the stack, and one with few levels is passed over.
#[rstest]
#[case::few(9, true)]
#[case::many(100_000, false)]
fn decode_message_with_nested_unknown_field(#[case] levels: usize, #[case] is_decoded: bool) {
    let fields = |fields: &[(&str, Vec<u8>)]| {
        let count = u8::try_from(fields.len() + 1).expect("few fields");
        let mut bytes = vec![0x80 | count];
        bytes.extend(b"\xa3odd");
        bytes.extend(nested(b"\x91", levels));
        for (name, value) in fields {
            bytes.extend(rmp_serde::to_vec(name).expect("a text"));
            bytes.extend(value);
        }
        bytes
    };
    let text = |text: &str| rmp_serde::to_vec(text).expect("a text");
    let report = fields(&[("node", text("n1")), ("usages", vec![0x90])]);
    assert_eq!(decode::<quota::Report>(&report).is_ok(), is_decoded);
    let reply = fields(&[("limits", vec![0x90])]);
    assert_eq!(decode::<quota::Reply>(&reply).is_ok(), is_decoded);
    let report = fields(&[
        ("node", text("n1")),
        ("service", text("s")),
        ("version", text("v2")),
        ("age_ms", vec![0x01]),
        ("mode", text("Stopped")),
        ("is_new", vec![0xc0]),
        ("evidence", b"\x81\xa5kinds\x90".to_vec()),
    ]);
    assert_eq!(decode::<rollout::Report>(&report).is_ok(), is_decoded);
}
