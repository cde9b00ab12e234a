//! Tests of the outcomes that coordinators write.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{Store, VersionCodec, shared};
use bytes::Bytes;
use lentilshunt_core::{
    overload::Kind,
    rollout::{Evidence, Mode, Order, Outcome, Report},
};
use lentilshunt_node::{
    fleet::{Codec, TableStore},
    rollout::{Coordinator, Rollouts, Settings},
};

const KIND: Kind = Kind {
    rank: 0,
    idempotent: true,
};

fn coordinator() -> Coordinator {
    let shared = shared();
    let order = Order {
        service: "yard".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(10),
    };
    assert!(shared.rollouts.add(&order, Instant::now()));
    assert!(!shared.rollouts.add(&order, Instant::now()));
    let settings = Settings {
        key_prefix: "rollout/".to_owned(),
        status_table: "status".to_owned(),
        allowed_share: 100,
    };
    Coordinator::new(shared, Arc::new(VersionCodec), settings)
}

/// Returns the report of an upstream of which `failed` of 100 runs have failed.
fn report(is_new: bool, failed: usize, age_ms: u64) -> Report {
    let mut evidence = Evidence::default();
    for run in 0..100 {
        evidence.record(KIND, run < failed, None);
    }
    Report {
        node: format!("n{is_new}"),
        service: "yard".to_owned(),
        version: "v2".to_owned(),
        age_ms,
        mode: Mode::Trial(80),
        is_new: Some(is_new),
        evidence,
    }
}

fn written(store: &Store) -> Option<(String, Outcome)> {
    let rows = store.rows.lock().unwrap();
    VersionCodec.decode_outcome(rows.get("rollout/yard")?)
}

// Two nodes coordinate, and only one has seen the failures.
#[tokio::test]
async fn write_outcomes_of_two_coordinators() {
    let store = Store::default();
    let (first, second) = (coordinator(), coordinator());
    let reply = first.settle(report(true, 0, 0)).expect("a reply");
    assert_eq!(reply.mode, Mode::Trial(80));
    first.write_outcomes(&store).await;
    assert_eq!(written(&store), Some(("v2".to_owned(), Outcome::Active)));
    second.settle(report(false, 0, 0));
    let reply = second.settle(report(true, 50, 0)).expect("a reply");
    assert_eq!(reply.mode, Mode::Stopped);
    second.write_outcomes(&store).await;
    assert_eq!(written(&store), Some(("v2".to_owned(), Outcome::Reverted)));
    // The first wants to shift, and adopts the end that is written.
    first.settle(report(true, 0, 7000));
    first.write_outcomes(&store).await;
    assert_eq!(written(&store), Some(("v2".to_owned(), Outcome::Reverted)));
}

// The write fails, and is repeated when the store is back.
#[tokio::test]
async fn write_outcomes_after_outage() {
    let store = Store::default();
    let coordinator = coordinator();
    coordinator.settle(report(false, 0, 0));
    let reply = coordinator.settle(report(true, 50, 0)).expect("a reply");
    assert_eq!(
        (reply.mode, reply.outcome),
        (Mode::Stopped, Outcome::Active)
    );
    *store.failures.lock().unwrap() = 3;
    coordinator.write_outcomes(&store).await;
    assert_eq!(written(&store), None);
    for _ in 0..3 {
        coordinator.write_outcomes(&store).await;
    }
    assert_eq!(written(&store), Some(("v2".to_owned(), Outcome::Reverted)));
    let reply = coordinator.settle(report(true, 50, 0)).expect("a reply");
    assert_eq!(reply.outcome, Outcome::Reverted);
}

// A row that has changed since it was read is not overwritten.
#[tokio::test]
async fn write_row_if_changed() {
    let store = Store::default();
    store
        .write("status", "k", Some(Bytes::from_static(b"a")))
        .await
        .unwrap();
    let value = Bytes::from_static(b"b");
    assert!(
        store
            .write_row_if("status", "k", 0, value.clone())
            .await
            .is_err()
    );
    store.write_row_if("status", "k", 1, value).await.unwrap();
}

// Without replies nothing is sent to a version on trial.
#[test]
fn plan_without_replies() {
    let now = Instant::now();
    let rollouts = Rollouts::new(true);
    assert_eq!(rollouts.plan("yard", now), None);
    let order = Order {
        service: "yard".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(10),
    };
    rollouts.add(&order, now);
    let mode = |now| rollouts.plan("yard", now).map(|plan| plan.mode);
    assert_eq!(mode(now), Some(Mode::Stopped));
    let reply = |mode, outcome| lentilshunt_node::rollout::Reply {
        mode,
        outcome,
        age_ms: 0,
    };
    let own = report(true, 0, 0);
    rollouts.apply(&own, reply(Mode::Trial(80), Outcome::Active), now);
    assert_eq!(mode(now), Some(Mode::Trial(80)));
    let later = now + Duration::from_secs(2);
    assert_eq!(mode(later), Some(Mode::Stopped));
    rollouts.apply(&own, reply(Mode::Shifted, Outcome::Active), now);
    assert_eq!(mode(later), Some(Mode::Shifted));
}
