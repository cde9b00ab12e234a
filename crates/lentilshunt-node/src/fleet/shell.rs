//! Starts the parts of a relaying node, and stops them gracefully.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use lentilshunt_core::{
    membership::{Owner, Record},
    quarantine::Suspects,
    traffic::{Limits, Rules},
};
use lentilshunt_net::{http::Stop, meter};
use slog::{Logger, info, warn};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout_at},
};
use tokio_util::sync::CancellationToken;

use super::{
    Book, Cache, Feeds, Health, Installer, Neighbour, Publisher, Relayed, Reports, Rows, Site,
    Translator,
    follow::{Subject, follow},
    metrics::Metrics,
};
use crate::relay::{
    Directory, Dispatcher, Executor, Handler, HeaderLimits, Inbound, Outbound, Pool, Server, Shared,
};

/// Longest wait for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection to another node is kept.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Pause after a version that the store told, in which further ones gather.
const GATHER_RULES: Duration = Duration::from_millis(600);
/// Longest wait of one call for a new version.
///
/// A call that the store forgot in an outage is noticed earlier by the versions of other nodes.
const WAIT_RULES: Duration = Duration::from_secs(8);
/// Pause after changed records that the store told, in which further ones gather.
const GATHER_RECORDS: Duration = Duration::from_millis(700);
/// Longest wait of one call for a version, by a node that others ask.
///
/// Their knowledge is as old as this at most.
const READ_RULES: Duration = Duration::from_millis(800);
/// Longest wait of one call for changed records, by a node that others ask.
///
/// A node that loses the store is noticed by the age of what it tells of the rules.
const READ_RECORDS: Duration = Duration::from_secs(3);
/// Longest wait of one call for changed records.
const WAIT_RECORDS: Duration = Duration::from_secs(15);
/// Time for which a stopping node still runs calls of other nodes.
///
/// A restart of many nodes takes away the less capacity the longer this is; the
/// other nodes hear of the stop before the listener closes.
const SERVICE: Duration = Duration::from_secs(2);
/// Time after which a stopping node closes its listeners.
///
/// Callers leave after two failed checks of readiness, one second apart.
const NOTICE: Duration = Duration::from_millis(2500);
/// Time before the end of the grace period at which a stopping node gives up.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Runs a relaying node until `stop` is cancelled and its requests are answered.
///
/// A later site of `sites` changes the allowance of retries at once; what else
/// it changes applies at the next start.
///
/// # Errors
///
/// Returns an error when an address cannot be listened on.
pub async fn run(
    mut sites: watch::Receiver<Site>,
    rows: Arc<dyn Rows>,
    translator: Arc<dyn Translator>,
    log: Logger,
    stop: CancellationToken,
) -> io::Result<()> {
    let metrics = meter::install();
    let site = sites.borrow_and_update().clone();
    let shared = Arc::new(share(&site, log.clone(), stop.clone()));
    let cache = Arc::new(Cache::default());
    let pool = Arc::new(Pool::new(CONNECT_TIMEOUT, IDLE_TIME));
    let installer = Installer::new(
        Arc::clone(&shared),
        Arc::clone(&translator),
        site.rules_row.1.clone(),
    );
    let installer = Arc::new(installer);
    let feeds = Arc::new(Feeds::new(Arc::clone(&cache), Arc::clone(&installer)));
    let refusing = CancellationToken::new();
    let peering = Peering {
        feeds,
        closing: refusing.clone(),
    };
    let (handlers, records) = handlers(&site, &shared, &translator, peering, &pool);
    let closing = Stop {
        leaving: stop.clone(),
        closed: CancellationToken::new(),
    };
    let open = Stop::default();
    let listen = &site.listen;
    let callers = serve(listen.callers, handlers.entry, &closing).await?;
    let peers = serve(listen.peers, handlers.inbound, &closing).await?;
    let health = Arc::new(Health::new(Arc::clone(&shared)));
    let mut tasks = vec![
        serve(listen.reports, handlers.reports, &open)
            .await?
            .running,
        serve(listen.readiness, health, &open).await?.running,
        serve(listen.metrics, Arc::new(Metrics(metrics)), &open)
            .await?
            .running,
        tokio::spawn(apply(Arc::clone(&shared), sites)),
    ];
    let neighbour = Neighbour::new(
        Arc::clone(&shared),
        Arc::clone(&installer),
        Arc::clone(&pool),
    );
    tasks.push(tokio::spawn(neighbour.run()));
    let relayed = Relayed::new(rows, Arc::clone(&shared), pool, cache, site.apply)
        .with_pace(&site.rules_row.0, GATHER_RULES, READ_RULES)
        .with_pace(&site.nodes_table, GATHER_RECORDS, READ_RECORDS);
    tasks.extend(follow_store(
        &site,
        &shared,
        Arc::new(relayed),
        installer,
        records,
    ));
    info!(log, "node started"; "service" => &site.service, "domain" => &site.place.domain);

    stop.cancelled().await;
    let given_up_at = Instant::now() + site.grace.saturating_sub(GRACE_MARGIN);
    info!(log, "node stopping"; "in_flight" => callers.in_flight() + peers.in_flight());
    sleep(SERVICE).await;
    refusing.cancel();
    sleep(NOTICE.saturating_sub(SERVICE)).await;
    closing.closed.cancel();
    let drained = async {
        drop(callers.running.await);
        drop(peers.running.await);
    };
    if timeout_at(given_up_at.into(), drained).await.is_err() {
        warn!(log, "requests in flight at the end of the grace period");
    }
    for task in tasks {
        task.abort();
    }
    info!(log, "node stopped");
    Ok(())
}

/// What answers at the listeners of a node.
struct Handlers {
    entry: Arc<dyn Handler>,
    inbound: Arc<dyn Handler>,
    reports: Arc<dyn Handler>,
}

/// What the listener for other nodes answers besides calls, and until when it takes them.
struct Peering {
    feeds: Arc<Feeds>,
    closing: CancellationToken,
}

/// Creates the path of a request, and the records that are to be published.
fn handlers(
    site: &Site,
    shared: &Arc<Shared>,
    translator: &Arc<dyn Translator>,
    peering: Peering,
    pool: &Arc<Pool>,
) -> (Handlers, watch::Receiver<Option<Record>>) {
    let suspects = Arc::new(Suspects::new(Instant::now()));
    let executor = Arc::new(Executor::new(
        shared,
        site.upstream,
        site.report_interval,
        Arc::clone(&suspects),
        Arc::clone(pool),
    ));
    let dispatcher = Dispatcher::new(
        Arc::clone(shared),
        Arc::clone(&executor),
        Arc::clone(&suspects),
        Arc::clone(pool),
    );
    let entry = Outbound::new(Arc::clone(shared), Arc::new(dispatcher));
    let inbound = Inbound::new(
        Arc::clone(shared),
        Arc::clone(&executor),
        suspects,
        site.listen.peers.port(),
        peering.feeds,
        peering.closing,
    );
    let (records, published) = watch::channel(None);
    // Only tells starts of a node apart; the store orders its records.
    let incarnation = rand::random::<u32>().into();
    let owner = Owner::new(&site.place, site.listen.advertise.to_string(), incarnation);
    let translator = Arc::clone(translator);
    let reports = Reports::new(Arc::clone(shared), executor, translator, owner, records);
    let handlers = Handlers {
        entry: Arc::new(entry),
        inbound: Arc::new(inbound),
        reports: Arc::new(reports),
    };
    (handlers, published)
}

/// Starts to follow the tables of the store and to publish the own record.
fn follow_store(
    site: &Site,
    shared: &Arc<Shared>,
    rows: Arc<dyn Rows>,
    installer: Arc<Installer>,
    records: watch::Receiver<Option<Record>>,
) -> [JoinHandle<()>; 3] {
    let nodes = &site.nodes_table;
    let log = shared.log.clone();
    let publisher = Publisher::new(Arc::clone(&rows), nodes.clone(), site.link_mbps, log);
    let rules_table = site.rules_row.0.clone();
    [
        tokio::spawn(publisher.run(records)),
        tokio::spawn(follow_records(
            Arc::clone(shared),
            Arc::clone(&rows),
            nodes.clone(),
        )),
        tokio::spawn(follow_rules(
            Arc::clone(shared),
            rows,
            installer,
            rules_table,
        )),
    ]
}

/// A listener with its requests.
struct Running {
    running: JoinHandle<()>,
    in_flight: Arc<AtomicUsize>,
}

impl Running {
    fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

async fn serve(address: SocketAddr, handler: Arc<dyn Handler>, stop: &Stop) -> io::Result<Running> {
    // A change of the limits applies at the next start.
    let limits = Limits::default();
    let limits = HeaderLimits {
        max_header_bytes: limits.head_bytes,
        header_timeout: limits.idle * 2,
    };
    let server = Server::bind(address, handler, limits).await?;
    let in_flight = server.in_flight();
    let running = tokio::spawn(server.run(stop.clone()));
    Ok(Running { running, in_flight })
}

fn share(site: &Site, log: Logger, stop: CancellationToken) -> Shared {
    Shared {
        locality: site.place.clone(),
        service: site.service.clone(),
        header_names: site.header_names.clone(),
        retry_allowance: ArcSwap::from_pointee(site.allowance),
        rules: ArcSwap::from_pointee(Rules::default()),
        directory: ArcSwap::from_pointee(Directory::default()),
        newest_version: watch::Sender::default(),
        stop,
        log,
    }
}

/// Applies changes of the settings until no more can come.
async fn apply(shared: Arc<Shared>, mut sites: watch::Receiver<Site>) {
    while sites.changed().await.is_ok() {
        let allowance = sites.borrow_and_update().allowance;
        shared.retry_allowance.store(Arc::new(allowance));
        info!(shared.log, "settings applied"; "retry_percent" => allowance.percent,
            "retry_slack" => allowance.slack);
    }
}

async fn follow_rules(
    shared: Arc<Shared>,
    rows: Arc<dyn Rows>,
    installer: Arc<Installer>,
    table: String,
) {
    let subject = Subject {
        table: &table,
        wait: WAIT_RULES,
    };
    follow(&*rows, subject, Some(&shared), &shared.log, |news| {
        installer.take(news);
    })
    .await;
}

async fn follow_records(shared: Arc<Shared>, rows: Arc<dyn Rows>, table: String) {
    let mut book = Book::new(Arc::clone(&shared));
    let subject = Subject {
        table: &table,
        wait: WAIT_RECORDS,
    };
    follow(&*rows, subject, None, &shared.log, |news| book.take(news)).await;
}
