//! Accepts configuration versions and records the outcomes.

use std::{net::SocketAddr, time::Duration};

use lentilshunt_cli::accept::{self, accept};
use lentilshunt_core::config::{Head, Snapshot};
use lentilshunt_net::{
    history::{Writer, new_event},
    platform::{Client, Table},
};
use lentilshunt_schema::history::{Event, Kind};

/// Timeout of one request to the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Prefix of the keys under which the platform stores accepted versions.
const HISTORY_PREFIX: &str = "history/";

/// Operator that accepts versions at the platform.
#[derive(Debug)]
pub struct Operator {
    client: Client,
    history: Writer,
}

impl Operator {
    /// Creates an operator that records its operations in `history`.
    #[must_use]
    pub fn new(platform: SocketAddr, history: Writer) -> Self {
        Self {
            client: Client::new(platform, REQUEST_TIMEOUT),
            history,
        }
    }

    /// Reads the current head; `None` when the platform is unreachable or the head is invalid.
    pub async fn read_head(&self) -> Option<Head> {
        let row = self.client.read(Head::KEY.to_owned()).await.ok()?;
        row.map_or_else(
            || Some(Head::default()),
            |row| Head::decode(&row.value).ok(),
        )
    }

    /// Accepts a snapshot as the version after `base` and records the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error when the snapshot was not accepted, or when that is unknown.
    pub async fn accept(
        &self,
        snapshot: &Snapshot,
        base: u64,
        operation: String,
    ) -> Result<Head, accept::Error> {
        let mut offered = operation_event(Kind::Offered, &operation, snapshot);
        offered.base = Some(base);
        offered.digest = Some(snapshot.manifest().digest());
        self.history.write(offered);
        let result = accept(
            &self.client,
            &self.client,
            snapshot,
            base,
            operation.clone(),
        )
        .await;
        let kind = match &result {
            Ok(_) => Kind::Accepted,
            Err(accept::Error::Unsettled { .. }) => Kind::Unsettled,
            Err(_) => Kind::Conflicted,
        };
        let mut outcome = operation_event(kind, &operation, snapshot);
        match &result {
            Ok(head) => {
                outcome.version = Some(head.version);
                outcome.digest = Some(head.digest.clone());
            }
            Err(error) => outcome.detail = Some(error.to_string()),
        }
        self.history.write(outcome);
        result
    }

    /// Records the accepted versions that are in the platform's table but not in `events`.
    ///
    /// An acceptance stays unrecorded when its operator got no response; the row of
    /// the version contains the operation. Returns whether the platform responded.
    pub async fn record_missing_acceptances(&self, events: &[Event]) -> bool {
        let Ok(rows) = self.client.scan(HISTORY_PREFIX.to_owned()).await else {
            return false;
        };
        for head in rows.iter().filter_map(|row| Head::decode(&row.value).ok()) {
            let is_recorded = events
                .iter()
                .any(|event| event.kind == Kind::Accepted && event.version == Some(head.version));
            if is_recorded {
                continue;
            }
            let offered = events.iter().find(|event| {
                event.kind == Kind::Offered && event.request.as_ref() == Some(&head.operation)
            });
            let mut accepted = new_event(Kind::Accepted);
            accepted.request = Some(head.operation);
            accepted.version = Some(head.version);
            accepted.digest = Some(head.digest);
            accepted.routes = offered.and_then(|offered| offered.routes.clone());
            self.history.write(accepted);
        }
        true
    }
}

fn operation_event(kind: Kind, operation: &str, snapshot: &Snapshot) -> Event {
    let mut event = new_event(kind);
    event.request = Some(operation.to_owned());
    let services = snapshot.services.keys();
    event.routes = Some(services.map(|name| (name.clone(), Vec::new())).collect());
    event
}
