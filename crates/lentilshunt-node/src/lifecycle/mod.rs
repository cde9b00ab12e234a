//! Starts the components of a node and shuts them down gracefully.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use lentilshunt_core::{
    dissemination::{Event, Hybrid, Poller, Strategy},
    membership::LocalRecord,
    quarantine::Suspects,
    routing::Locality,
};
use lentilshunt_net::{
    history::{Writer, new_event, now_us},
    http::{Handler, Pool, Server, Shutdown},
    meter, platform,
};
use lentilshunt_schema::{history::Kind, settings};
use rand::{SeedableRng, rngs::StdRng};
use slog::{Logger, info};
use tokio::{sync::mpsc, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    admin::Admin,
    context::Context,
    control::{Control, Input},
    entry::{Dispatcher, Outbound, QuarantineFilter, RemoteExecutor, policy},
    executor::{Batching, Claimant, HolderClient, LocalExecutor, Sweeper},
    peer::Inbound,
};

/// Time between publishing that the node stops and closing its listener for callers.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(1500);
/// Time for which resolution requests are served after the listener for callers has
/// drained and the last non-idempotent request has ended.
const RESOLUTION_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of events that wait for the control task.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Runs a node until `stop` is cancelled and its calls in flight have ended, or the
/// drain period is over.
///
/// # Errors
///
/// Returns an error when an address is invalid or cannot be bound, or the
/// history file cannot be opened.
pub async fn run(settings: settings::Node, log: Logger, stop: CancellationToken) -> io::Result<()> {
    let metrics = meter::install();
    let maintenance = tokio::spawn(meter::maintain(metrics.clone()));
    let context = Arc::new(build_context(settings, log, stop)?);
    let mut started = new_event(Kind::Started);
    started.detail = Some(context.settings.listen.callers.clone());
    context.history.write(started);
    let (events, inputs) = mpsc::channel(MAX_QUEUED_EVENTS);
    let claimant = start_claimant(&context)?;
    let local = Arc::new(LocalExecutor::new(Arc::clone(&context), Some(claimant)));
    let executor = Arc::clone(&local);
    let remote = Arc::new(RemoteExecutor::new(Arc::clone(&context)));
    let control = build_control(&context, events.clone())?;
    let inbound = Inbound::new(Arc::clone(&context), Arc::clone(&local), events.clone());
    let suspects = Arc::new(Suspects::new(Instant::now()));
    let inbound = QuarantineFilter::new(Arc::clone(&context), Arc::clone(&suspects), inbound);
    let policy = policy(&context.settings.calls);
    let dispatcher = Dispatcher::new(Arc::clone(&context), local, remote, policy, suspects);
    let outbound = Outbound::new(Arc::clone(&context), dispatcher);
    let admin = Admin::new(Arc::clone(&context), metrics);

    let caller_shutdown = Shutdown {
        draining: context.stop.clone(),
        closed: CancellationToken::new(),
    };
    let peer_shutdown = Shutdown {
        draining: context.stop.clone(),
        closed: CancellationToken::new(),
    };
    let listen = &context.settings.listen;
    let callers = serve(&listen.callers, Arc::new(outbound), &caller_shutdown).await?;
    let peers = serve(&listen.peers, Arc::new(inbound), &peer_shutdown).await?;
    let admin = serve(&listen.admin, Arc::new(admin), &peer_shutdown).await?;
    let control_task = tokio::spawn(control.run(inputs));
    info!(context.log, "node started"; "instance" => &context.locality.instance);

    context.stop.cancelled().await;
    info!(context.log, "node stopping");
    context.history.write(new_event(Kind::Stopping));
    // The control task runs until it is aborted below, so sending cannot fail; a
    // full queue only delays the new record.
    drop(events.send(Event::Stopping.into()).await);
    tokio::time::sleep(SHUTDOWN_NOTICE).await;
    caller_shutdown.closed.cancel();
    let drained = async {
        drop(callers.await);
        executor.wait_until_drained().await;
        // A node that lost the connection of an attempt can still fetch its reply.
        tokio::time::sleep(RESOLUTION_GRACE).await;
        peer_shutdown.closed.cancel();
        drop(peers.await);
    };
    let drain = Duration::from_millis(context.settings.calls.drain_ms);
    if tokio::time::timeout(drain, drained).await.is_err() {
        info!(
            context.log,
            "requests still in flight at the end of the drain period"
        );
    }
    control_task.abort();
    maintenance.abort();
    admin.abort();
    context.history.write(new_event(Kind::Stopped));
    Ok(())
}

fn build_context(
    settings: settings::Node,
    log: Logger,
    stop: CancellationToken,
) -> io::Result<Context> {
    let incarnation = now_us();
    let instance = &settings.instance;
    let process = format!("node/{}", instance.name);
    let history = Writer::open(&settings.history.file, &process, incarnation)?;
    let locality = Locality::new(
        instance.name.clone(),
        instance.domain.clone(),
        instance.region.clone(),
    );
    Ok(Context {
        locality,
        incarnation,
        route_table: ArcSwap::default(),
        view: ArcSwap::default(),
        pool: Arc::new(Pool::bound_to(source_ip(&settings)?)),
        stop,
        history,
        log,
        settings,
    })
}

/// Creates the claimant of idempotency keys and starts the sweeper of old claims.
fn start_claimant(context: &Context) -> io::Result<Claimant> {
    let settings = &context.settings;
    let source = source_ip(settings)?;
    let timeout = Duration::from_millis(settings.platform.timeout_ms.get());
    let pool = Pool::bound_to(source);
    let platform = parse_address(&settings.platform.address)?;
    let client = Arc::new(platform::Client::new(platform, timeout).with_pool(pool));
    let sweeper = Sweeper::new(Arc::clone(&client) as Arc<_>, context.incarnation);
    tokio::spawn(sweeper.run());
    let limit = usize::try_from(settings.calls.body_bytes).unwrap_or(usize::MAX);
    Ok(Claimant::start(
        context.locality.instance.clone(),
        advertised_address(settings).to_owned(),
        context.incarnation,
        client,
        Arc::new(HolderClient::new(source, limit)),
        Batching::default(),
    ))
}

/// Returns the address that other nodes use for this one.
fn advertised_address(settings: &settings::Node) -> &str {
    let listen = &settings.listen;
    if listen.advertise.is_empty() {
        &listen.peers
    } else {
        &listen.advertise
    }
}

fn build_control(context: &Arc<Context>, events: mpsc::Sender<Input>) -> io::Result<Control> {
    let settings = &context.settings;
    let address = parse_address(&settings.platform.address)?;
    let timeout = Duration::from_millis(settings.platform.timeout_ms.get());
    let pool = Pool::bound_to(source_ip(settings)?);
    let client = Arc::new(platform::Client::new(address, timeout).with_pool(pool));
    let advertised = advertised_address(settings).to_owned();
    let local_record = LocalRecord::new(&context.locality, advertised, context.incarnation);
    let random = StdRng::seed_from_u64(context.incarnation);
    let now = Instant::now();
    let strategy: Box<dyn Strategy> = match settings.control.strategy {
        settings::ControlStrategy::Hybrid => Box::new(Hybrid::new(
            local_record,
            seed_addresses(settings),
            random,
            now,
        )),
        settings::ControlStrategy::Poll => Box::new(Poller::new(local_record, random, now)),
    };
    let table = Arc::clone(&client);
    Ok(Control::new(
        Arc::clone(context),
        strategy,
        table,
        client,
        events,
    ))
}

/// Returns the seed addresses of other nodes from the settings; malformed ones are ignored.
fn seed_addresses(settings: &settings::Node) -> Vec<SocketAddr> {
    let seeds = settings.peers.seeds.split(',');
    seeds.filter_map(|seed| seed.trim().parse().ok()).collect()
}

async fn serve(
    text: &str,
    handler: Arc<dyn Handler>,
    shutdown: &Shutdown,
) -> io::Result<JoinHandle<()>> {
    let server = Server::bind(parse_address(text)?, handler).await?;
    Ok(tokio::spawn(server.run(shutdown.clone())))
}

/// Returns the source address of connections to other processes.
fn source_ip(settings: &settings::Node) -> io::Result<IpAddr> {
    parse_address(&settings.listen.peers).map(|address| address.ip())
}

fn parse_address(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(io::Error::other)
}
