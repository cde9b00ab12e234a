//! Tests for claims, with an in-memory table that applies transactions serially.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

use lentilshunt_core::{
    claim::{
        Backoff, Batch, Bid, BidOutcome, Claim, ConflictAction, SWEEP_MARGIN, StoredClaim,
        request_digest, resolve_conflict, row_key, shard_prefix, sweep_transaction,
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
fn bid_outcome_by_row() {
    let own = bid("k", claim("r", "a"));
    let replacing = Bid {
        replaces: Some(4),
        ..own.clone()
    };
    let other = claim("s", "b");
    let conflict = |revision| {
        let claim = other.clone();
        Some(BidOutcome::Conflict(StoredClaim { claim, revision }))
    };
    let unreadable = Row {
        value: vec![1],
        ..row("k", &other, 3)
    };
    assert_eq!(own.outcome(None), None);
    assert_eq!(own.outcome(Some(&row("k", &other, 3))), conflict(3));
    let own_row = row("k", &own.claim, 3);
    assert_eq!(own.outcome(Some(&own_row)), Some(BidOutcome::Won));
    assert_eq!(own.outcome(Some(&unreadable)), Some(BidOutcome::Unreadable));
    assert_eq!(replacing.outcome(None), Some(BidOutcome::Gone));
    assert_eq!(replacing.outcome(Some(&row("k", &other, 4))), None);
    assert_eq!(replacing.outcome(Some(&row("k", &other, 5))), conflict(5));
}

#[test]
fn bid_outcome_row_of_earlier_incarnation() {
    let own = bid("k", claim("r", "a"));
    let mut earlier = own.claim.clone();
    earlier.incarnation = 0;
    let conflict = BidOutcome::Conflict(StoredClaim {
        claim: earlier.clone(),
        revision: 3,
    });
    assert_eq!(own.outcome(Some(&row("k", &earlier, 3))), Some(conflict));
}

#[test]
fn batch_takes_one_bid_for_each_key() {
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
fn batch_settles_conflicts_only() {
    let mut waiting = vec![
        (bid("k", claim("r", "a")), 1),
        (bid("l", claim("t", "a")), 2),
    ];
    let batch = Batch::take(&mut waiting, 9);
    let other = claim("s", "b");
    let outcome = batch.settle(&Outcome {
        committed: false,
        rows: vec![row("k", &other, 3)],
    });
    let conflict = BidOutcome::Conflict(StoredClaim {
        claim: other,
        revision: 3,
    });
    assert_eq!(outcome.settled, [(1, conflict)]);
    assert_eq!(outcome.retry, [(bid("l", claim("t", "a")), 2)]);
}

#[test]
fn resolve_conflict_by_resolution() {
    let own = bid("k", claim("r", "a"));
    let stored_claim = StoredClaim {
        claim: claim("s", "b"),
        revision: 3,
    };
    let take_over = ConflictAction::TakeOver(Bid {
        replaces: Some(3),
        ..own.clone()
    });
    let cases = [
        (Some(Resolution::Barred), take_over),
        (Some(Resolution::Running), ConflictAction::Wait),
        (Some(Resolution::Answered(7)), ConflictAction::Respond(7)),
        (Some(Resolution::MayHaveRun), ConflictAction::MayHaveRun),
        (None, ConflictAction::MayHaveRun),
    ];
    for (resolution, expected) in cases {
        assert_eq!(resolve_conflict(&own, &stored_claim, resolution), expected);
    }
    let mut different = stored_claim;
    different.claim.digest = "other".to_owned();
    let action: ConflictAction<u8> = resolve_conflict(&own, &different, Some(Resolution::Barred));
    assert_eq!(action, ConflictAction::Refuse);
}

#[test]
fn request_digest_covers_every_part() {
    let of = |parts: [&str; 3]| request_digest(parts[0], parts[1], parts[2], b"body");
    let original = of(["garita", "POST", "/boletas"]);
    assert_eq!(original, of(["garita", "POST", "/boletas"]));
    assert_ne!(original, of(["garit", "aPOST", "/boletas"]));
    assert_ne!(original, of(["garita", "POST", "/despachos"]));
    assert_ne!(row_key("a", "bc"), row_key("ab", "c"));
}

#[test]
fn backoff_doubles_up_to_limit() {
    let mut now = Instant::now();
    let mut backoff = Backoff::new(now);
    let mut delays = Vec::new();
    for _ in 0..8 {
        // Both transactions were in flight at the same time.
        backoff.record_failure(now);
        backoff.record_failure(now);
        delays.push((backoff.next_at() - now).as_millis());
        now = backoff.next_at();
    }
    assert_eq!(delays, [8, 16, 32, 64, 128, 256, 256, 256]);
    for _ in 0..24 {
        backoff.record_success();
    }
    backoff.record_start(now, 0);
    assert_eq!(backoff.next_at(), now);
}

#[test]
fn sweep_transaction_expired_up_to_limit() {
    let expiring = |key: &str, expires: Duration| {
        let mut claim = claim("r", "a");
        claim.expires_us = u64::try_from(expires.as_micros()).unwrap();
        row(key, &claim, 7)
    };
    let now = Duration::from_hours(1000);
    let kept_limit = now.checked_sub(SWEEP_MARGIN).unwrap();
    let expired = kept_limit.checked_sub(Duration::from_micros(1)).unwrap();
    let rows = [
        expiring("a", kept_limit),
        expiring("b", expired),
        Row {
            value: vec![1],
            ..expiring("c", expired)
        },
        expiring("d", expired),
        expiring("e", expired),
    ];
    let swept = sweep_transaction(&rows, SystemTime::UNIX_EPOCH + now, 2).unwrap();
    let conditions: Vec<_> = swept
        .conditions
        .iter()
        .map(|condition| (condition.key.as_str(), condition.expectation.clone()))
        .collect();
    let at = Expectation::Revision(7);
    assert_eq!(conditions, [("b", at.clone()), ("d", at)]);
    assert!(swept.writes.iter().all(|write| write.value.is_none()));
    assert_eq!(
        sweep_transaction(&rows[..1], SystemTime::UNIX_EPOCH + now, 2),
        None
    );
    assert_eq!(shard_prefix(0x1abc), "claim/abc");
}

/// In-memory table that applies transactions one at a time.
#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

impl Table {
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

/// Step of a simulation with three nodes.
#[derive(Clone, Debug)]
enum Event {
    /// A node receives a request with a key.
    Bid { node: usize, key: usize },
    /// A node sends a batch; without delivery, it takes effect only when a copy arrives.
    Write {
        node: usize,
        limit: usize,
        is_delivered: bool,
    },
    /// A copy of an earlier transaction arrives, again or late.
    Deliver { copy: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3_usize, 0..3_usize).prop_map(|(node, key)| Event::Bid { node, key }),
        (0..3_usize, 1..4_usize, any::<bool>()).prop_map(|(node, limit, is_delivered)| {
            Event::Write {
                node,
                limit,
                is_delivered,
            }
        }),
        (0..9_usize).prop_map(|copy| Event::Deliver { copy }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// At most one bid wins each key, even if transactions are shared, lost, repeated or delayed.
    #[test]
    fn bids_have_one_winner(events in proptest::collection::vec(event(), 1..60)) {
        let mut table = Table::default();
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
                Event::Write { node, limit, is_delivered } => {
                    let batch = Batch::take(&mut waiting[node], limit);
                    if batch.is_empty() {
                        continue;
                    }
                    let transaction = batch.transaction();
                    copies.push(transaction.clone());
                    if !is_delivered {
                        // Takes effect only if a copy is delivered later.
                        let bids = batch.into_bids();
                        waiting[node].splice(0..0, bids);
                        continue;
                    }
                    let keys: BTreeMap<usize, String> = batch_keys(&transaction);
                    let outcome = batch.settle(&table.transact(&transaction));
                    waiting[node].splice(0..0, outcome.retry);
                    for (id, bid_outcome) in outcome.settled {
                        if bid_outcome == BidOutcome::Won {
                            let key = keys[&id].clone();
                            winners.entry(key).or_default().push(id);
                        }
                    }
                }
                Event::Deliver { copy } => if let Some(copy) = copies.get(copy) {
                    table.transact(copy);
                },
            }
            for (key, winners) in &winners {
                prop_assert!(winners.len() <= 1, "key {} has winners {:?}", key, winners);
            }
        }
    }
}

/// Returns the row key of each request in a transaction.
fn batch_keys(transaction: &Transaction) -> BTreeMap<usize, String> {
    let entry = |write: &lentilshunt_schema::platform::Write| {
        let value = write.value.as_ref().unwrap();
        let claim: Claim = rmp_serde::from_slice(value).unwrap();
        (claim.request.parse().unwrap(), write.key.clone())
    };
    transaction.writes.iter().map(entry).collect()
}
