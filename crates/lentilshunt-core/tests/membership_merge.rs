//! Properties of the merge of entries, and refutation by the local record.

use std::time::Instant;

use lentilshunt_core::{
    membership::{
        Entry, Liveness, LocalRecord, MemberList, Phase, Record, Stamp, apply_update, precedence,
        to_update,
    },
    routing::Locality,
};
use proptest::prelude::*;

const PHASES: [Phase; 4] = [Phase::Starting, Phase::Ready, Phase::Draining, Phase::Gone];
const LIVENESS_VALUES: [Liveness; 3] = [Liveness::Alive, Liveness::Suspected, Liveness::Gone];

/// Returns an entry for a precedence; equal precedences give equal entries.
fn entry(incarnation: u64, sequence: u64, liveness_index: usize, reading: u64) -> Entry {
    let number = incarnation * 31 + sequence;
    let phase = PHASES[usize::try_from(number % 4).unwrap()];
    Entry {
        record: Record {
            instance: "a".to_owned(),
            address: format!("10.0.0.{}:7001", incarnation + 1),
            region: "r".to_owned(),
            domain: "d".to_owned(),
            incarnation,
            sequence,
            base: sequence / 2,
            service: "s".to_owned(),
            version: None,
            phase,
            slots: 9,
            reading,
            room: u32::try_from(reading * 3 % 10).unwrap(),
        },
        standing: LIVENESS_VALUES[liveness_index],
    }
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let one = (0_u64..3, 0_u64..4, 0_usize..3, 0_u64..4);
    let one = one.prop_map(|(incarnation, sequence, liveness_index, reading)| {
        entry(incarnation, sequence, liveness_index, reading)
    });
    proptest::collection::vec(one, 1..12)
}

fn merge_all<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> (Entry, Vec<Stamp>) {
    let mut member_list = MemberList::default();
    let now = Instant::now();
    for entry in entries {
        member_list.merge(now, entry.clone());
    }
    let held = member_list.get("a").unwrap().entry.clone();
    (held, member_list.stamps(&["d".to_owned()]))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_is_independent_of_order_and_repetition(entries in entries(), others in entries().prop_shuffle()) {
        let highest = entries.iter().max_by_key(|entry| precedence(entry)).unwrap();
        prop_assert_eq!(&merge_all(&entries).0, highest);
        let reversed = merge_all(entries.iter().rev());
        prop_assert_eq!(merge_all(&entries), reversed);
        let repeated = merge_all(entries.iter().chain(&entries));
        prop_assert_eq!(merge_all(&entries), repeated);
        let left = merge_all(entries.iter().chain(&others));
        let right = merge_all(others.iter().chain(&entries));
        prop_assert_eq!(left, right);
    }

    #[test]
    fn refute_supersedes_reported_entry(liveness_index in 0_usize..3, sequence in 0_u64..9) {
        let locality = Locality::new("a".to_owned(), "d".to_owned(), "r".to_owned());
        let mut local = LocalRecord::new(&locality, "10.0.0.2:7001".to_owned(), 1);
        let reported = entry(1, sequence, liveness_index, 0);
        let changed = local.refute(&reported);
        let local_entry = Entry { record: local.record().clone(), standing: Liveness::Alive };
        prop_assert_eq!(changed, sequence > 0 || liveness_index > 0);
        prop_assert_eq!(precedence(&local_entry) >= precedence(&reported), true);
        prop_assert!(!local.refute(&reported));
    }
}

#[test]
fn refute_clock_set_back() {
    let locality = Locality::new("a".to_owned(), "d".to_owned(), "r".to_owned());
    let mut local = LocalRecord::new(&locality, "10.0.0.3:7001".to_owned(), 1);
    assert!(local.refute(&entry(2, 5, 0, 0)));
    assert_eq!(
        (local.record().incarnation, local.record().sequence),
        (3, 0)
    );
}

// An entry with the highest number, which none is above, must not end the node.
#[test]
fn refute_highest_numbers() {
    let locality = Locality::new("a".to_owned(), "d".to_owned(), "r".to_owned());
    let mut local = LocalRecord::new(&locality, "10.0.0.2:7001".to_owned(), 1);
    let before = local.record().clone();
    let mut reported = entry(1, 0, 1, 0);
    reported.record.sequence = u64::MAX;
    assert!(!local.refute(&reported));
    reported.record.incarnation = u64::MAX;
    assert!(!local.refute(&reported));
    assert_eq!(local.record(), &before);
}

#[test]
fn refute_replacement_at_other_address() {
    let locality = Locality::new("a".to_owned(), "d".to_owned(), "r".to_owned());
    let mut local = LocalRecord::new(&locality, "10.0.0.9:7001".to_owned(), 1);
    assert!(!local.refute(&entry(2, 5, 0, 0)));
    assert_eq!(
        (local.record().incarnation, local.record().sequence),
        (1, 0)
    );
}

#[test]
fn apply_update_requires_same_incarnation_and_base() {
    let held = entry(1, 1, 0, 0);
    assert_eq!(apply_update(&to_update(&entry(1, 2, 0, 0)), &held), None);
    assert_eq!(apply_update(&to_update(&entry(2, 1, 0, 0)), &held), None);
    let mut newer = held.clone();
    newer.record.room = 7;
    newer.record.reading = 1;
    assert_eq!(apply_update(&to_update(&newer), &held), Some(newer));
}

// Messages between nodes are encoded without field names: a record without a version was not decoded
// any more, and no node knew another.
#[test]
fn decode_record_with_and_without_version() {
    let mut entries = vec![entry(1, 1, 0, 1), entry(2, 1, 0, 1)];
    entries[1].record.version = Some("v2".to_owned());
    let encoded = rmp_serde::to_vec(&entries).unwrap();
    let decoded: Vec<Entry> = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(decoded, entries);
}
