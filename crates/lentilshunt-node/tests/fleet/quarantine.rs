//! Tests of quarantined requests after nodes have restarted.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use lentilshunt_core::quarantine::{QuarantineStatus, Suspects, Suspicion, encode};
use lentilshunt_node::fleet::{Change, TableStore, TableUpdate, quarantine::Archive};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    Store, TABLE,
    process::{Process, own_addresses, status},
    shared,
};

/// Key of the row of request 1.
const KEY: &str = "/quarantine/00000000000000000000000000000001";

/// An upstream that each request crashes.
struct Upstream {
    address: SocketAddr,
    crashes: Arc<AtomicUsize>,
    running: JoinHandle<()>,
}

impl Upstream {
    async fn start() -> Self {
        let address = SocketAddr::new(own_addresses().callers.ip(), 9000);
        let crashes = Arc::default();
        let running = run_until_crash(address, Arc::clone(&crashes)).await;
        Self {
            address,
            crashes,
            running,
        }
    }

    /// Starts the upstream again, which must have crashed.
    async fn start_again(&mut self) {
        let crashed = timeout(Duration::from_secs(5), &mut self.running).await;
        crashed.expect("a crash").expect("no panic");
        self.running = run_until_crash(self.address, Arc::clone(&self.crashes)).await;
    }
}

async fn run_until_crash(address: SocketAddr, crashes: Arc<AtomicUsize>) -> JoinHandle<()> {
    let listener = TcpListener::bind(address).await.expect("a free address");
    tokio::spawn(async move {
        loop {
            let (stream, _client) = listener.accept().await.expect("a connection");
            let mut byte = [0];
            // A connection without a request is that of a check whether the upstream runs.
            if stream.peek(&mut byte).await.is_ok_and(|count| count > 0) {
                crashes.fetch_add(1, Ordering::SeqCst);
                // Before the connection, so that the node does not find the upstream alive.
                drop(listener);
                return;
            }
        }
    })
}

// A node that had restarted forgot a quarantined request and crashed its upstream again. No other
// node remembers it here, as after a restart of all nodes.
#[tokio::test]
async fn run_again_after_quarantine() {
    let store = Arc::<Store>::default();
    let mut upstream = Upstream::start().await;
    let listen = own_addresses();
    let mut process = Process::start(listen.clone(), upstream.address, &store).await;
    assert_eq!(status(process.send("/x").await).await, 502);
    upstream.start_again().await;
    // Two losses in short succession count as one.
    sleep(Duration::from_millis(2100)).await;
    assert_eq!(status(process.send("/x").await).await, 502);
    upstream.start_again().await;
    for _restart in 0..2 {
        sleep(Duration::from_millis(300)).await;
        process.stop.cancel();
        process.ended().await;
        process = Process::start(listen.clone(), upstream.address, &store).await;
        assert_eq!(status(process.send("/x").await).await, 502);
        assert_eq!(upstream.crashes.load(Ordering::SeqCst), 2);
    }
    // Another request still runs.
    assert_eq!(status(process.send("/y").await).await, 502);
    assert_eq!(upstream.crashes.load(Ordering::SeqCst), 3);
}

fn suspicion(instance: &str) -> Suspicion {
    Suspicion {
        request: 1,
        instance: instance.to_owned(),
        repeat: 0,
    }
}

fn row(instances: &[&str]) -> Change {
    let suspicions: Vec<_> = instances.iter().map(|name| suspicion(name)).collect();
    Change {
        key: KEY.to_owned(),
        value: Some(encode(&suspicions).into()),
    }
}

fn other_row() -> Change {
    Change {
        key: "n1".to_owned(),
        value: Some(Bytes::from_static(b"row")),
    }
}

/// An archive of the node `n0`.
struct Fixture {
    store: Arc<Store>,
    suspects: Arc<Suspects>,
    archive: Archive,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        let store = Arc::<Store>::default();
        let suspects = Arc::new(Suspects::new(now));
        let table = Arc::clone(&store) as Arc<dyn TableStore>;
        let archive = Archive::new(shared(), Arc::clone(&suspects), table, TABLE.to_owned());
        Self {
            store,
            suspects,
            archive,
            now,
        }
    }

    /// Runs the archive for a while, and returns whether the store then has the row.
    async fn has_row(&self) -> bool {
        let _elapsed = timeout(Duration::from_millis(300), self.archive.run()).await;
        self.store.rows.lock().unwrap().contains_key(KEY)
    }
}

#[test]
fn apply_update_with_row_of_request() {
    let Fixture {
        suspects,
        archive,
        now,
        ..
    } = Fixture::new();
    let update = TableUpdate::Full(vec![row(&["n1", "n2"]), other_row()]);
    let rest = archive.apply_update(update, now);
    assert_eq!(rest, TableUpdate::Full(vec![other_row()]));
    assert_eq!(suspects.status(1, now), QuarantineStatus::Quarantined);
    // The end of the row is not that of the quarantine, which each node ends by itself.
    let removed = Change {
        value: None,
        ..row(&[])
    };
    let rest = archive.apply_update(TableUpdate::Incremental(vec![removed]), now);
    assert_eq!(rest, TableUpdate::Incremental(Vec::new()));
    assert_eq!(suspects.status(1, now), QuarantineStatus::Quarantined);
}

// A row that is read again and again must not keep its request quarantined forever.
#[test]
fn apply_update_with_known_row() {
    let Fixture {
        suspects,
        archive,
        now,
        ..
    } = Fixture::new();
    for seconds in [0, 60, 119] {
        let update = TableUpdate::Full(vec![row(&["n1", "n2"])]);
        archive.apply_update(update, now + Duration::from_secs(seconds));
    }
    let later = now + Duration::from_secs(121);
    assert_eq!(suspects.status(1, later), QuarantineStatus::Clear);
}

#[test]
fn apply_update_with_malformed_rows() {
    let Fixture {
        suspects,
        archive,
        now,
        ..
    } = Fixture::new();
    let rows = [
        ("/quarantine/", &b"\x90"[..]),
        ("/quarantine/x", b"\x90"),
        (KEY, b"no list"),
        (
            "/quarantine/00000000000000000000000000000002",
            &encode(&[suspicion("n1")]),
        ),
    ];
    let changes = rows.map(|(key, value)| Change {
        key: key.to_owned(),
        value: Some(Bytes::copy_from_slice(value)),
    });
    let rest = archive.apply_update(TableUpdate::Full(changes.to_vec()), now);
    assert_eq!(rest, TableUpdate::Full(Vec::new()));
    for request in [0, 1, 2] {
        assert_eq!(suspects.status(request, now), QuarantineStatus::Clear);
    }
}

// Only nodes whose upstream was lost write a row, and only for a quarantined request.
#[tokio::test]
async fn run_with_each_suspicion() {
    for (instances, expected) in [
        (&["n0"][..], false),
        (&["n1", "n2"], false),
        (&["n1", "n0"], true),
    ] {
        let fixture = Fixture::new();
        for instance in instances {
            fixture.suspects.merge(&suspicion(instance), fixture.now);
        }
        assert_eq!(fixture.has_row().await, expected, "{instances:?}");
    }
}

#[tokio::test]
async fn run_after_failed_write() {
    let fixture = Fixture::new();
    for instance in ["n0", "n1"] {
        fixture.suspects.merge(&suspicion(instance), fixture.now);
    }
    *fixture.store.failures.lock().unwrap() = 1;
    assert!(!fixture.has_row().await);
    sleep(Duration::from_millis(800)).await;
    let _elapsed = timeout(Duration::from_millis(1200), fixture.archive.run()).await;
    assert!(fixture.has_row().await);
}

// A store that came back from an older copy has lost the row.
#[tokio::test]
async fn run_after_restoration() {
    let fixture = Fixture::new();
    for instance in ["n0", "n1"] {
        fixture.suspects.merge(&suspicion(instance), fixture.now);
    }
    assert!(fixture.has_row().await);
    fixture.store.rows.lock().unwrap().clear();
    let restored = TableUpdate::Restored(vec![other_row()]);
    fixture.archive.apply_update(restored, fixture.now);
    assert!(fixture.has_row().await);
}

// Rows of requests that are no longer quarantined would stay forever.
#[tokio::test]
async fn run_after_end_of_quarantine() {
    for (instances, is_removed) in [(&["n0", "n1"], true), (&["n1", "n2"], false)] {
        let fixture = Fixture::new();
        let change = row(instances);
        let value = change.value.clone().expect("a value");
        fixture
            .store
            .rows
            .lock()
            .unwrap()
            .insert(KEY.to_owned(), value);
        let update = TableUpdate::Full(vec![change]);
        fixture.archive.apply_update(update, fixture.now);
        fixture.suspects.clear(1, fixture.now);
        assert_eq!(fixture.has_row().await, !is_removed, "{instances:?}");
    }
}
