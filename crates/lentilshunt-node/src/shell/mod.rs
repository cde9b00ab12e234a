//! Starts the parts of a node, and stops them gracefully.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use lentilshunt_core::{
    dissemination::{Event, Hybrid, Poll, Strategy},
    membership::Owner,
    quarantine::Suspects,
    routing::Place,
};
use lentilshunt_net::{
    history::{Writer, event, now_us},
    http::{Handler, Pool, Server, Stop},
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
    entry::{Dispatcher, Guard, Outbound, RemoteExecutor, policy},
    executor::{Batching, Claimant, HolderClient, LocalExecutor, Sweeper},
    peer::Peer,
};

/// Time between publishing that the node stops and closing its listeners.
const NOTICE: Duration = Duration::from_millis(1500);
/// Time for which questions are answered after the last request has ended.
const LINGER: Duration = Duration::from_secs(1);
/// Events that wait for the control task.
const QUEUE_EVENTS: usize = 1024;

/// Runs a node until `stop` is cancelled and its calls in flight have ended.
///
/// # Errors
///
/// Returns an error when an address cannot be listened on or the history file
/// cannot be opened.
pub async fn run(settings: settings::Node, log: Logger, stop: CancellationToken) -> io::Result<()> {
    let metrics = meter::install();
    let context = Arc::new(context(settings, log, stop)?);
    let mut started = event(Kind::Started);
    started.detail = Some(context.settings.listen.callers.clone());
    context.history.write(started);
    let (events, received) = mpsc::channel(QUEUE_EVENTS);
    let claimant = claimant(&context)?;
    let local = Arc::new(LocalExecutor::new(Arc::clone(&context), Some(claimant)));
    let running = Arc::clone(&local);
    let remote = Arc::new(RemoteExecutor::new(Arc::clone(&context)));
    let control = control(&context, events.clone())?;
    let peer = Peer::new(Arc::clone(&context), Arc::clone(&local), events.clone());
    let suspects = Arc::new(Suspects::new(Instant::now()));
    let peer = Guard::new(Arc::clone(&context), Arc::clone(&suspects), peer);
    let policy = policy(&context.settings.calls);
    let dispatcher = Dispatcher::new(Arc::clone(&context), local, remote, policy, suspects);
    let outbound = Outbound::new(Arc::clone(&context), dispatcher);
    let admin = Admin::new(Arc::clone(&context), metrics);

    let to_callers = Stop {
        leaving: context.stop.clone(),
        closed: CancellationToken::new(),
    };
    let to_peers = Stop {
        leaving: context.stop.clone(),
        closed: CancellationToken::new(),
    };
    let listen = &context.settings.listen;
    let callers = serve(&listen.callers, Arc::new(outbound), &to_callers).await?;
    let peers = serve(&listen.peers, Arc::new(peer), &to_peers).await?;
    let admin = serve(&listen.admin, Arc::new(admin), &to_peers).await?;
    let controlling = tokio::spawn(control.run(received));
    info!(context.log, "the node runs"; "instance" => &context.place.instance);

    context.stop.cancelled().await;
    info!(context.log, "the node stops");
    context.history.write(event(Kind::Stopping));
    // The control task ends with the runtime; a full queue only delays the record.
    drop(events.send(Event::Stopping.into()).await);
    tokio::time::sleep(NOTICE).await;
    to_callers.closed.cancel();
    let drained = async {
        drop(callers.await);
        running.drained().await;
        // Nodes that lost sight of an attempt still find its answer.
        tokio::time::sleep(LINGER).await;
        to_peers.closed.cancel();
        drop(peers.await);
    };
    let drain = Duration::from_millis(context.settings.calls.drain_ms);
    if tokio::time::timeout(drain, drained).await.is_err() {
        info!(
            context.log,
            "calls were still in flight at the end of the drain"
        );
    }
    controlling.abort();
    admin.abort();
    context.history.write(event(Kind::Stopped));
    Ok(())
}

fn context(settings: settings::Node, log: Logger, stop: CancellationToken) -> io::Result<Context> {
    let incarnation = now_us();
    let instance = &settings.instance;
    let process = format!("node/{}", instance.name);
    let history = Writer::open(&settings.history.file, &process, incarnation)?;
    let place = Place::new(
        instance.name.clone(),
        instance.domain.clone(),
        instance.region.clone(),
    );
    Ok(Context {
        place,
        incarnation,
        routes: ArcSwap::default(),
        members: ArcSwap::default(),
        pool: Arc::new(Pool::from_source(own_ip(&settings)?)),
        stop,
        history,
        log,
        settings,
    })
}

/// Creates the claimant of idempotency keys.
fn claimant(context: &Context) -> io::Result<Claimant> {
    let settings = &context.settings;
    let source = own_ip(settings)?;
    let timeout = Duration::from_millis(settings.platform.timeout_ms.get());
    let pool = Pool::from_source(source);
    let platform = address(&settings.platform.address)?;
    let client = Arc::new(platform::Client::new(platform, timeout).with_pool(pool));
    let sweeper = Sweeper::new(Arc::clone(&client) as Arc<_>, context.incarnation);
    tokio::spawn(sweeper.run());
    let limit = usize::try_from(settings.calls.body_bytes).unwrap_or(usize::MAX);
    Ok(Claimant::start(
        context.place.instance.clone(),
        advertised(settings).to_owned(),
        context.incarnation,
        client,
        Arc::new(HolderClient::new(source, limit)),
        Batching::default(),
    ))
}

/// Returns the address at which other nodes reach this one.
fn advertised(settings: &settings::Node) -> &str {
    let listen = &settings.listen;
    if listen.advertise.is_empty() {
        &listen.peers
    } else {
        &listen.advertise
    }
}

fn control(context: &Arc<Context>, events: mpsc::Sender<Input>) -> io::Result<Control> {
    let settings = &context.settings;
    let address = address(&settings.platform.address)?;
    let timeout = Duration::from_millis(settings.platform.timeout_ms.get());
    let pool = Pool::from_source(own_ip(settings)?);
    let client = Arc::new(platform::Client::new(address, timeout).with_pool(pool));
    let advertised = advertised(settings).to_owned();
    let owner = Owner::new(&context.place, advertised, context.incarnation);
    let random = StdRng::seed_from_u64(context.incarnation);
    let now = Instant::now();
    let strategy: Box<dyn Strategy> = match settings.control.strategy {
        settings::ControlStrategy::Hybrid => {
            Box::new(Hybrid::new(owner, seeds(settings), random, now))
        }
        settings::ControlStrategy::Poll => Box::new(Poll::new(owner, random, now)),
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

/// Returns the peer addresses that are known at start.
fn seeds(settings: &settings::Node) -> Vec<SocketAddr> {
    let seeds = settings.peers.seeds.split(',');
    seeds.filter_map(|seed| seed.trim().parse().ok()).collect()
}

async fn serve(text: &str, handler: Arc<dyn Handler>, stop: &Stop) -> io::Result<JoinHandle<()>> {
    let server = Server::bind(address(text)?, handler).await?;
    Ok(tokio::spawn(server.run(stop.clone())))
}

/// Returns the address that connections to other processes come from.
fn own_ip(settings: &settings::Node) -> io::Result<IpAddr> {
    address(&settings.listen.peers).map(|address| address.ip())
}

fn address(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(io::Error::other)
}
