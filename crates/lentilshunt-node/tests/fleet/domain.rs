//! Tests of reading the store through the reader of the failure domain.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, body::Incoming};
use lentilshunt_core::id::InstanceId;
use lentilshunt_net::{BoxFuture, http::Shutdown};
use lentilshunt_node::{
    fleet::{
        self, Cache, Change, Changes, DomainStore, Feeds, Installer, Patch, Row, StateFetcher,
        TableSnapshot, TableStore,
    },
    relay::{Directory, Handler, HeaderLimits, Pool, Server, body::Body},
};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::{Store, TABLE, VersionCodec, changed, shared, unavailable};

const MAX_APPLY_TIME: Duration = Duration::from_secs(3);

fn snapshot(revision: u64, rows: &[(&str, &str)]) -> TableSnapshot {
    let rows = rows.iter().map(|(key, value)| Row {
        key: (*key).to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    TableSnapshot {
        rows: rows.collect(),
        revision,
    }
}

fn changes(revision: u64, changes: Vec<Change>) -> Changes {
    Changes { changes, revision }
}

proptest! {
    #[test]
    fn patch_between_edited_values(
        mut base in proptest::collection::vec(any::<u8>(), 2000..6000),
        at in 0..2000_usize,
        added in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let old = Bytes::from(base.clone());
        base.splice(at..at, added);
        let new = Bytes::from(base);
        let patch = Patch::between(&old, &new);
        prop_assert_eq!(patch.apply(Some(&old)), Some(new.clone()));
        if let Patch::Delta { delta, .. } = &patch {
            prop_assert!(delta.len() < 1000);
            prop_assert_eq!(patch.apply(Some(&new)).is_some(), new == old);
            prop_assert_eq!(patch.apply(None), None);
        }
    }
}

#[test]
fn changes_since_revision() {
    let cache = Cache::default();
    assert_eq!(cache.changes_since(TABLE, 5, &[]), None);
    cache.replace(
        TABLE,
        &snapshot(5, &[("a", "1"), ("b", "2")]),
        Duration::ZERO,
    );
    // Rows that were removed before the table was read are missing from the full response.
    let all = cache.changes_since(TABLE, 4, &[]).expect("a response");
    assert_eq!((all.is_full, all.rows.len()), (true, 2));
    let keys = |after| -> Vec<(String, bool)> {
        let response = cache.changes_since(TABLE, after, &[]).expect("a response");
        let rows = response.rows.into_iter();
        rows.map(|row| (row.key, row.patch.is_some())).collect()
    };
    assert!(keys(5).is_empty());
    let removed = Change {
        key: "a".to_owned(),
        value: None,
    };
    let made = vec![changed("b", "3"), removed];
    cache.apply(TABLE, &changes(8, made), Duration::ZERO);
    let expected = vec![("a".to_owned(), false), ("b".to_owned(), true)];
    assert_eq!(keys(5), expected);
    assert!(keys(8).is_empty());
    assert_eq!(
        cache
            .changes_since(TABLE, 5, &[])
            .expect("a response")
            .revision,
        8
    );
}

/// Serves the requests of other nodes as the reader of a failure domain.
#[derive(Debug)]
struct Reader(Feeds);

impl Handler for Reader {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        self.0.handle(request)
    }
}

fn installer() -> Arc<Installer> {
    let installer = Installer::new(shared(), Arc::new(VersionCodec), "rules".to_owned());
    Arc::new(installer)
}

async fn reader(cache: Arc<Cache>) -> SocketAddr {
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let handler = Arc::new(Reader(Feeds::new(cache, installer())));
    let server = Server::bind(address, handler, limits).await;
    let server = server.expect("a free port");
    let address = server.address().expect("an address");
    tokio::spawn(server.run(Shutdown::default()));
    address
}

/// Returns a domain store whose first reader has the address `reader`.
fn domain_store(store: &Arc<Store>, reader: SocketAddr) -> DomainStore {
    let local = shared().locality.instance.clone();
    domain_store_with(store, vec![("n1".to_owned(), reader), (local, reader)])
}

/// Returns a domain store with the given nodes as readers, in order of preference.
fn domain_store_with(store: &Arc<Store>, readers: Vec<(InstanceId, SocketAddr)>) -> DomainStore {
    let shared = shared();
    let directory = Directory::default().with_reader_candidates(readers);
    shared.directory.store(Arc::new(directory));
    let pool = Arc::new(Pool::new(
        Duration::from_millis(400),
        Duration::from_secs(5),
    ));
    let store = Arc::clone(store) as Arc<dyn TableStore>;
    DomainStore::new(store, shared, pool, Arc::default(), MAX_APPLY_TIME)
}

// Guards against reads of the whole table from the store while the reader serves changes.
#[tokio::test]
async fn wait_for_changes_through_reader() {
    let store = Arc::new(Store::default());
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &snapshot(1, &[]), Duration::ZERO);
    let domain_store = domain_store(&store, reader(Arc::clone(&cache)).await);
    domain_store.read(TABLE).await.expect("a snapshot");
    let long = "x".repeat(5000);
    let versions = [(2, format!("1{long}")), (3, format!("2{long}"))];
    for (revision, value) in versions {
        let change = vec![changed("rules", &value)];
        cache.apply(TABLE, &changes(revision, change.clone()), Duration::ZERO);
        let received = domain_store
            .wait_for_changes(TABLE, revision - 1, MAX_APPLY_TIME)
            .await;
        assert_eq!(received.expect("changes"), changes(revision, change));
    }
    // The first read goes through the reader as well.
    assert_eq!(*store.reads.lock().unwrap(), 0);
}

// A reader that lost the store responds with old data; the node must poll the store itself.
#[tokio::test]
async fn wait_for_changes_with_stale_reader() {
    let store = Arc::new(Store::default());
    let expected = changes(9, vec![changed("rules", "9")]);
    store
        .poll_results
        .lock()
        .unwrap()
        .push(Ok(expected.clone()));
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &snapshot(1, &[]), Duration::from_secs(2));
    let domain_store = domain_store(&store, reader(cache).await);
    let received = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    assert_eq!(received.expect("changes"), expected);
}

// Data of a table that the reader polls rarely is old without a fault and must be accepted.
#[tokio::test]
async fn wait_for_changes_with_stale_reader_within_poll_timeout() {
    let store = Arc::new(Store::default());
    let cache = Arc::new(Cache::default());
    let change = vec![changed("rules", "9")];
    cache.replace(TABLE, &snapshot(1, &[]), Duration::from_secs(2));
    cache.apply(TABLE, &changes(9, change.clone()), Duration::from_secs(2));
    let domain_store = domain_store(&store, reader(cache).await);
    let domain_store = domain_store.with_throttle(TABLE, Duration::ZERO, Duration::from_secs(3));
    let received = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    assert_eq!(received.expect("changes"), changes(9, change));
}

// A node must not miss changes when it cannot connect to the reader.
#[tokio::test]
async fn wait_for_changes_with_dead_reader() {
    let store = Arc::new(Store::default());
    let expected = changes(9, vec![changed("rules", "9")]);
    store
        .poll_results
        .lock()
        .unwrap()
        .push(Ok(expected.clone()));
    let domain_store = domain_store(&store, "127.0.0.1:1".parse().expect("an address"));
    let received = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    assert_eq!(received.expect("changes"), expected);
}

// A node that missed versions must receive a delta against its own version, not all content.
#[tokio::test]
async fn wait_for_changes_three_versions_behind_as_delta() {
    let store = Arc::new(Store::default());
    let rules = |version: u64| format!("{version} {}", "x".repeat(5000));
    let change = |version| vec![changed("rules", &rules(version))];
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &snapshot(1, &[("rules", &rules(1))]), Duration::ZERO);
    let domain_store = domain_store(&store, reader(Arc::clone(&cache)).await);
    let received = domain_store
        .wait_for_changes(TABLE, 0, MAX_APPLY_TIME)
        .await;
    assert_eq!(received.expect("all rows"), changes(1, change(1)));
    for version in 2..5 {
        cache.apply(TABLE, &changes(version, change(version)), Duration::ZERO);
    }
    let received = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    assert_eq!(received.expect("changes"), changes(4, change(4)));
    let response = cache.changes_since(TABLE, 1, &[Patch::hash(rules(1).as_bytes())]);
    let patch = response.expect("a response").rows[0].patch.clone();
    assert!(matches!(patch, Some(Patch::Delta { .. })));
}

// Rows that were removed while the reader read the table again must not stay on other nodes.
#[tokio::test]
async fn wait_for_changes_after_full_read_of_reader() {
    let store = Arc::new(Store::default());
    let rules = format!("1 {}", "x".repeat(5000));
    let before = snapshot(1, &[("a", "1"), ("rules", &rules)]);
    store.rows.lock().unwrap().extend(
        before
            .rows
            .iter()
            .map(|row| (row.key.clone(), row.value.clone())),
    );
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &before, Duration::ZERO);
    let domain_store = domain_store(&store, reader(Arc::clone(&cache)).await);
    domain_store.read(TABLE).await.expect("a snapshot");
    cache.replace(TABLE, &snapshot(9, &[("rules", &rules)]), Duration::ZERO);
    let received = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    let removed = Change {
        key: "a".to_owned(),
        value: None,
    };
    let expected = changes(9, vec![changed("rules", &rules), removed]);
    assert_eq!(received.expect("changes"), expected);
    // A value that both nodes have is not sent again.
    let response = cache.changes_since(TABLE, 1, &[Patch::hash(rules.as_bytes())]);
    let patch = response.expect("a response").rows[0].patch.clone();
    let hash = Patch::hash(rules.as_bytes());
    assert_eq!(patch, Some(Patch::Same { hash }));
}

// A node must not read the whole table after a compaction if a reader has the changes.
#[tokio::test]
async fn wait_for_changes_after_compaction_at_store_and_reader() {
    let store = Arc::new(Store::default());
    let compacted = Err(fleet::Error::Compacted { revision: 1 });
    store.poll_results.lock().unwrap().push(compacted);
    let cache = Arc::new(Cache::default());
    let domain_store = domain_store(&store, reader(Arc::clone(&cache)).await);
    let read_again = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cache.replace(TABLE, &snapshot(9, &[("rules", "9")]), Duration::ZERO);
    };
    let (received, ()) = tokio::join!(
        domain_store.wait_for_changes(TABLE, 1, MAX_APPLY_TIME),
        read_again
    );
    let expected = changes(9, vec![changed("rules", "9")]);
    assert_eq!(received.expect("changes"), expected);
    assert_eq!(*store.reads.lock().unwrap(), 0);
}

// A node without a reader put off its polls after an outage and a compaction, and missed a change.
#[tokio::test(start_paused = true)]
async fn wait_for_changes_after_outage_without_reader() {
    let store = Arc::new(Store::default());
    let expected = changes(9, vec![changed("rules", "9")]);
    let poll_results = [
        Ok(expected.clone()),
        Err(fleet::Error::Compacted { revision: 1 }),
        Err(unavailable()),
        Err(unavailable()),
    ];
    store.poll_results.lock().unwrap().extend(poll_results);
    let domain_store = domain_store_with(&store, Vec::new());
    let started_at = Instant::now();
    for _ in 0..3 {
        let polled = domain_store
            .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
            .await;
        assert!(polled.is_err(), "{polled:?}");
    }
    domain_store.read(TABLE).await.expect("a snapshot");
    let received = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    assert_eq!(received.expect("changes"), expected);
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}

// The store went away and came back from an older copy while the polls of all tables paused, and a
// version was missed until a long poll ended.
#[tokio::test]
async fn wait_for_changes_while_another_table_pauses() {
    const OTHER_TABLE: &str = "op";
    let pause = Duration::from_secs(1);
    let shortest_pause = pause / 2;
    let store = Arc::new(Store::default());
    let results = (2..6).map(|revision| Ok(changes(revision, vec![changed("rules", "9")])));
    store.poll_results.lock().unwrap().extend(results);
    let domain_store = domain_store_with(&store, Vec::new())
        .with_throttle(TABLE, pause, MAX_APPLY_TIME)
        .with_throttle(OTHER_TABLE, pause, MAX_APPLY_TIME);
    let started_at = Instant::now();
    for table in [TABLE, OTHER_TABLE, OTHER_TABLE] {
        let polled = domain_store.wait_for_changes(table, 1, MAX_APPLY_TIME);
        polled.await.expect("changes");
    }
    assert!(started_at.elapsed() < shortest_pause);
    let polled = domain_store.wait_for_changes(TABLE, 1, MAX_APPLY_TIME);
    polled.await.expect("changes");
    assert!(started_at.elapsed() >= shortest_pause);
}

// A node that has just read the table from the store must poll it at once.
#[tokio::test]
async fn wait_for_changes_after_failed_poll_and_read() {
    let store = Arc::new(Store::default());
    let expected = changes(9, vec![changed("rules", "9")]);
    let poll_results = [Ok(expected.clone()), Err(unavailable())];
    store.poll_results.lock().unwrap().extend(poll_results);
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let readers = vec![("n1".to_owned(), unreachable)];
    let domain_store = domain_store_with(&store, readers);
    let started_at = Instant::now();
    let failed = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    assert!(failed.is_err(), "{failed:?}");
    domain_store.read(TABLE).await.expect("a snapshot");
    let received = domain_store
        .wait_for_changes(TABLE, 1, MAX_APPLY_TIME)
        .await;
    assert_eq!(received.expect("changes"), expected);
    assert!(started_at.elapsed() < Duration::from_millis(500));
}

// A version that the store does not deliver must be fetched from a node that has it in force.
#[tokio::test]
async fn fetch_state_of_newer_version() {
    let rules = |version: u64| Bytes::from(format!("{version} {}", "x".repeat(5000)));
    let ahead = installer();
    ahead.install(rules(1));
    ahead.install(rules(2));
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let feeds = Feeds::new(Arc::default(), Arc::clone(&ahead));
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(any, Arc::new(Reader(feeds)), limits).await;
    let server = server.expect("a free port");
    let address = server.address().expect("an address");
    tokio::spawn(server.run(Shutdown::default()));

    let shared = shared();
    let behind = Installer::new(
        Arc::clone(&shared),
        Arc::new(VersionCodec),
        "rules".to_owned(),
    );
    let behind = Arc::new(behind);
    behind.install(rules(1));
    let pool = Arc::new(Pool::new(
        Duration::from_millis(400),
        Duration::from_secs(5),
    ));
    let fetcher = StateFetcher::new(Arc::clone(&shared), Arc::clone(&behind), pool);
    tokio::spawn(fetcher.run());
    shared.observe_version(2, Some(address));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(behind.content(), Some(rules(2)));
    let patch = ahead.state(Some(Patch::hash(&rules(1)))).rules;
    assert!(matches!(patch, Some(Patch::Delta { .. })));
}
