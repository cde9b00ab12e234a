//! Tests of the choice of the node through which the store is read.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    dissemination::{Readers, Source},
    id::InstanceId,
};

const TABLE: &str = "rules";

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index))
}

/// Returns five candidates; the first three are readers.
fn candidates() -> Vec<(InstanceId, SocketAddr)> {
    let candidate = |index| (format!("n{index}"), address(index));
    (1..=5).map(candidate).collect()
}

#[test]
fn source_without_candidates() {
    let source = Readers::default().source(&[], "n9", TABLE, Instant::now());
    assert_eq!(source, Source::Store);
}

#[test]
fn source_of_first_available_reader() {
    let now = Instant::now();
    let mut readers = Readers::default();
    let source = |readers: &Readers, local| readers.source(&candidates(), local, TABLE, now);
    assert_eq!(source(&readers, "n5"), Source::Reader(address(1)));
    assert_eq!(source(&readers, "n1"), Source::Store);
    readers.record_lost_reader(address(1), now);
    assert_eq!(source(&readers, "n5"), Source::Reader(address(2)));
    assert_eq!(source(&readers, "n2"), Source::Store);
}

// Pattern: outage of the store in a large fleet. A node that is no reader polls the store more
// and more rarely, and each time after the readers.
#[test]
fn source_in_outage_of_store() {
    let start = Instant::now();
    let end = start + Duration::from_secs(30);
    let mut readers = Readers::default();
    let mut now = start;
    let mut polls = 0;
    while now < end {
        match readers.source(&candidates(), "n5", TABLE, now) {
            Source::Reader(reader) => readers.record_lost_reader(reader, now),
            Source::Store => {
                polls += 1;
                readers.record_failed_poll(TABLE, 0.5, now);
            }
            Source::Wait(until) => {
                assert!(until > now, "a wait must end later");
                now = until;
            }
        }
    }
    assert!((3..=8).contains(&polls), "{polls} polls in 30 s");
    // A reader keeps polling, as the others depend on it.
    (1..=3).for_each(|reader| readers.record_lost_reader(address(reader), now));
    let reader = readers.source(&candidates(), "n2", TABLE, now);
    assert_eq!(reader, Source::Store);
}

// A node that can reach the store itself must not wait for readers that cannot.
#[test]
fn may_poll_store_after_success() {
    let now = Instant::now();
    let mut readers = Readers::default();
    readers.record_failed_poll(TABLE, 0.5, now);
    assert!(!readers.may_poll_store(TABLE, now));
    assert!(readers.may_poll_store("nodes", now));
    readers.record_response(TABLE);
    assert!(readers.may_poll_store(TABLE, now));
}

// Nodes without a reader put off their polls for seconds after an outage, and missed a change.
#[test]
fn source_without_candidates_after_failures() {
    let now = Instant::now();
    let mut readers = Readers::default();
    for _ in 0..4 {
        readers.record_failed_poll(TABLE, 0.5, now);
    }
    assert_eq!(readers.source(&[], "n9", TABLE, now), Source::Store);
}
