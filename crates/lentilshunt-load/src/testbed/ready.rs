//! Starts a fleet and waits until it is ready.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use lentilshunt_core::config::Snapshot;
use lentilshunt_net::history::Writer;
use snafu::{ResultExt, ensure};

use super::{
    Error,
    error::{NotAcceptedSnafu, NotReadySnafu, StartSnafu, StopSnafu, StopTimeoutSnafu},
};
use crate::{
    fleet::{AdminClient, Fleet, Layout},
    operator::Operator,
};

/// Maximum time from the start until all nodes are ready.
const START_TIMEOUT: Duration = Duration::from_mins(1);
/// Pause between two attempts to accept the first version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Running fleet in which every node has routes to every server.
#[derive(Debug)]
pub struct Testbed {
    /// Processes of the fleet.
    pub fleet: Fleet,
    /// Operator that accepts versions.
    pub operator: Operator,
    /// Client of the admin addresses.
    pub admin_client: AdminClient,
}

impl Testbed {
    /// Starts the processes of a layout and accepts `snapshot` as the first version.
    ///
    /// `programs` is the folder of the built programs. The content of `folder` is
    /// deleted first; it then holds settings, logs and the history.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start, when the snapshot is not
    /// accepted in time, or when some nodes lack routes to a server after the timeout.
    pub async fn start(
        layout: Layout,
        snapshot: &Snapshot,
        programs: &Path,
        folder: &Path,
        history: Writer,
    ) -> Result<Self, Error> {
        let deadline = Instant::now() + START_TIMEOUT;
        let fleet = Fleet::start(layout, programs, folder).context(StartSnafu)?;
        let operator = Operator::new(fleet.layout.platform_address(), history);
        loop {
            let accepted = operator.accept(snapshot, 0, "scene".to_owned()).await;
            match accepted {
                Ok(_head) => break,
                Err(error) if Instant::now() >= deadline => {
                    return Err(error).context(NotAcceptedSnafu);
                }
                Err(_platform_starting) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        let admin_client = AdminClient::default();
        let unready = admin_client.wait_ready(&fleet.layout, 1, deadline).await;
        let nodes: Vec<String> = unready.into_iter().collect();
        ensure!(nodes.is_empty(), NotReadySnafu { nodes });
        Ok(Self {
            fleet,
            operator,
            admin_client,
        })
    }

    /// Stops every node and upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when a signal cannot be sent or some processes do not stop in time.
    pub fn stop(mut self) -> Result<(), Error> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let stopped = self.fleet.stop(deadline).context(StopSnafu)?;
        ensure!(stopped, StopTimeoutSnafu);
        Ok(())
    }
}
