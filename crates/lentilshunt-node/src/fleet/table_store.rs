//! The border to a store of rows that keeps what must last.

use std::{fmt::Debug, time::Duration};

use bytes::Bytes;
use lentilshunt_net::Pending;
use snafu::Snafu;

/// A row of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row, unique in its table.
    pub key: String,
    /// Content of the row.
    pub value: Bytes,
}

/// All rows of a table at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableSnapshot {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Revision of the store; changes after it are still to be read.
    pub revision: u64,
}

/// A change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// New content, or none for a row that was removed.
    pub value: Option<Bytes>,
}

/// Changes of a table up to a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// Revision of the store; changes after it are still to be read.
    pub revision: u64,
}

/// Failure of a call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The changes since a revision are no longer kept.
    #[snafu(display("the changes since revision {revision} are no longer kept"))]
    Compacted {
        /// Revision that was asked for.
        revision: u64,
    },
    /// The store did not do what was asked, as far as is known.
    #[snafu(display("the store is unavailable: {detail}"))]
    Unavailable {
        /// What happened instead.
        detail: String,
    },
}

/// A store of rows in tables.
pub trait TableStore: Debug + Send + Sync {
    /// Reads all rows of a table.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the store does not answer.
    fn read<'a>(&'a self, table: &'a str) -> Pending<'a, Result<TableSnapshot, Error>>;

    /// Waits for changes of a table after a revision, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Compacted`] when the table has to be read again, and
    /// [`Error::Unavailable`] when the store does not answer.
    fn wait_for_changes<'a>(
        &'a self,
        table: &'a str,
        revision: u64,
        timeout: Duration,
    ) -> Pending<'a, Result<Changes, Error>>;

    /// Writes a row, or removes it when there is no value.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the store does not confirm; the row
    /// may have been written all the same.
    fn write<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        value: Option<Bytes>,
    ) -> Pending<'a, Result<(), Error>>;
}
