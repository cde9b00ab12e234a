//! Tests of node discovery and rules distribution over a scripted store.

mod coordination;
mod departure;
mod domain;
mod node_state;
mod odd_rows;
mod process;
mod quarantine;
mod rollout;
mod stop;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::header::HeaderName;
use lentilshunt_core::{
    dissemination::Revision,
    membership::{LocalRecord, Phase, Record},
    organisation::Directory,
    retry::FleetBudget,
    rollout::Outcome,
    routing::Locality,
    traffic::{Limits, Rules},
};
use lentilshunt_net::BoxFuture;
use lentilshunt_node::rollout::Rollouts;
use lentilshunt_node::{
    fleet::{
        Change, Changes, Codec, DecodeError, Error, Installer, NodeRegistry, Publisher,
        Registration, Restoration, RestoredSnafu, Row, RowAt, Subscription, TableSnapshot,
        TableStore, TableUpdate, watch_table,
    },
    relay::{self, HeaderNames, Lifetime, Shared, upstream::Report},
};
use slog::{Discard, Logger, o};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

const TABLE: &str = "nodes";

/// A store that responds by a script and keeps the written rows.
#[derive(Debug, Default)]
struct Store {
    rows: Mutex<BTreeMap<String, Bytes>>,
    /// Results of the next long polls, last first; afterwards nothing changes.
    poll_results: Mutex<Vec<Result<Changes, Error>>>,
    /// Number of reads and writes that fail before one succeeds.
    failures: Mutex<u32>,
    reads: Mutex<u32>,
    writes: Mutex<u32>,
    /// Restorations of the store so far.
    restorations: Mutex<u16>,
    poll_timeouts: Mutex<Vec<Duration>>,
    /// Notified to end the long polls by a restoration.
    restored: Notify,
}

fn unavailable() -> Error {
    Error::Unavailable {
        detail: "scripted".to_owned(),
    }
}

impl Store {
    fn fails(&self) -> bool {
        let mut failures = self.failures.lock().unwrap();
        let fails = *failures > 0;
        *failures = failures.saturating_sub(1);
        fails
    }
}

impl TableStore for Store {
    fn read<'a>(&'a self, _table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, Error>> {
        Box::pin(async {
            *self.reads.lock().unwrap() += 1;
            if self.fails() {
                return Err(unavailable());
            }
            let rows = self.rows.lock().unwrap();
            let rows = rows.iter().map(|(key, value)| Row {
                key: key.clone(),
                value: value.clone(),
            });
            let revision = Revision {
                restorations: *self.restorations.lock().unwrap(),
                number: 1,
            };
            Ok(TableSnapshot {
                rows: rows.collect(),
                revision: revision.into(),
            })
        })
    }

    fn wait_for_changes<'a>(
        &'a self,
        _table: &'a str,
        revision: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Changes, Error>> {
        Box::pin(async move {
            self.poll_timeouts.lock().unwrap().push(timeout);
            let next = self.poll_results.lock().unwrap().pop();
            if let Some(result) = next {
                return result;
            }
            self.restored.notified().await;
            RestoredSnafu { revision }.fail()
        })
    }

    fn write<'a>(
        &'a self,
        _table: &'a str,
        key: &'a str,
        value: Option<Bytes>,
    ) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            *self.writes.lock().unwrap() += 1;
            if self.fails() {
                return Err(unavailable());
            }
            let mut rows = self.rows.lock().unwrap();
            match value {
                Some(value) => rows.insert(key.to_owned(), value),
                None => rows.remove(key),
            };
            Ok(())
        })
    }

    fn read_row<'a>(
        &'a self,
        _table: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<RowAt>, Error>> {
        Box::pin(async move {
            if self.fails() {
                return Err(unavailable());
            }
            let revision = u64::from(*self.writes.lock().unwrap());
            let row = self.rows.lock().unwrap().get(key).cloned();
            Ok(row.map(|value| RowAt { value, revision }))
        })
    }

    fn write_row_if<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        revision: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let current = self.read_row(table, key).await?;
            if current.map_or(0, |row| row.revision) != revision {
                return Err(Error::Conflict);
            }
            self.write(table, key, Some(value)).await
        })
    }
}

/// Decodes rules that begin with a version number.
#[derive(Debug)]
struct VersionCodec;

impl Codec for VersionCodec {
    fn decode_rules(&self, bytes: &[u8], _split_offset: u64) -> Result<Rules, DecodeError> {
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        let version = text.split(' ').next().unwrap_or_default();
        let version = version.parse().map_err(|_malformed| DecodeError {
            field: "version".to_owned(),
            problem: "is not a number".to_owned(),
        })?;
        Ok(Rules::new(version, Limits::default(), BTreeSet::new()))
    }

    fn decode_report(&self, _path_and_query: &str, _body: &[u8]) -> Result<Report, DecodeError> {
        unreachable!("no test sends a report")
    }

    fn acknowledgement(&self) -> Bytes {
        Bytes::new()
    }

    fn encode_outcome(&self, version: &str, outcome: Outcome) -> Bytes {
        rmp_serde::to_vec(&(version, outcome)).unwrap().into()
    }

    fn decode_outcome(&self, bytes: &[u8]) -> Option<(String, Outcome)> {
        rmp_serde::from_slice(bytes).ok()
    }
}

fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("attempt"),
        signature: name("seal"),
        deadline_ms: name("deadline"),
        caller: name("caller"),
        expected_process: name("expected"),
        process: name("process"),
        load: name("load"),
        not_run: name("not-run"),
        rate_limit: name("limit"),
        leaving: name("leaving"),
        organisation: name("organisation"),
        key_scheme: "Key",
    }
}

fn shared() -> Arc<Shared> {
    Arc::new(Shared {
        locality: Locality::new(
            "n0".to_owned(),
            "domain-a".to_owned(),
            "region-a".to_owned(),
        ),
        service: "service-a".to_owned(),
        header_names: header_names(),
        retry_allowance: ArcSwap::from_pointee(FleetBudget {
            percent: 20,
            slack: 10,
        }),
        rules: ArcSwap::from_pointee(Rules::default()),
        has_organisations: AtomicBool::default(),
        directory: ArcSwap::from_pointee(relay::Directory::default()),
        rollouts: Rollouts::default(),
        newest_version: watch::Sender::default(),
        suspicions_changed: Notify::new(),
        stop: CancellationToken::new(),
        lifetime: Lifetime::default(),
        log: Logger::root(Discard, o!()),
    })
}

fn changed(key: &str, value: &str) -> Change {
    Change {
        key: key.to_owned(),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

const SUBSCRIPTION: Subscription<'static> = Subscription {
    table: TABLE,
    poll_timeout: Duration::from_secs(1),
};

#[test]
fn install_only_newer_and_decodable() {
    let shared = shared();
    let installer = Installer::new(
        Arc::clone(&shared),
        Arc::new(VersionCodec),
        "rules".to_owned(),
    );
    let install = |change| {
        installer.apply_update(TableUpdate::Incremental(vec![change]));
        shared.version()
    };
    assert_eq!(install(changed("rules", "4")), 4);
    assert_eq!(install(changed("rules", "3")), 4);
    assert_eq!(install(changed("rules", "cut short")), 4);
    assert_eq!(install(changed("another row", "9")), 4);
    assert_eq!(install(changed("rules", "9")), 9);
    assert_eq!(installer.content(), Some(Bytes::from_static(b"9")));
}

/// Decodes as [`VersionCodec`] does; odd versions list organisations.
#[derive(Debug)]
struct OddCodec;

impl Codec for OddCodec {
    fn decode_rules(&self, bytes: &[u8], split_offset: u64) -> Result<Rules, DecodeError> {
        let rules = VersionCodec.decode_rules(bytes, split_offset)?;
        Ok(if rules.version() % 2 == 1 {
            rules.with_organisations(Directory::new([7; 32]))
        } else {
            rules
        })
    }

    fn decode_report(&self, path_and_query: &str, body: &[u8]) -> Result<Report, DecodeError> {
        VersionCodec.decode_report(path_and_query, body)
    }

    fn acknowledgement(&self) -> Bytes {
        VersionCodec.acknowledgement()
    }
}

// Callers still send the keys of organisations that a version no longer lists.
#[test]
fn install_version_after_organisations() {
    let shared = shared();
    let installer = Installer::new(Arc::clone(&shared), Arc::new(OddCodec), "rules".to_owned());
    let install = |version: &'static str| {
        installer.install(Bytes::from_static(version.as_bytes()));
        shared.has_organisations.load(Ordering::SeqCst)
    };
    assert!(!install("2"));
    assert!(install("3"));
    assert!(install("4"));
    assert!(shared.rules.load().organisations().is_none());
}

/// Decodes as [`VersionCodec`] does, and waits for version 5 until another thread lets it go on.
#[derive(Debug)]
struct WaitingCodec {
    decoding: std::sync::Barrier,
    installed: std::sync::Barrier,
}

impl Codec for WaitingCodec {
    fn decode_rules(&self, bytes: &[u8], split_offset: u64) -> Result<Rules, DecodeError> {
        if bytes == b"5" {
            self.decoding.wait();
            self.installed.wait();
        }
        VersionCodec.decode_rules(bytes, split_offset)
    }

    fn decode_report(&self, _path_and_query: &str, _body: &[u8]) -> Result<Report, DecodeError> {
        unreachable!("no test sends a report")
    }

    fn acknowledgement(&self) -> Bytes {
        Bytes::new()
    }
}

// A version that took long to decode replaced a newer one that arrived from another source.
#[test]
fn install_while_older_version_is_decoded() {
    let shared = shared();
    let codec = Arc::new(WaitingCodec {
        decoding: std::sync::Barrier::new(2),
        installed: std::sync::Barrier::new(2),
    });
    let installer = Installer::new(
        Arc::clone(&shared),
        Arc::clone(&codec) as Arc<_>,
        "rules".to_owned(),
    );
    std::thread::scope(|scope| {
        scope.spawn(|| installer.install(Bytes::from_static(b"5")));
        codec.decoding.wait();
        installer.install(Bytes::from_static(b"6"));
        codec.installed.wait();
    });
    assert_eq!(shared.version(), 6);
    assert_eq!(installer.content(), Some(Bytes::from_static(b"6")));
}

#[tokio::test(start_paused = true)]
async fn watch_table_after_failures_and_compaction() {
    let store = Store::default();
    *store.failures.lock().unwrap() = 2;
    let poll_results = [
        Err(Error::Compacted { revision: 1 }),
        Err(unavailable()),
        Ok(Changes {
            changes: vec![changed("b", "2")],
            revision: 2,
        }),
    ];
    store.poll_results.lock().unwrap().extend(poll_results);
    store
        .rows
        .lock()
        .unwrap()
        .insert("a".to_owned(), Bytes::from_static(b"1"));
    let mut updates = Vec::new();
    let log = log();
    let watching = watch_table(&store, SUBSCRIPTION, None, &log, |update| {
        let is_full = matches!(update, TableUpdate::Full(_));
        updates.push((is_full, update.into_changes()));
    });
    assert!(
        tokio::time::timeout(Duration::from_mins(1), watching)
            .await
            .is_err()
    );
    let all = (true, vec![changed("a", "1")]);
    let expected = vec![all.clone(), (false, vec![changed("b", "2")]), all];
    assert_eq!(updates, expected);
}

#[tokio::test(start_paused = true)]
async fn watch_table_when_another_node_is_ahead() {
    let store = Store::default();
    let log = log();
    let shared = shared();
    let watching = watch_table(&store, SUBSCRIPTION, Some(&shared), &log, |_update| {});
    let peer = Some("10.0.0.1:80".parse().expect("an address"));
    let checks = async {
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(*store.reads.lock().unwrap(), 1);
        shared.observe_version(4, peer);
        // The version arrives from another source before the time limit.
        tokio::time::sleep(Duration::from_millis(900)).await;
        let rules = Rules::new(4, Limits::default(), BTreeSet::new());
        shared.rules.store(Arc::new(rules));
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(*store.reads.lock().unwrap(), 1);
        shared.observe_version(5, peer);
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(*store.reads.lock().unwrap(), 2);
    };
    tokio::select! {
        () = watching => {}
        () = checks => {}
    }
}

fn record(instance: &str, phase: Phase) -> Record {
    let locality = Locality::new(
        instance.to_owned(),
        "domain-a".to_owned(),
        "region-a".to_owned(),
    );
    let mut record = LocalRecord::new(&locality, "10.0.0.1:80".to_owned(), 1)
        .record()
        .clone();
    "service-a".clone_into(&mut record.service);
    record.phase = phase;
    record
}

fn registration(record: &Record) -> Registration {
    Registration {
        record: record.clone(),
        link_mbps: 100,
    }
}

fn row(record: &Record) -> Change {
    Change {
        key: record.instance.clone(),
        value: Some(
            rmp_serde::to_vec_named(&registration(record))
                .unwrap()
                .into(),
        ),
    }
}

#[test]
fn apply_update_with_invalid_and_draining_rows() {
    let shared = shared();
    let mut registry = NodeRegistry::new(Arc::clone(&shared));
    let ready = record("n1", Phase::Ready);
    let foreign = Change {
        key: "n3".to_owned(),
        ..row(&record("n4", Phase::Ready))
    };
    let draining = record("n2", Phase::Draining);
    let all = vec![row(&ready), changed("n9", "{}"), foreign, row(&draining)];
    registry.apply_update(TableUpdate::Full(all), Instant::now());
    let ready_instances = || -> Vec<String> {
        let directory = shared.directory.load();
        directory
            .endpoints()
            .map(|endpoint| endpoint.instance.clone())
            .collect()
    };
    assert_eq!(ready_instances(), ["n1"]);
    assert_eq!(shared.directory.load().node_count(), 2);
    let removed = Change {
        key: "n1".to_owned(),
        value: None,
    };
    registry.apply_update(TableUpdate::Incremental(vec![removed]), Instant::now());
    assert!(ready_instances().is_empty());
}

#[tokio::test(start_paused = true)]
async fn publish_until_confirmed_and_remove_when_gone() {
    let store = Arc::new(Store::default());
    *store.failures.lock().unwrap() = 3;
    let (sender, records) = watch::channel(None);
    let publisher = Publisher::new(Arc::clone(&store) as Arc<_>, TABLE.to_owned(), 100, log());
    let restorations = watch::Sender::new(Restoration::default());
    tokio::spawn(publisher.run(records, restorations.subscribe()));
    sender.send_replace(Some(record("n0", Phase::Ready)));
    // The fourth write succeeds after less than two seconds of pauses.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(store.rows.lock().unwrap().contains_key("n0"));
    assert_eq!(*store.writes.lock().unwrap(), 4);
    sender.send_replace(Some(record("n0", Phase::Gone)));
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert!(store.rows.lock().unwrap().is_empty());
}

// The first poll after a failure must not wait in the new history of a restored store.
#[tokio::test(start_paused = true)]
async fn watch_table_restored_in_outage() {
    let store = Store::default();
    let poll_results = [
        Err(Error::Restored { revision: 1 }),
        Err(unavailable()),
        Err(unavailable()),
    ];
    store.poll_results.lock().unwrap().extend(poll_results);
    let mut updates = Vec::new();
    let log = log();
    let watching = watch_table(&store, SUBSCRIPTION, None, &log, |update| {
        updates.push(update);
        *store.restorations.lock().unwrap() = 1;
    });
    let ended = tokio::time::timeout(Duration::from_mins(1), watching).await;
    assert!(ended.is_err());
    let expected = [
        TableUpdate::Full(Vec::new()),
        TableUpdate::Restored(Vec::new()),
    ];
    assert_eq!(updates, expected);
    let usual = SUBSCRIPTION.poll_timeout;
    let expected = [usual, Duration::ZERO, Duration::ZERO, usual];
    assert_eq!(*store.poll_timeouts.lock().unwrap(), expected);
}

// A restored store must not bring back an upstream that drains, or hide nodes that live.
#[test]
fn apply_restored_table() {
    let shared = shared();
    let mut registry = NodeRegistry::new(Arc::clone(&shared));
    let restorations = registry.restorations();
    let record = |instance: &str, phase, sequence| Record {
        sequence,
        ..record(instance, phase)
    };
    let now = Instant::now();
    let draining = record("n1", Phase::Draining, 3);
    let all = ["n0", "n2", "n3"].map(|instance| row(&record(instance, Phase::Ready, 1)));
    let all = all.into_iter().chain([row(&draining)]).collect();
    registry.apply_update(TableUpdate::Full(all), now);
    let ready_instances = || -> Vec<String> {
        let directory = shared.directory.load();
        let endpoints = directory.endpoints();
        endpoints
            .map(|endpoint| endpoint.instance.clone())
            .collect()
    };
    let own = record("n0", Phase::Ready, 1);
    let restored = vec![row(&record("n1", Phase::Ready, 2)), row(&own)];
    registry.apply_update(TableUpdate::Restored(restored), now);
    assert_eq!(ready_instances(), ["n0", "n2", "n3"]);
    assert_eq!(restorations.borrow().own_record, Some(own));
    // One of the missing nodes writes its row again.
    let again = vec![row(&record("n2", Phase::Ready, 1))];
    registry.apply_update(TableUpdate::Incremental(again), now);
    let deadline = now + Duration::from_millis(2500);
    let early = deadline
        .checked_sub(Duration::from_millis(1))
        .expect("an instant");
    assert_eq!(registry.remove_missing(early), Some(deadline));
    assert_eq!(registry.remove_missing(deadline), None);
    assert_eq!(ready_instances(), ["n0", "n2"]);
}

// A record that a restored store had lost was never written again.
#[tokio::test(start_paused = true)]
async fn publish_again_after_restoration() {
    let store = Arc::new(Store::default());
    let (sender, records) = watch::channel(None);
    let restored = watch::Sender::new(Restoration::default());
    let publisher = Publisher::new(Arc::clone(&store) as Arc<_>, TABLE.to_owned(), 100, log());
    tokio::spawn(publisher.run(records, restored.subscribe()));
    let written_after = async |own_record: Option<Record>| {
        restored.send_replace(Restoration { own_record });
        tokio::time::sleep(Duration::from_millis(10)).await;
        *store.writes.lock().unwrap()
    };
    assert_eq!(written_after(None).await, 0);
    let ready = record("n0", Phase::Ready);
    sender.send_replace(Some(ready.clone()));
    assert_eq!(written_after(Some(ready.clone())).await, 1);
    assert_eq!(written_after(None).await, 2);
    sender.send_replace(Some(record("n0", Phase::Gone)));
    assert_eq!(written_after(None).await, 3);
    // The copy still has the row of the upstream that is gone.
    assert_eq!(written_after(Some(ready)).await, 4);
    assert!(store.rows.lock().unwrap().is_empty());
}
