//! Stores a configuration on the platform and makes it the head.

mod conflict;
mod error;

use std::time::{Duration, Instant};

use lentilshunt_core::{
    config::{
        Head, Snapshot,
        acceptance::{Acceptance, AcceptanceOutcome, Action, Event, Proposal},
    },
    id::{OperationId, VersionId},
};
use lentilshunt_net::platform::{self, Store, Table};
use rand::{SeedableRng, rngs::StdRng};
use snafu::ResultExt;

pub use conflict::{Conflict, Revision};
pub use error::Error;

use self::error::{HeadSnafu, InvalidSnafu};
use crate::version::Reader;

/// Maximum time for which [`accept`] tries to determine the outcome of its proposal.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Validates and stores a snapshot and accepts it as the version after `base`.
///
/// When a response is lost, the head and the history are read again: the operation
/// id in them shows whether the write took effect. An earlier attempt with an
/// unknown outcome is settled by calling this again with the same operation id.
///
/// # Errors
///
/// Returns an error when nothing was accepted, or when it could not be determined
/// whether the version was accepted.
pub async fn accept(
    table: &dyn Table,
    store: &dyn Store,
    snapshot: &Snapshot,
    base: VersionId,
    operation: OperationId,
) -> Result<Head, Error> {
    let expires_at = Instant::now() + TIMEOUT;
    accept_until(table, store, snapshot, base, operation, expires_at).await
}

/// Does the same as [`accept`], but fails at the first platform error after `expires_at`.
///
/// # Errors
///
/// Returns the same errors as [`accept`].
pub async fn accept_until(
    table: &dyn Table,
    store: &dyn Store,
    snapshot: &Snapshot,
    base: VersionId,
    operation: OperationId,
    expires_at: Instant,
) -> Result<Head, Error> {
    snapshot.validate().context(InvalidSnafu)?;
    let manifest = snapshot.manifest();
    let sections = snapshot.sections().into_iter();
    let mut objects = vec![manifest.encode()];
    objects.extend(sections.map(|section| section.content));
    let proposal = Proposal {
        operation,
        base,
        digest: manifest.digest(),
    };
    propose(table, store, proposal, objects, expires_at).await
}

/// Stores objects and accepts a proposal that refers to them.
///
/// # Errors
///
/// Returns the same errors as [`accept`].
pub async fn propose(
    table: &dyn Table,
    store: &dyn Store,
    proposal: Proposal,
    objects: Vec<Vec<u8>>,
    expires_at: Instant,
) -> Result<Head, Error> {
    let (base, operation) = (proposal.base, proposal.operation.clone());
    let random = StdRng::seed_from_u64(rand::random());
    let now = Instant::now();
    let (mut machine, mut action) = Acceptance::start(proposal, objects, expires_at, random, now);
    let mut failure = None;
    loop {
        let event = match perform(table, store, action).await {
            Progress::Event(event) => event,
            Progress::Failed(error) => {
                let may_have_taken_effect = error.may_have_taken_effect();
                failure = Some(error);
                Event::Failed {
                    may_have_taken_effect,
                }
            }
            Progress::Ended(ending) => {
                return match ending {
                    AcceptanceOutcome::Accepted(head) => Ok(head),
                    AcceptanceOutcome::Conflict { newest } => {
                        let reader = Reader::new(table, store);
                        let conflict = Box::new(Conflict::read(reader, base, newest).await);
                        Err(Error::Conflict { conflict })
                    }
                    AcceptanceOutcome::Unavailable => Err(Error::Unavailable { source: failure }),
                    AcceptanceOutcome::Unsettled => Err(Error::Unsettled {
                        operation,
                        source: failure,
                    }),
                    AcceptanceOutcome::Unreadable(error) => Err(error).context(HeadSnafu),
                };
            }
        };
        action = machine.handle(Instant::now(), &event);
    }
}

/// Result of an action.
enum Progress {
    Event(Event),
    Failed(platform::Error),
    Ended(AcceptanceOutcome),
}

/// Performs one action of the acceptance on the platform.
async fn perform(table: &dyn Table, store: &dyn Store, action: Action) -> Progress {
    let event = match action {
        Action::Put { digest, content } => {
            let put = store.put(digest, content).await;
            put.map(|()| Event::Stored)
        }
        Action::Read { key } => table.read(key).await.map(Event::Row),
        Action::Transact(transaction) => {
            let outcome = table.transact(transaction).await;
            outcome.map(|outcome| Event::TransactionEnded {
                committed: outcome.committed,
            })
        }
        Action::Wait { until } => {
            tokio::time::sleep_until(until.into()).await;
            Ok(Event::Timer)
        }
        Action::End(ending) => return Progress::Ended(ending),
    };
    event.map_or_else(Progress::Failed, Progress::Event)
}
