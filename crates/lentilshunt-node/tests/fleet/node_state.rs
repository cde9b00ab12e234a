//! Tests of the state that nodes send to each other.

use bytes::Bytes;
use lentilshunt_node::fleet::{NodeState, Patch};
use proptest::prelude::*;

#[test]
fn state_round_trip() {
    let state = NodeState {
        rules: Some(Patch::Whole(Bytes::from_static(b"rules"))),
        records: Vec::new(),
    };
    assert_eq!(NodeState::decode(&state.encode()).expect("a state"), state);
}

// An unknown field of a later release, or of no release, must not use up the stack.
#[test]
fn decode_with_nested_unknown_field() {
    let nested = [b"\x81\xa3odd".to_vec(), vec![0x91; 100_000], vec![0xc0]].concat();
    NodeState::decode(&nested).expect_err("too many levels");
}

proptest! {
    #[test]
    fn decode_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        // Either a state or an error; never a panic.
        let _decoded = NodeState::decode(&bytes).is_ok();
    }
}
