//! Suspicion and quarantine of requests that crash upstreams.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    config::Service,
    membership::{Endpoint, Phase},
    quarantine::{Admittance, Suspects, Suspicion, decode, encode, fingerprint},
    routing::Route,
};

const SECOND: Duration = Duration::from_secs(1);

fn route(count: u8) -> Route {
    let endpoint = |host: u8| {
        Arc::new(Endpoint {
            instance: format!("i{host}"),
            address: SocketAddr::from(([127, 0, 0, host], 7001)),
            region: "r".to_owned(),
            domain: "d".to_owned(),
            incarnation: 1,
            service: "s".to_owned(),
            phase: Phase::Ready,
            slots: 4,
            free_slots: 4,
        })
    };
    Route {
        service: Service::default(),
        tiers: [vec![], (1..=count).map(endpoint).collect(), vec![], vec![]],
    }
}

#[test]
fn fingerprint_parts() {
    let known = fingerprint("s", "GET", "/a", b"b");
    assert_eq!(fingerprint("s", "GET", "/a", b"b"), known);
    for other in [
        fingerprint("t", "GET", "/a", b"b"),
        fingerprint("s", "PUT", "/a", b"b"),
        fingerprint("s", "GET", "/ab", b""),
        fingerprint("s", "GET", "/a", b"c"),
    ] {
        assert_ne!(other, known);
    }
}

#[test]
fn admittance_two_losses() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let lose = |instance: &str, now| suspects.lose(1, &instance.to_owned(), now);
    assert_eq!(suspects.admittance(1, now), Admittance::Free);
    let first = Suspicion {
        request: 1,
        instance: "i1".to_owned(),
        repeat: 0,
    };
    assert_eq!(lose("i1", now), Some(first));
    assert_eq!(suspects.admittance(1, now), Admittance::Suspect);
    // The same loss seen by another attempt says nothing new.
    assert_eq!(lose("i1", now + SECOND), None);
    assert_eq!(suspects.admittance(1, now), Admittance::Suspect);
    assert!(lose("i2", now + SECOND).is_some());
    assert_eq!(
        suspects.admittance(1, now + SECOND),
        Admittance::Quarantined
    );
    // The quarantine is bounded.
    assert_eq!(suspects.admittance(1, now + 122 * SECOND), Admittance::Free);
}

#[test]
fn admittance_same_instance_later() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let instance = "i1".to_owned();
    let repeats: Vec<_> = [now, now + 3 * SECOND]
        .into_iter()
        .filter_map(|now| suspects.lose(1, &instance, now))
        .map(|suspicion| suspicion.repeat)
        .collect();
    assert_eq!(repeats, [0, 1]);
    assert_eq!(
        suspects.admittance(1, now + 3 * SECOND),
        Admittance::Quarantined
    );
}

/// Only what was in flight at both crashes is quarantined.
#[test]
fn admittance_companions() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    let (cause, first, second) = (1, 2, 3);
    for (instance, in_flight) in [("i1", [cause, first]), ("i2", [cause, second])] {
        for request in in_flight {
            suspects.lose(request, &instance.to_owned(), now);
        }
    }
    suspects.clear(first, now);
    let admittances = [cause, first, second].map(|request| suspects.admittance(request, now));
    let expected = [
        Admittance::Quarantined,
        Admittance::Free,
        Admittance::Suspect,
    ];
    assert_eq!(admittances, expected);
}

/// A request that is asked all the time is in flight at every crash, yet is answered elsewhere.
#[test]
fn lose_popular() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    suspects.clear(1, now);
    for instance in ["i1", "i2"] {
        assert_eq!(suspects.lose(1, &instance.to_owned(), now), None);
        let learnt = Suspicion {
            request: 1,
            instance: instance.to_owned(),
            repeat: 0,
        };
        suspects.learn(&learnt, now);
    }
    assert_eq!(suspects.admittance(1, now), Admittance::Free);
    let later = now + 62 * SECOND;
    assert!(suspects.lose(1, &"i1".to_owned(), later).is_some());
}

/// Nodes that know of the same loss choose the same second upstream, and not the lost one.
#[test]
fn last_resort_agreed() {
    let now = Instant::now();
    let route = route(6);
    let mut chosen = std::collections::BTreeSet::new();
    for request in 0..64 {
        let here = Suspects::new(now);
        let there = Suspects::new(now);
        let suspicion = here.lose(request, &"i1".to_owned(), now).expect("a loss");
        for suspicion in decode(&encode(&[suspicion])) {
            there.learn(&suspicion, now);
        }
        let choice = here.last_resort(request, &route).expect("an endpoint");
        assert_eq!(
            there.last_resort(request, &route),
            Some(Arc::clone(&choice))
        );
        chosen.insert(choice.instance.clone());
    }
    assert_eq!(Vec::from_iter(chosen), ["i2", "i3", "i4", "i5", "i6"]);
}

#[test]
fn last_resort_single() {
    let now = Instant::now();
    let suspects = Suspects::new(now);
    suspects.lose(1, &"i1".to_owned(), now);
    let chosen = suspects
        .last_resort(1, &route(1))
        .expect("the only endpoint");
    assert_eq!(chosen.instance, "i1");
}

#[test]
fn decode_malformed() {
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
