//! Tests of the store read through another node of the failure domain.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, body::Incoming};
use lentilshunt_net::{Pending, http::Stop};
use lentilshunt_node::{
    fleet::{
        self, Cache, Change, Changes, Feeds, Installer, Neighbour, Page, Patch, Relayed, Row, Rows,
    },
    relay::{Directory, Handler, HeaderLimits, Pool, Server, body::Body},
};
use proptest::prelude::*;

use crate::{Numbers, Store, TABLE, changed, shared};

const APPLY: Duration = Duration::from_secs(3);

fn page(revision: u64, rows: &[(&str, &str)]) -> Page {
    let rows = rows.iter().map(|(key, value)| Row {
        key: (*key).to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    Page {
        rows: rows.collect(),
        revision,
    }
}

fn changes(revision: u64, changes: Vec<Change>) -> Changes {
    Changes { changes, revision }
}

proptest! {
    #[test]
    fn patch_of_edited_value(
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
fn cache_answers_what_changed() {
    let cache = Cache::default();
    assert_eq!(cache.answer(TABLE, 5, &[]), None);
    cache.replace(TABLE, &page(5, &[("a", "1"), ("b", "2")]), Duration::ZERO);
    // Rows that were removed before the table was read are known by what is left.
    let all = cache.answer(TABLE, 4, &[]).expect("an answer");
    assert_eq!((all.whole, all.differences.len()), (true, 2));
    let keys = |after| -> Vec<(String, bool)> {
        let answer = cache.answer(TABLE, after, &[]).expect("an answer");
        let differences = answer.differences.into_iter();
        differences
            .map(|row| (row.key, row.patch.is_some()))
            .collect()
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
    assert_eq!(cache.answer(TABLE, 5, &[]).expect("an answer").revision, 8);
}

/// Answers the questions of other nodes as the reader of a failure domain.
#[derive(Debug)]
struct Reader(Feeds);

impl Handler for Reader {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Body>> {
        self.0.handle(request)
    }
}

fn installer() -> Arc<Installer> {
    let installer = Installer::new(shared(), Arc::new(Numbers), "rules".to_owned());
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
    tokio::spawn(server.run(Stop::default()));
    address
}

/// Returns a view of a store whose first reader is at an address.
fn relayed(store: &Arc<Store>, reader: SocketAddr) -> Relayed {
    let shared = shared();
    let own = shared.locality.instance.clone();
    let readers = vec![("n1".to_owned(), reader), (own, reader)];
    let directory = Directory::default().with_readers(readers);
    shared.directory.store(Arc::new(directory));
    let pool = Arc::new(Pool::new(
        Duration::from_millis(400),
        Duration::from_secs(5),
    ));
    let store = Arc::clone(store) as Arc<dyn Rows>;
    Relayed::new(store, shared, pool, Arc::default(), APPLY)
}

#[tokio::test]
async fn wait_through_reader() {
    let store = Arc::new(Store::default());
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &page(1, &[]), Duration::ZERO);
    let relayed = relayed(&store, reader(Arc::clone(&cache)).await);
    relayed.read(TABLE).await.expect("a page");
    let long = "x".repeat(5000);
    let versions = [(2, format!("1{long}")), (3, format!("2{long}"))];
    for (revision, value) in versions {
        let change = vec![changed("rules", &value)];
        cache.apply(TABLE, &changes(revision, change.clone()), Duration::ZERO);
        let told = relayed.wait(TABLE, revision - 1, APPLY).await;
        assert_eq!(told.expect("changes"), changes(revision, change));
    }
    assert_eq!(*store.reads.lock().unwrap(), 1);
}

#[tokio::test]
async fn wait_with_reader_that_lost_the_store() {
    let store = Arc::new(Store::default());
    let expected = changes(9, vec![changed("rules", "9")]);
    store.waits.lock().unwrap().push(Ok(expected.clone()));
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &page(1, &[]), Duration::from_secs(2));
    let relayed = relayed(&store, reader(cache).await);
    let told = relayed.wait(TABLE, 1, APPLY).await;
    assert_eq!(told.expect("changes"), expected);
}

#[tokio::test]
async fn wait_with_reader_that_reads_seldom() {
    let store = Arc::new(Store::default());
    let cache = Arc::new(Cache::default());
    let change = vec![changed("rules", "9")];
    cache.replace(TABLE, &page(1, &[]), Duration::from_secs(2));
    cache.apply(TABLE, &changes(9, change.clone()), Duration::from_secs(2));
    let relayed = relayed(&store, reader(cache).await);
    let relayed = relayed.with_pace(TABLE, Duration::ZERO, Duration::from_secs(3));
    let told = relayed.wait(TABLE, 1, APPLY).await;
    assert_eq!(told.expect("changes"), changes(9, change));
}

#[tokio::test]
async fn wait_with_dead_reader() {
    let store = Arc::new(Store::default());
    let expected = changes(9, vec![changed("rules", "9")]);
    store.waits.lock().unwrap().push(Ok(expected.clone()));
    let relayed = relayed(&store, "127.0.0.1:1".parse().expect("an address"));
    let told = relayed.wait(TABLE, 1, APPLY).await;
    assert_eq!(told.expect("changes"), expected);
}

#[tokio::test]
async fn wait_some_versions_behind() {
    let store = Arc::new(Store::default());
    let long = |version: u64| format!("{version} {}", "x".repeat(5000));
    let change = |version| vec![changed("rules", &long(version))];
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &page(1, &[("rules", &long(1))]), Duration::ZERO);
    let relayed = relayed(&store, reader(Arc::clone(&cache)).await);
    let told = relayed.wait(TABLE, 0, APPLY).await;
    assert_eq!(told.expect("all rows"), changes(1, change(1)));
    for version in 2..5 {
        cache.apply(TABLE, &changes(version, change(version)), Duration::ZERO);
    }
    let told = relayed.wait(TABLE, 1, APPLY).await;
    assert_eq!(told.expect("changes"), changes(4, change(4)));
    let answer = cache.answer(TABLE, 1, &[Patch::hash(long(1).as_bytes())]);
    let patch = answer.expect("an answer").differences[0].patch.clone();
    assert!(matches!(patch, Some(Patch::Delta { .. })));
}

#[tokio::test]
async fn wait_after_reader_read_the_table_again() {
    let store = Arc::new(Store::default());
    let rules = format!("1 {}", "x".repeat(5000));
    let before = page(1, &[("a", "1"), ("rules", &rules)]);
    store.rows.lock().unwrap().extend(
        before
            .rows
            .iter()
            .map(|row| (row.key.clone(), row.value.clone())),
    );
    let cache = Arc::new(Cache::default());
    cache.replace(TABLE, &before, Duration::ZERO);
    let relayed = relayed(&store, reader(Arc::clone(&cache)).await);
    relayed.read(TABLE).await.expect("a page");
    cache.replace(TABLE, &page(9, &[("rules", &rules)]), Duration::ZERO);
    let told = relayed.wait(TABLE, 1, APPLY).await;
    let gone = Change {
        key: "a".to_owned(),
        value: None,
    };
    let expected = changes(9, vec![changed("rules", &rules), gone]);
    assert_eq!(told.expect("changes"), expected);
    // What both hold is not sent again.
    let answer = cache.answer(TABLE, 1, &[Patch::hash(rules.as_bytes())]);
    let patch = answer.expect("an answer").differences[0].patch.clone();
    let hash = Patch::hash(rules.as_bytes());
    assert_eq!(patch, Some(Patch::Same { hash }));
}

#[tokio::test]
async fn wait_after_store_and_reader_forgot() {
    let store = Arc::new(Store::default());
    let forgotten = Err(fleet::Error::Forgotten { revision: 1 });
    store.waits.lock().unwrap().push(forgotten);
    let cache = Arc::new(Cache::default());
    let relayed = relayed(&store, reader(Arc::clone(&cache)).await);
    let read_again = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cache.replace(TABLE, &page(9, &[("rules", "9")]), Duration::ZERO);
    };
    let (told, ()) = tokio::join!(relayed.wait(TABLE, 1, APPLY), read_again);
    let expected = changes(9, vec![changed("rules", "9")]);
    assert_eq!(told.expect("changes"), expected);
    assert_eq!(*store.reads.lock().unwrap(), 0);
}

#[tokio::test]
async fn neighbour_takes_newer_version() {
    let long = |version: u64| Bytes::from(format!("{version} {}", "x".repeat(5000)));
    let ahead = installer();
    ahead.install(long(1));
    ahead.install(long(2));
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let feeds = Feeds::new(Arc::default(), Arc::clone(&ahead));
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(any, Arc::new(Reader(feeds)), limits).await;
    let server = server.expect("a free port");
    let address = server.address().expect("an address");
    tokio::spawn(server.run(Stop::default()));

    let shared = shared();
    let behind = Installer::new(Arc::clone(&shared), Arc::new(Numbers), "rules".to_owned());
    let behind = Arc::new(behind);
    behind.install(long(1));
    let pool = Arc::new(Pool::new(
        Duration::from_millis(400),
        Duration::from_secs(5),
    ));
    let neighbour = Neighbour::new(Arc::clone(&shared), Arc::clone(&behind), pool);
    tokio::spawn(neighbour.run());
    shared.observe_version(2, Some(address));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(behind.content(), Some(long(2)));
    let told = ahead.state(Some(Patch::hash(&long(1)))).rules;
    assert!(matches!(told, Some(Patch::Delta { .. })));
}
