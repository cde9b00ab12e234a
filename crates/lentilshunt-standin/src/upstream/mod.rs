//! Stand-in for an upstream: slots, announcements, drain and crashes.

mod announcer;
mod handler;
mod load;
mod run;
mod server;
mod state;

use std::{io, sync::Arc, time::Duration};

use lentilshunt_net::history::{Writer, new_event, now_us};
use lentilshunt_schema::{history::Kind, peer::Phase, settings};
use tokio_util::sync::CancellationToken;

use self::{announcer::Announcer, handler::Upstream, server::Server, state::State};

/// Time between the start of the drain and closing the listener; announcements report the drain
/// to the node meanwhile.
const DRAIN_NOTICE_TIME: Duration = Duration::from_millis(1500);

/// Runs the upstream until `stop` is cancelled and all requests in flight have ended.
///
/// # Errors
///
/// Returns an error when an address is invalid, or the listener or the history file
/// cannot be opened.
pub async fn run(settings: settings::UpstreamStandIn, stop: CancellationToken) -> io::Result<()> {
    let incarnation = now_us();
    let process = format!("upstream/{}", settings.instance.name);
    let history = Writer::open(&settings.history.file, &process, incarnation)?;
    let state = Arc::new(State::new(&settings, incarnation));
    let handler = Arc::new(Upstream::new(Arc::clone(&state), history.clone()));
    let address = settings.listen.address.parse().map_err(io::Error::other)?;
    let max_connections = settings.upstream.connections.get() as usize;
    let server = Server::bind(address, handler, max_connections).await?;
    let mut started = new_event(Kind::Started);
    started.service = Some(settings.upstream.service.clone());
    history.write(started);
    let announcer = Announcer::new(Arc::clone(&state), &settings)?;
    let announce_task = tokio::spawn(async move { announcer.run().await });
    let closed = CancellationToken::new();
    let serve_task = tokio::spawn(server.run(closed.clone()));
    stop.cancelled().await;
    history.write(new_event(Kind::Stopping));
    state.set_phase(Phase::Draining, &history);
    tokio::time::sleep(DRAIN_NOTICE_TIME).await;
    closed.cancel();
    drop(serve_task.await);
    announce_task.abort();
    history.write(new_event(Kind::Stopped));
    Ok(())
}
