//! Tests of claims against a sequential table.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

use lentilshunt_core::{
    claim::{
        Batch, Bid, Claim, Holder, Pace, SWEEP_MARGIN, Settlement, Step, fingerprint, judge,
        row_key, shard, sweep,
    },
    execution::Resolution,
};
use lentilshunt_schema::platform::{Expectation, Outcome, Row, Transaction};
use proptest::prelude::*;

fn claim(request: &str, instance: &str) -> Claim {
    Claim {
        request: request.to_owned(),
        instance: instance.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        digest: "digest".to_owned(),
        expires_us: 0,
    }
}

fn bid(key: &str, claim: Claim) -> Bid {
    Bid {
        key: key.to_owned(),
        claim,
        replaces: None,
    }
}

fn row(key: &str, claim: &Claim, revision: u64) -> Row {
    Row {
        key: key.to_owned(),
        value: rmp_serde::to_vec_named(claim).unwrap(),
        revision,
    }
}

#[test]
fn settle_by_row() {
    let own = bid("k", claim("r", "a"));
    let replacing = Bid {
        replaces: Some(4),
        ..own.clone()
    };
    let other = claim("s", "b");
    let held = |revision| {
        let claim = other.clone();
        Some(Settlement::Taken(Holder { claim, revision }))
    };
    let unreadable = Row {
        value: vec![1],
        ..row("k", &other, 3)
    };
    assert_eq!(own.settle(None), None);
    assert_eq!(own.settle(Some(&row("k", &other, 3))), held(3));
    let own_row = row("k", &own.claim, 3);
    assert_eq!(own.settle(Some(&own_row)), Some(Settlement::Won));
    assert_eq!(own.settle(Some(&unreadable)), Some(Settlement::Unreadable));
    assert_eq!(replacing.settle(None), Some(Settlement::Gone));
    assert_eq!(replacing.settle(Some(&row("k", &other, 4))), None);
    assert_eq!(replacing.settle(Some(&row("k", &other, 5))), held(5));
}

#[test]
fn settle_row_of_earlier_incarnation() {
    let own = bid("k", claim("r", "a"));
    let mut earlier = own.claim.clone();
    earlier.incarnation = 0;
    let taken = Settlement::Taken(Holder {
        claim: earlier.clone(),
        revision: 3,
    });
    assert_eq!(own.settle(Some(&row("k", &earlier, 3))), Some(taken));
}

#[test]
fn take_one_bid_for_each_key() {
    let mut waiting = vec![
        (bid("k", claim("r", "a")), 1),
        (bid("k", claim("s", "a")), 2),
        (bid("l", claim("t", "a")), 3),
        (bid("m", claim("u", "a")), 4),
    ];
    let batch = Batch::take(&mut waiting, 2);
    let taken: Vec<_> = batch.into_bids().iter().map(|(_, id)| *id).collect();
    let left: Vec<_> = waiting.iter().map(|(_, id)| *id).collect();
    assert_eq!((taken, left), (vec![1, 3], vec![2, 4]));
}

#[test]
fn settle_batch_with_conflict() {
    let mut waiting = vec![
        (bid("k", claim("r", "a")), 1),
        (bid("l", claim("t", "a")), 2),
    ];
    let batch = Batch::take(&mut waiting, 9);
    let other = claim("s", "b");
    let settled = batch.settle(&Outcome {
        committed: false,
        rows: vec![row("k", &other, 3)],
    });
    let taken = Settlement::Taken(Holder {
        claim: other,
        revision: 3,
    });
    assert_eq!(settled.done, [(1, taken)]);
    assert_eq!(settled.again, [(bid("l", claim("t", "a")), 2)]);
}

#[test]
fn judge_by_resolution() {
    let own = bid("k", claim("r", "a"));
    let holder = Holder {
        claim: claim("s", "b"),
        revision: 3,
    };
    let take_over = Step::TakeOver(Bid {
        replaces: Some(3),
        ..own.clone()
    });
    let cases = [
        (Some(Resolution::Barred), take_over),
        (Some(Resolution::Running), Step::Wait),
        (Some(Resolution::Answered(7)), Step::Answer(7)),
        (Some(Resolution::MayHaveRun), Step::MayHaveRun),
        (None, Step::MayHaveRun),
    ];
    for (resolution, expected) in cases {
        assert_eq!(judge(&own, &holder, resolution), expected);
    }
    let mut different = holder;
    different.claim.digest = "other".to_owned();
    let judged: Step<u8> = judge(&own, &different, Some(Resolution::Barred));
    assert_eq!(judged, Step::Refuse);
}

#[test]
fn fingerprint_by_part() {
    let of = |parts: [&str; 3]| fingerprint(parts[0], parts[1], parts[2], b"body");
    let whole = of(["garita", "POST", "/boletas"]);
    assert_eq!(whole, of(["garita", "POST", "/boletas"]));
    assert_ne!(whole, of(["garit", "aPOST", "/boletas"]));
    assert_ne!(whole, of(["garita", "POST", "/despachos"]));
    assert_ne!(row_key("a", "bc"), row_key("ab", "c"));
}

#[test]
fn pace_under_failures() {
    let mut now = Instant::now();
    let mut pace = Pace::new(now);
    let mut intervals = Vec::new();
    for _ in 0..8 {
        // The second was in flight together with the first.
        pace.fail(now);
        pace.fail(now);
        intervals.push((pace.next_at() - now).as_millis());
        now = pace.next_at();
    }
    assert_eq!(intervals, [8, 16, 32, 64, 128, 256, 256, 256]);
    for _ in 0..24 {
        pace.succeed();
    }
    pace.start(now, 0);
    assert_eq!(pace.next_at(), now);
}

#[test]
fn sweep_expired_only() {
    let expiring = |key: &str, expires: Duration| {
        let mut claim = claim("r", "a");
        claim.expires_us = u64::try_from(expires.as_micros()).unwrap();
        row(key, &claim, 7)
    };
    let now = Duration::from_hours(1000);
    let oldest = now.checked_sub(SWEEP_MARGIN).unwrap();
    let old = oldest.checked_sub(Duration::from_micros(1)).unwrap();
    let rows = [
        expiring("a", oldest),
        expiring("b", old),
        Row {
            value: vec![1],
            ..expiring("c", old)
        },
        expiring("d", old),
        expiring("e", old),
    ];
    let swept = sweep(&rows, SystemTime::UNIX_EPOCH + now, 2).unwrap();
    let conditions: Vec<_> = swept
        .conditions
        .iter()
        .map(|condition| (condition.key.as_str(), condition.expectation.clone()))
        .collect();
    let at = Expectation::Revision(7);
    assert_eq!(conditions, [("b", at.clone()), ("d", at)]);
    assert!(swept.writes.iter().all(|write| write.value.is_none()));
    assert_eq!(sweep(&rows[..1], SystemTime::UNIX_EPOCH + now, 2), None);
    assert_eq!(shard(0x1abc), "claim/abc");
}

/// A sequential table.
#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

impl Rows {
    fn transact(&mut self, transaction: &Transaction) -> Outcome {
        let holds = |row: Option<&Row>, expectation: &Expectation| match expectation {
            Expectation::Absent => row.is_none(),
            Expectation::Revision(revision) => row.is_some_and(|row| row.revision == *revision),
        };
        let committed = transaction
            .conditions
            .iter()
            .all(|condition| holds(self.rows.get(&condition.key), &condition.expectation));
        if committed {
            self.revision += 1;
            for write in &transaction.writes {
                let row = Row {
                    key: write.key.clone(),
                    value: write.value.clone().unwrap(),
                    revision: self.revision,
                };
                self.rows.insert(write.key.clone(), row);
            }
        }
        let rows = transaction.conditions.iter();
        let rows = rows.filter_map(|condition| self.rows.get(&condition.key).cloned());
        Outcome {
            committed,
            rows: rows.collect(),
        }
    }
}

/// One thing that happens to the bids of some nodes.
#[derive(Clone, Debug)]
enum Event {
    Bid {
        node: usize,
        key: usize,
    },
    Write {
        node: usize,
        limit: usize,
        reply: bool,
    },
    Land {
        copy: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3_usize, 0..3_usize).prop_map(|(node, key)| Event::Bid { node, key }),
        (0..3_usize, 1..4_usize, any::<bool>()).prop_map(|(node, limit, reply)| Event::Write {
            node,
            limit,
            reply
        }),
        (0..9_usize).prop_map(|copy| Event::Land { copy }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Bids in shared, lost, repeated and late transactions: one winner a key.
    #[test]
    fn bids_have_one_winner(events in proptest::collection::vec(event(), 1..60)) {
        let mut table = Rows::default();
        let mut waiting: Vec<Vec<(Bid, usize)>> = vec![Vec::new(); 3];
        let mut copies: Vec<Transaction> = Vec::new();
        let mut winners: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        let mut number = 0;
        for event in events {
            match event {
                Event::Bid { node, key } => {
                    number += 1;
                    let claim = claim(&number.to_string(), &node.to_string());
                    waiting[node].push((bid(&key.to_string(), claim), number));
                }
                Event::Write { node, limit, reply } => {
                    let batch = Batch::take(&mut waiting[node], limit);
                    if batch.is_empty() {
                        continue;
                    }
                    let transaction = batch.transaction();
                    copies.push(transaction.clone());
                    if !reply {
                        // Whether it takes effect is decided by a later copy.
                        let bids = batch.into_bids();
                        waiting[node].splice(0..0, bids);
                        continue;
                    }
                    let keys: BTreeMap<usize, String> = batch_keys(&transaction);
                    let settled = batch.settle(&table.transact(&transaction));
                    waiting[node].splice(0..0, settled.again);
                    for (id, settlement) in settled.done {
                        if settlement == Settlement::Won {
                            let key = keys[&id].clone();
                            winners.entry(key).or_default().push(id);
                        }
                    }
                }
                Event::Land { copy } => if let Some(copy) = copies.get(copy) {
                    table.transact(copy);
                },
            }
            for (key, winners) in &winners {
                prop_assert!(winners.len() <= 1, "{} has {:?}", key, winners);
            }
        }
    }
}

/// Returns the key of each request of a transaction.
fn batch_keys(transaction: &Transaction) -> BTreeMap<usize, String> {
    let entry = |write: &lentilshunt_schema::platform::Write| {
        let value = write.value.as_ref().unwrap();
        let claim: Claim = rmp_serde::from_slice(value).unwrap();
        (claim.request.parse().unwrap(), write.key.clone())
    };
    transaction.writes.iter().map(entry).collect()
}
