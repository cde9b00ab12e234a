//! Accepts versions as an operator does, and records it.

use std::{net::SocketAddr, time::Duration};

use lentilshunt_cli::accept::{self, accept};
use lentilshunt_core::config::{Head, Snapshot};
use lentilshunt_net::{
    history::{Writer, new_event},
    platform::{Client, Table},
};
use lentilshunt_schema::history::{Event, Kind};

/// Longest wait for one request to the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Start of the keys under which accepted versions are kept.
const HISTORY_PREFIX: &str = "history/";

/// An operator at the platform.
#[derive(Debug)]
pub struct Operator {
    client: Client,
    history: Writer,
}

impl Operator {
    /// Creates an operator whose actions are recorded in `history`.
    #[must_use]
    pub fn new(platform: SocketAddr, history: Writer) -> Self {
        Self {
            client: Client::new(platform, REQUEST_TIMEOUT),
            history,
        }
    }

    /// Returns the head in force; none when the platform does not tell.
    pub async fn read_head(&self) -> Option<Head> {
        let row = self.client.read(Head::KEY.to_owned()).await.ok()?;
        row.map_or_else(
            || Some(Head::default()),
            |row| Head::decode(&row.value).ok(),
        )
    }

    /// Accepts a snapshot as the version after `base`.
    ///
    /// # Errors
    ///
    /// Returns an error when it was not accepted or nobody can tell.
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
        let mut ended = operation_event(kind, &operation, snapshot);
        match &result {
            Ok(head) => {
                ended.version = Some(head.version);
                ended.digest = Some(head.digest.clone());
            }
            Err(error) => ended.detail = Some(error.to_string()),
        }
        self.history.write(ended);
        result
    }

    /// Records every accepted version that the platform tells of.
    ///
    /// An operator who was not told of an acceptance leaves it unrecorded; the
    /// rows of the table name it with its operation. Returns whether the
    /// platform answered.
    pub async fn record_missing_acceptances(&self, events: &[Event]) -> bool {
        let Ok(rows) = self.client.scan(HISTORY_PREFIX.to_owned()).await else {
            return false;
        };
        for head in rows.iter().filter_map(|row| Head::decode(&row.value).ok()) {
            let is_known = events
                .iter()
                .any(|event| event.kind == Kind::Accepted && event.version == Some(head.version));
            if is_known {
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
