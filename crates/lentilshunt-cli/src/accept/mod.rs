//! Puts a configuration into the platform and makes it the head.

use lentilshunt_core::config::{self, Acceptance, Head, Snapshot, Step};
use lentilshunt_net::platform::{self, Store, Table};
use snafu::{ResultExt, Snafu};

/// Attempts to settle an acceptance whose reply was lost.
const MAX_ATTEMPTS: usize = 5;

/// Failure to accept a configuration.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The platform cannot be reached; nothing was accepted.
    #[snafu(display("the platform is not available; nothing was accepted"))]
    Unavailable {
        /// Failure of the platform.
        source: platform::Error,
    },
    /// The platform does not tell whether the write took effect.
    #[snafu(display("operation {operation}: the platform did not say whether it was accepted"))]
    Unsettled {
        /// Id of the attempt, to be looked up in the history.
        operation: String,
        /// Failure of the platform.
        source: platform::Error,
    },
    /// Another version was accepted since the base.
    #[snafu(display("conflict: version {} was accepted since version {base}", head.version))]
    Conflict {
        /// Version that the change was based on.
        base: u64,
        /// Version in force.
        head: Head,
    },
    /// The head row cannot be read.
    #[snafu(display("the head cannot be read"))]
    Head {
        /// Error of the decoder.
        source: config::Error,
    },
}

/// Stores a snapshot and accepts it as the version after `base`.
///
/// A lost reply is settled by reading the head and history again: the
/// operation id tells whether the write took effect.
///
/// # Errors
///
/// Returns an error when nothing was accepted, or when the platform does not
/// tell whether it was.
pub async fn accept(
    table: &dyn Table,
    store: &dyn Store,
    snapshot: &Snapshot,
    base: u64,
    operation: String,
) -> Result<Head, Error> {
    let manifest = snapshot.manifest();
    for section in snapshot.sections() {
        let put = store.put(section.digest(), section.content).await;
        put.context(UnavailableSnafu)?;
    }
    let put = store.put(manifest.digest(), manifest.encode()).await;
    put.context(UnavailableSnafu)?;
    let acceptance = Acceptance {
        operation,
        base,
        digest: manifest.digest(),
    };
    settle(table, &acceptance).await
}

async fn settle(table: &dyn Table, acceptance: &Acceptance) -> Result<Head, Error> {
    let mut unsettled = None;
    for _ in 0..MAX_ATTEMPTS {
        let row = match table.read(Head::KEY.to_owned()).await {
            Ok(row) => row,
            Err(error) => {
                unsettled = Some(unsettled.unwrap_or(error));
                continue;
            }
        };
        match acceptance.step(row.as_ref()).context(HeadSnafu)? {
            Step::Accepted(head) => return Ok(head),
            Step::Conflict(head) => return conflict(table, acceptance, head).await,
            Step::Transact(transaction) => match table.transact(transaction).await {
                Ok(outcome) if outcome.committed => return Ok(acceptance.head()),
                Ok(_lost_race) => {}
                Err(error) => unsettled = Some(error),
            },
        }
    }
    match unsettled {
        Some(source) if source.may_have_taken_effect() => {
            let operation = acceptance.operation.clone();
            Err(source).context(UnsettledSnafu { operation })
        }
        Some(source) => Err(source).context(UnavailableSnafu),
        None => ConflictSnafu {
            base: acceptance.base,
            head: Head::default(),
        }
        .fail(),
    }
}

/// Tells a conflict from an own write that was followed by another version.
async fn conflict(table: &dyn Table, acceptance: &Acceptance, head: Head) -> Result<Head, Error> {
    let base = acceptance.base;
    let own = acceptance.head();
    let row = table.read(Head::history_key(own.version)).await;
    let row = row.with_context(|_| UnsettledSnafu {
        operation: acceptance.operation.clone(),
    })?;
    let accepted = row.and_then(|row| Head::decode(&row.value).ok());
    if accepted.as_ref() == Some(&own) {
        return Ok(own);
    }
    ConflictSnafu { base, head }.fail()
}
