//! Starts the components of a relaying node and shuts them down gracefully.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use lentilshunt_core::{
    membership::{LocalRecord, Record},
    quarantine::Suspects,
    traffic::{Limits, Rules},
};
use lentilshunt_net::{http::Shutdown, meter};
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
    time::{sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

use super::{
    Cache, Codec, DomainStore, Feeds, Installer, Listing, NodeRegistry, NodeSettings, Orders,
    Publisher, Readiness, Reports, Restoration, StateFetcher, TableStore,
    adoption::adopt_upstream,
    departure::{Custodian, Ledger, Receiver},
    metrics::Metrics,
    quarantine::Archive,
    watch::{Subscription, watch_table},
};
use crate::{
    executor::lock,
    quota::{Accountant, Meter, Reporter},
    relay::{
        Directory, Dispatcher, End, Executor, Handler, HeaderLimits, Inbound, Lifetime, Outbound,
        Pool, Server, Shared,
    },
    rollout::{Coordinator, Driver, Rollouts},
};

/// Maximum time to connect to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection to another node is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause in polling after a rules version, so that the next poll returns several at once.
const RULES_BATCH_PAUSE: Duration = Duration::from_millis(600);
/// Timeout of one long poll for a new rules version.
///
/// A long poll that the store dropped in an outage is detected earlier, by the
/// versions of other nodes.
const RULES_POLL_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause in polling after changed records, so that the next poll returns several at once.
const RECORDS_BATCH_PAUSE: Duration = Duration::from_millis(700);
/// Minimum timeout of one long poll for a rules version, by a node that reads the store for
/// others.
///
/// The timeout bounds the age of the rules that the other nodes receive.
const MIN_READER_RULES_POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Part of the maximum apply time that is left after such a poll.
const READER_RULES_POLL_MARGIN: Duration = Duration::from_millis(1500);
/// Pause before the table of nodes is polled if no node was registered at the start.
///
/// All nodes then start for the first time, and each writes its row after the first report of its
/// upstream.
const SETTLE_PAUSE: Duration = Duration::from_millis(2200);
/// Maximum time for which the rules are not read while the table of nodes cannot be read.
const MAX_LISTING_WAIT: Duration = Duration::from_secs(10);
/// Maximum time for which the rules are not read while no reader of the domain is known, when all
/// nodes start for the first time.
const MAX_READER_WAIT: Duration = Duration::from_millis(2600);
/// Time without a new request of callers after which a stopping node closes its listeners.
const SHUTDOWN_IDLE_TIME: Duration = Duration::from_millis(600);
/// Part of the grace period in which a stopping node accepts requests, as a divisor.
///
/// The rest is left for their responses.
const LAST_REQUEST_DIVISOR: u32 = 2;
/// Maximum time for which a stopping node accepts requests that its end may break off.
///
/// Later ones are accepted if their deadline is before the end.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);
/// Timeout of one long poll for changed records, by a node that reads the store for others.
///
/// Other nodes detect that it lost the store by the age of the rules that it sends.
const READER_RECORDS_POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of one long poll for changed records.
const RECORDS_POLL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a stopping node still runs calls of other nodes.
///
/// The longer it is, the less capacity is lost in a restart of many nodes. Afterwards
/// calls are refused, so that other nodes choose other endpoints before the listener closes.
const PEER_SERVICE_TIME: Duration = Duration::from_secs(2);
/// Time after which a stopping node closes its listeners for callers and peers.
///
/// Callers leave after two failed readiness checks, one second apart.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(2500);
/// Time before the drain deadline at which requests in flight get their response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Time before the end of the grace period at which the shutdown no longer waits for connections.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Runs a relaying node until `stop` is cancelled and its requests have ended, or
/// until shortly before the end of the grace period.
///
/// Changed settings from `updates` apply to the retry allowance at once; other
/// changes apply at the next start.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run(
    mut updates: watch::Receiver<NodeSettings>,
    store: Arc<dyn TableStore>,
    codec: Arc<dyn Codec>,
    log: Logger,
    stop: CancellationToken,
) -> io::Result<()> {
    let metrics = meter::install();
    let settings = updates.borrow_and_update().clone();
    let shared = Arc::new(build_shared(&settings, log.clone(), stop.clone()));
    let cache = Arc::new(Cache::default());
    let pool = Arc::new(Pool::new(CONNECT_TIMEOUT, IDLE_TIMEOUT));
    let installer = Installer::new(
        Arc::clone(&shared),
        Arc::clone(&codec),
        settings.rules_row.1.clone(),
    );
    let installer = Arc::new(installer);
    let feeds = Arc::new(Feeds::new(Arc::clone(&cache), Arc::clone(&installer)));
    let deciders = Deciders::new(&settings, &shared, &codec);
    let peer_services = PeerServices {
        feeds,
        deciders: deciders.clone(),
    };
    let parts = Parts {
        store: build_domain_store(&settings, &shared, Arc::clone(&store), &pool, cache),
        suspects: Arc::new(Suspects::new(Instant::now())),
        shared: Arc::clone(&shared),
        codec,
        pool,
        settings,
    };
    let Handlers {
        outbound,
        inbound,
        reports,
        executor,
        custodian,
        ledger,
        records,
    } = parts.build_handlers(peer_services);
    let settings = &parts.settings;
    let request_shutdown = Shutdown {
        draining: stop.clone(),
        closed: CancellationToken::new(),
    };
    let no_shutdown = Shutdown::default();
    let listen = &settings.listen;
    let callers = serve(listen.callers, outbound, &request_shutdown).await?;
    let peers = serve(listen.peers, inbound, &request_shutdown).await?;
    let readiness = Arc::new(Readiness::new(Arc::clone(&shared)));
    let mut tasks = vec![
        tokio::spawn(meter::maintain(metrics.clone())),
        tokio::spawn(Arc::clone(&reports).publish_departures()),
        serve(listen.reports, reports, &no_shutdown).await?.task,
        serve(listen.readiness, readiness, &no_shutdown).await?.task,
        serve(listen.metrics, Arc::new(Metrics(metrics)), &no_shutdown)
            .await?
            .task,
        tokio::spawn(apply_updates(Arc::clone(&shared), updates)),
    ];
    let state_fetcher = StateFetcher::new(
        Arc::clone(&shared),
        Arc::clone(&installer),
        Arc::clone(&parts.pool),
    );
    tasks.push(tokio::spawn(state_fetcher.run()));
    tasks.extend(deciders.start(&shared, &executor, &store, &parts.pool));
    tasks.push(tokio::spawn(adopt_upstream(Arc::clone(&shared), executor)));
    tasks.push(tokio::spawn(custodian.run()));
    tasks.extend(parts.start_store_tasks(installer, ledger, records));
    info!(log, "node started"; "service" => &settings.service,
        "domain" => &settings.locality.domain);

    stop.cancelled().await;
    shut_down(
        &shared,
        settings.grace_period,
        callers,
        peers,
        &request_shutdown,
    )
    .await;
    for task in tasks {
        task.abort();
    }
    info!(log, "node stopped");
    Ok(())
}

/// Serves requests for a part of the grace period, and waits for the responses to the others.
async fn shut_down(
    shared: &Shared,
    grace_period: Duration,
    callers: RunningServer,
    peers: RunningServer,
    request_shutdown: &Shutdown,
) {
    let stopped_at = Instant::now();
    let drain_deadline = stopped_at + grace_period.saturating_sub(GRACE_MARGIN);
    let respond_by = drain_deadline
        .checked_sub(RESPONSE_MARGIN)
        .unwrap_or(drain_deadline);
    let last_request_at = stopped_at + grace_period / LAST_REQUEST_DIVISOR;
    shared.lifetime.end_at(End {
        accept_until: last_request_at.min(stopped_at + MAX_ACCEPT_TIME),
        respond_by,
    });
    info!(shared.log, "node stopping"; "in_flight" => callers.in_flight() + peers.in_flight());
    sleep_until(respond_by.min(stopped_at + PEER_SERVICE_TIME).into()).await;
    shared.lifetime.refuse_calls();
    sleep_until(respond_by.min(stopped_at + SHUTDOWN_NOTICE).into()).await;
    callers.wait_until_idle(last_request_at).await;
    request_shutdown.closed.cancel();
    let in_flight = (Arc::clone(&callers.in_flight), Arc::clone(&peers.in_flight));
    let drained = async {
        drop(callers.task.await);
        drop(peers.task.await);
    };
    tokio::pin!(drained);
    if timeout_at(respond_by.into(), drained.as_mut())
        .await
        .is_err()
    {
        let (callers, peers) = in_flight;
        warn!(shared.log, "requests in flight at the end of the grace period";
            "callers" => callers.load(Ordering::Relaxed), "peers" => peers.load(Ordering::Relaxed));
        shared.lifetime.end();
        // A node that was suspended or short of processor time has this time as well.
        let response_deadline = drain_deadline.max(Instant::now() + RESPONSE_MARGIN);
        if timeout_at(response_deadline.into(), drained).await.is_err() {
            warn!(
                shared.log,
                "shutdown deadline reached with open connections"
            );
        }
    }
}

/// What the components of a node are built from.
struct Parts {
    settings: NodeSettings,
    shared: Arc<Shared>,
    codec: Arc<dyn Codec>,
    pool: Arc<Pool>,
    /// Store that is read through a node of the failure domain.
    store: Arc<dyn TableStore>,
    suspects: Arc<Suspects>,
}

/// Request handlers of the listeners of a node, and what they share with other components.
struct Handlers {
    outbound: Arc<dyn Handler>,
    inbound: Arc<dyn Handler>,
    reports: Arc<Reports>,
    executor: Arc<Executor>,
    custodian: Arc<Custodian>,
    ledger: Arc<Ledger>,
    /// Records to be published.
    records: watch::Receiver<Option<Record>>,
}

/// Further services of the listener for other nodes.
struct PeerServices {
    feeds: Arc<Feeds>,
    deciders: Deciders,
}

/// What decides for the whole fleet on one of its nodes.
#[derive(Clone)]
struct Deciders {
    meter: Arc<Meter>,
    accountant: Arc<Accountant>,
    coordinator: Arc<Coordinator>,
}

impl Deciders {
    fn new(settings: &NodeSettings, shared: &Arc<Shared>, codec: &Arc<dyn Codec>) -> Self {
        let coordinator = Coordinator::new(
            Arc::clone(shared),
            Arc::clone(codec),
            settings.rollouts.clone(),
        );
        Self {
            meter: Arc::default(),
            accountant: Arc::new(Accountant::new(Arc::clone(shared))),
            coordinator: Arc::new(coordinator),
        }
    }

    /// Starts the tasks that report to the deciding nodes.
    fn start(
        self,
        shared: &Arc<Shared>,
        executor: &Arc<Executor>,
        store: &Arc<dyn TableStore>,
        pool: &Arc<Pool>,
    ) -> [JoinHandle<()>; 2] {
        let reporter = Reporter::new(
            Arc::clone(shared),
            self.meter,
            self.accountant,
            Arc::clone(pool),
        );
        let driver = Driver::new(
            Arc::clone(shared),
            Arc::clone(executor),
            self.coordinator,
            Arc::clone(store),
            Arc::clone(pool),
        );
        [tokio::spawn(reporter.run()), tokio::spawn(driver.run())]
    }
}

/// Creates the store that is read through a node of the failure domain.
fn build_domain_store(
    settings: &NodeSettings,
    shared: &Arc<Shared>,
    store: Arc<dyn TableStore>,
    pool: &Arc<Pool>,
    cache: Arc<Cache>,
) -> Arc<dyn TableStore> {
    let reader_poll_timeout = settings
        .max_apply_time
        .saturating_sub(READER_RULES_POLL_MARGIN)
        .max(MIN_READER_RULES_POLL_TIMEOUT);
    let shared = Arc::clone(shared);
    let pool = Arc::clone(pool);
    let store = DomainStore::new(store, shared, pool, cache, settings.max_apply_time)
        .with_throttle(
            &settings.rules_row.0,
            RULES_BATCH_PAUSE,
            reader_poll_timeout,
        )
        .with_throttle(
            &settings.nodes_table,
            RECORDS_BATCH_PAUSE,
            READER_RECORDS_POLL_TIMEOUT,
        )
        .with_settle_pause(&settings.nodes_table, SETTLE_PAUSE);
    Arc::new(store)
}

impl Parts {
    /// Creates the request handlers and the channel of records to be published.
    fn build_handlers(&self, peer_services: PeerServices) -> Handlers {
        let Self {
            settings,
            shared,
            pool,
            suspects,
            ..
        } = self;
        let deciders = peer_services.deciders;
        let executor = Arc::new(Executor::new(
            shared,
            settings.upstream,
            settings.report_interval,
            Arc::clone(suspects),
            Arc::clone(pool),
        ));
        let dispatcher = Dispatcher::new(
            Arc::clone(shared),
            Arc::clone(&executor),
            Arc::clone(suspects),
            Arc::clone(pool),
        );
        let outbound = Outbound::new(Arc::clone(shared), Arc::new(dispatcher), deciders.meter);
        let custodian = Arc::new(Custodian::new(
            Arc::clone(shared),
            Arc::clone(pool),
            Arc::clone(&self.store),
            settings.nodes_table.clone(),
            settings.listen.advertise,
        ));
        executor.set_believes_reports(false);
        let ledger = Arc::new(Ledger::new(
            Arc::clone(shared),
            Arc::clone(&executor),
            Arc::clone(&custodian),
            Arc::clone(&self.store),
            settings.nodes_table.clone(),
        ));
        let inbound = Inbound::new(
            Arc::clone(shared),
            Arc::clone(&executor),
            Arc::clone(suspects),
            settings.listen.peers.port(),
            deciders.accountant,
            deciders.coordinator,
            Arc::new(Receiver::new(Arc::clone(&ledger), peer_services.feeds)),
        );
        let (records, published) = watch::channel(None);
        // A random number suffices, as it only distinguishes starts of the node; the
        // revisions of the store order its records.
        let incarnation = rand::random::<u32>().into();
        let local_record = LocalRecord::new(
            &settings.locality,
            settings.listen.advertise.to_string(),
            incarnation,
        );
        let reports = Reports::new(
            Arc::clone(shared),
            Arc::clone(&executor),
            Arc::clone(&self.codec),
            local_record,
            records,
        )
        .with_ledger(Arc::clone(&ledger));
        Handlers {
            outbound: Arc::new(outbound),
            inbound: Arc::new(inbound),
            reports: Arc::new(reports),
            executor,
            custodian,
            ledger,
            records: published,
        }
    }

    /// Starts the tasks that watch the tables of the store and publish the local record.
    fn start_store_tasks(
        &self,
        installer: Arc<Installer>,
        ledger: Arc<Ledger>,
        records: watch::Receiver<Option<Record>>,
    ) -> [JoinHandle<()>; 4] {
        let Self {
            settings,
            shared,
            store,
            ..
        } = self;
        let nodes = &settings.nodes_table;
        let log = shared.log.clone();
        let publisher = Publisher::new(Arc::clone(store), nodes.clone(), settings.link_mbps, log);
        let rules_table = settings.rules_row.0.clone();
        let registry = NodeRegistry::new(Arc::clone(shared));
        let listing = registry.listing();
        let archive = Archive::new(
            Arc::clone(shared),
            Arc::clone(&self.suspects),
            Arc::clone(store),
            nodes.clone(),
        );
        let restorations = registry.restorations();
        let departures = Arc::clone(&ledger);
        let inquirer = Arc::clone(&ledger);
        let inquiry_listing = registry.listing();
        [
            tokio::spawn(async move { inquirer.inquire(inquiry_listing).await }),
            tokio::spawn(async move {
                // Otherwise a delayed report could publish an upstream that has left.
                departures.read().await;
                publisher.run(records, restorations).await;
            }),
            tokio::spawn(watch_records(
                registry,
                archive,
                ledger,
                Arc::clone(store),
                nodes.clone(),
                shared.log.clone(),
            )),
            tokio::spawn(watch_rules(
                Arc::clone(shared),
                Arc::clone(store),
                installer,
                Orders::new(
                    Arc::clone(shared),
                    Arc::clone(&self.codec),
                    settings.rollouts.key_prefix.clone(),
                ),
                rules_table,
                listing,
            )),
        ]
    }
}

/// A running server.
struct RunningServer {
    task: JoinHandle<()>,
    /// Number of requests in flight.
    in_flight: Arc<AtomicUsize>,
    /// Number of requests received so far.
    received: Arc<AtomicUsize>,
}

impl RunningServer {
    fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Waits until no request has arrived for [`SHUTDOWN_IDLE_TIME`], or until the deadline.
    ///
    /// Callers keep sending to a stopping node if most nodes of its failure domain stop.
    async fn wait_until_idle(&self, deadline: Instant) {
        loop {
            let received = self.received.load(Ordering::Relaxed);
            let idle_at = Instant::now() + SHUTDOWN_IDLE_TIME;
            if idle_at > deadline {
                return;
            }
            sleep_until(idle_at.into()).await;
            if self.received.load(Ordering::Relaxed) == received {
                return;
            }
        }
    }
}

async fn serve(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    shutdown: &Shutdown,
) -> io::Result<RunningServer> {
    // The traffic rules are not known yet; the defaults apply until the next start.
    let limits = Limits::default();
    let limits = HeaderLimits {
        max_header_bytes: limits.max_head_bytes,
        header_timeout: limits.idle_timeout * 2,
    };
    let server = Server::bind(address, handler, limits).await?;
    let in_flight = server.in_flight();
    let received = server.received();
    let task = tokio::spawn(server.run(shutdown.clone()));
    Ok(RunningServer {
        task,
        in_flight,
        received,
    })
}

fn build_shared(settings: &NodeSettings, log: Logger, stop: CancellationToken) -> Shared {
    Shared {
        locality: settings.locality.clone(),
        service: settings.service.clone(),
        header_names: settings.header_names.clone(),
        retry_allowance: ArcSwap::from_pointee(settings.retry_allowance),
        rules: ArcSwap::from_pointee(Rules::default()),
        has_organisations: AtomicBool::new(settings.has_organisations),
        directory: ArcSwap::from_pointee(Directory::default()),
        rollouts: Rollouts::new(settings.rollouts.allowed_share > 0),
        newest_version: watch::Sender::default(),
        suspicions_changed: Notify::new(),
        stop,
        lifetime: Lifetime::default(),
        log,
    }
}

/// Applies changed settings until the sender of `updates` is dropped.
async fn apply_updates(shared: Arc<Shared>, mut updates: watch::Receiver<NodeSettings>) {
    while updates.changed().await.is_ok() {
        let allowance = updates.borrow_and_update().retry_allowance;
        shared.retry_allowance.store(Arc::new(allowance));
        info!(shared.log, "settings applied"; "retry_percent" => allowance.percent,
            "retry_slack" => allowance.slack);
    }
}

async fn watch_rules(
    shared: Arc<Shared>,
    store: Arc<dyn TableStore>,
    installer: Arc<Installer>,
    orders: Orders,
    table: String,
    listing: watch::Receiver<Listing>,
) {
    wait_for_reader(listing).await;
    let subscription = Subscription {
        table: &table,
        poll_timeout: RULES_POLL_TIMEOUT,
    };
    watch_table(
        &*store,
        subscription,
        Some(&shared),
        &shared.log,
        |update| {
            orders.apply_update(&update, Instant::now());
            installer.apply_update(update);
        },
    )
    .await;
}

/// Waits until it is known whether there is a reader, from which the rules are then read.
///
/// While no node is registered, all nodes start for the first time.
async fn wait_for_reader(mut listing: watch::Receiver<Listing>) {
    let listing_deadline = Instant::now() + MAX_LISTING_WAIT;
    let has_read = listing.wait_for(|listing| *listing != Listing::Unread);
    let is_first_start = timeout_at(listing_deadline.into(), has_read)
        .await
        .is_ok_and(|read| read.is_ok_and(|listing| *listing == Listing::Empty));
    if !is_first_start {
        return;
    }
    let deadline = Instant::now() + MAX_READER_WAIT;
    let has_reader = listing.wait_for(|listing| *listing == Listing::WithReader);
    // Without a reader by the deadline, the rules are read from the store.
    drop(timeout_at(deadline.into(), has_reader).await);
}

async fn watch_records(
    registry: NodeRegistry,
    archive: Archive,
    ledger: Arc<Ledger>,
    store: Arc<dyn TableStore>,
    table: String,
    log: Logger,
) {
    let subscription = Subscription {
        table: &table,
        poll_timeout: RECORDS_POLL_TIMEOUT,
    };
    let restorations = registry.restorations();
    let registry = Mutex::new(registry);
    let watching = watch_table(&*store, subscription, None, &log, |update| {
        let now = Instant::now();
        let update = ledger.apply_update(archive.apply_update(update, now), now);
        lock(&registry).apply_update(update, now);
    });
    tokio::select! {
        () = watching => {}
        () = archive.run() => {}
        () = ledger.run() => {}
        () = remove_missing(&registry, restorations) => {}
    }
}

/// Removes nodes that do not return after a restoration of the store, until the registry is dropped.
async fn remove_missing(
    registry: &Mutex<NodeRegistry>,
    mut restorations: watch::Receiver<Restoration>,
) {
    while restorations.changed().await.is_ok() {
        let mut next = lock(registry).remove_missing(Instant::now());
        while let Some(deadline) = next {
            sleep_until(deadline.into()).await;
            next = lock(registry).remove_missing(Instant::now());
        }
    }
}
