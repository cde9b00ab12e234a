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

/// Time between telling the node of the drain and closing the listener.
const DRAIN_NOTICE: Duration = Duration::from_millis(1500);

/// Runs the upstream until `stop` is cancelled and its requests have ended.
///
/// # Errors
///
/// Returns the error of the socket or of the history file.
pub async fn run(settings: settings::UpstreamStandIn, stop: CancellationToken) -> io::Result<()> {
    let incarnation = now_us();
    let process = format!("upstream/{}", settings.instance.name);
    let history = Writer::open(&settings.history.file, &process, incarnation)?;
    let state = Arc::new(State::new(&settings, incarnation));
    let handler = Arc::new(Upstream::new(Arc::clone(&state), history.clone()));
    let address = settings.listen.address.parse().map_err(io::Error::other)?;
    let connections = settings.upstream.connections.get() as usize;
    let server = Server::bind(address, handler, connections).await?;
    let mut started = new_event(Kind::Started);
    started.service = Some(settings.upstream.service.clone());
    history.write(started);
    let announcer = Announcer::new(Arc::clone(&state), &settings)?;
    let announcing = tokio::spawn(async move { announcer.run().await });
    let closed = CancellationToken::new();
    let serving = tokio::spawn(server.run(closed.clone()));
    stop.cancelled().await;
    history.write(new_event(Kind::Stopping));
    state.set_phase(Phase::Draining, &history);
    tokio::time::sleep(DRAIN_NOTICE).await;
    closed.cancel();
    drop(serving.await);
    announcing.abort();
    history.write(new_event(Kind::Stopped));
    Ok(())
}
