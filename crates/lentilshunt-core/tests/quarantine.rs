//! Tests for the quarantine of requests that crash upstreams.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    config::Service,
    membership::{Endpoint, Phase},
    quarantine::{QuarantineStatus, Suspects, Suspicion, decode, encode, fingerprint},
    routing::ServiceRoute,
};

const SECOND: Duration = Duration::from_secs(1);

fn route(count: u8) -> ServiceRoute {
    let endpoint = |host: u8| {
        Arc::new(Endpoint {
            instance: format!("i{host}"),
            address: SocketAddr::from(([127, 0, 0, host], 7001)),
            region: "r".to_owned(),
            domain: "d".to_owned(),
            incarnation: 1,
            service: "s".to_owned(),
            version: String::new(),
            phase: Phase::Ready,
            slots: 4,
            free_slots: 4,
        })
    };
    ServiceRoute {
        service: Service::default(),
        tiers: [vec![], (1..=count).map(endpoint).collect(), vec![], vec![]],
    }
}

#[test]
fn fingerprint_covers_every_part() {
    let original = fingerprint("s", "GET", "/a", b"b");
    assert_eq!(fingerprint("s", "GET", "/a", b"b"), original);
    for other in [
        fingerprint("t", "GET", "/a", b"b"),
        fingerprint("s", "PUT", "/a", b"b"),
        fingerprint("s", "GET", "/ab", b""),
        fingerprint("s", "GET", "/a", b"c"),
    ] {
        assert_ne!(other, original);
    }
}

#[test]
fn status_after_two_losses() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let record_loss = |instance: &str, now| suspects.record_loss(1, &instance.to_owned(), now);
    assert_eq!(suspects.status(1, now), QuarantineStatus::Clear);
    let first = Suspicion {
        request: 1,
        instance: "i1".to_owned(),
        repeat: 0,
    };
    assert_eq!(record_loss("i1", now), Some(first));
    assert_eq!(suspects.status(1, now), QuarantineStatus::Suspect);
    // A second attempt that observes the same loss does not count.
    assert_eq!(record_loss("i1", now + SECOND), None);
    assert_eq!(suspects.status(1, now), QuarantineStatus::Suspect);
    assert!(record_loss("i2", now + SECOND).is_some());
    assert_eq!(
        suspects.status(1, now + SECOND),
        QuarantineStatus::Quarantined
    );
    // The quarantine expires.
    assert_eq!(
        suspects.status(1, now + 122 * SECOND),
        QuarantineStatus::Clear
    );
}

// The quarantine of a request that kept coming ended, and it crashed two more upstreams.
#[test]
fn extend_quarantine_while_request_comes() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let first = suspects.record_loss(1, &"i1".to_owned(), now);
    assert_eq!(suspects.extend_quarantine(1, now + 90 * SECOND), []);
    let second = suspects.record_loss(1, &"i2".to_owned(), now);
    let both: Vec<_> = first.into_iter().chain(second).collect();
    assert_eq!(suspects.suspicions(1, now), both);
    assert_eq!(suspects.quarantined(now), [(1, both.clone())]);
    assert_eq!(suspects.extend_quarantine(1, now + 30 * SECOND), []);
    assert_eq!(suspects.extend_quarantine(1, now + 90 * SECOND), both);
    // Other nodes learn of it once for each extension.
    assert_eq!(suspects.extend_quarantine(1, now + 91 * SECOND), []);
    assert_eq!(
        suspects.status(1, now + 200 * SECOND),
        QuarantineStatus::Quarantined
    );
    assert_eq!(suspects.extend_quarantine(1, now + 211 * SECOND), []);
    assert_eq!(suspects.quarantined(now + 211 * SECOND), []);
}

#[test]
fn merge_known_suspicion() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let suspicion = Suspicion {
        request: 1,
        instance: "i1".to_owned(),
        repeat: 0,
    };
    suspects.merge(&suspicion, now);
    suspects.merge(&suspicion, now + 100 * SECOND);
    let status = |seconds| suspects.status(1, now + seconds * SECOND);
    assert_eq!(status(200), QuarantineStatus::Suspect);
    assert_eq!(status(221), QuarantineStatus::Clear);
}

#[test]
fn status_same_instance_later() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let instance = "i1".to_owned();
    let repeats: Vec<_> = [now, now + 3 * SECOND]
        .into_iter()
        .filter_map(|now| suspects.record_loss(1, &instance, now))
        .map(|suspicion| suspicion.repeat)
        .collect();
    assert_eq!(repeats, [0, 1]);
    assert_eq!(
        suspects.status(1, now + 3 * SECOND),
        QuarantineStatus::Quarantined
    );
}

/// A request that was in flight at only one of two crashes must not be quarantined, nor
/// remain a suspect once it has completed.
#[test]
fn status_other_requests_in_flight() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let (cause, first, second) = (1, 2, 3);
    for (instance, in_flight) in [("i1", [cause, first]), ("i2", [cause, second])] {
        for request in in_flight {
            suspects.record_loss(request, &instance.to_owned(), now);
        }
    }
    suspects.clear(first, now);
    let statuses = [cause, first, second].map(|request| suspects.status(request, now));
    let expected = [
        QuarantineStatus::Quarantined,
        QuarantineStatus::Clear,
        QuarantineStatus::Suspect,
    ];
    assert_eq!(statuses, expected);
}

/// A frequent request is in flight at every crash, but must not become a suspect because other
/// upstreams respond to it.
#[test]
fn record_loss_frequent_request() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    suspects.clear(1, now);
    for instance in ["i1", "i2"] {
        assert_eq!(suspects.record_loss(1, &instance.to_owned(), now), None);
        let suspicion = Suspicion {
            request: 1,
            instance: instance.to_owned(),
            repeat: 0,
        };
        suspects.merge(&suspicion, now);
    }
    assert_eq!(suspects.status(1, now), QuarantineStatus::Clear);
    let later = now + 62 * SECOND;
    assert!(suspects.record_loss(1, &"i1".to_owned(), later).is_some());
}

/// Nodes with the same suspicion choose the same second upstream, which is not the lost one.
#[test]
fn choose_suspect_endpoint_same_on_all_nodes() {
    let now = Instant::now();
    let route = route(6);
    let mut chosen = std::collections::BTreeSet::new();
    for request in 0..64 {
        let here = Suspects::new(now);
        let there = Suspects::new(now);
        let suspicion = here
            .record_loss(request, &"i1".to_owned(), now)
            .expect("a loss");
        for suspicion in decode(&encode(&[suspicion])) {
            there.merge(&suspicion, now);
        }
        let choice = here
            .choose_suspect_endpoint(request, &route)
            .expect("an endpoint");
        assert_eq!(
            there.choose_suspect_endpoint(request, &route),
            Some(Arc::clone(&choice))
        );
        chosen.insert(choice.instance.clone());
    }
    assert_eq!(Vec::from_iter(chosen), ["i2", "i3", "i4", "i5", "i6"]);
}

#[test]
fn choose_suspect_endpoint_single() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    suspects.record_loss(1, &"i1".to_owned(), now);
    let chosen = suspects
        .choose_suspect_endpoint(1, &route(1))
        .expect("the only endpoint");
    assert_eq!(chosen.instance, "i1");
}

#[test]
fn encode_decode_suspicions() {
    let one = Suspicion {
        request: u128::MAX,
        instance: "i".to_owned(),
        repeat: 0,
    };
    assert_eq!(
        decode(&encode(std::slice::from_ref(&one))),
        std::slice::from_ref(&one)
    );
    assert_eq!(decode(b"no list"), []);
    assert_eq!(decode(&encode(&vec![one; 100])).len(), 64);
}
