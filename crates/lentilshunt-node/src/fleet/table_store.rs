//! The interface to a durable store of tables.

use std::{fmt::Debug, time::Duration};

use bytes::Bytes;
use lentilshunt_net::BoxFuture;
use snafu::Snafu;

/// A row of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row, unique in its table.
    pub key: String,
    /// Content of the row.
    pub value: Bytes,
}

/// Content of a row with the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowAt {
    /// Content of the row.
    pub value: Bytes,
    /// Revision of the last change of the row.
    pub revision: u64,
}

/// All rows of a table at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableSnapshot {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Revision of the store at the read, to be passed to the next
    /// [`wait_for_changes`](TableStore::wait_for_changes).
    ///
    /// An encoded [`Revision`](lentilshunt_core::dissemination::Revision).
    pub revision: u64,
}

/// A change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// New content, or none for a removed row.
    pub value: Option<Bytes>,
}

/// Changes of a table up to a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// Revision up to which changes are included, to be passed to the next
    /// [`wait_for_changes`](TableStore::wait_for_changes).
    pub revision: u64,
}

/// Failure of a call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The store no longer keeps the changes since a revision.
    #[snafu(display("the changes since revision {revision} are no longer kept"))]
    Compacted {
        /// Requested revision.
        revision: u64,
    },
    /// The store has come back from an older copy since a revision.
    #[snafu(display("the store has been restored since revision {revision}"))]
    Restored {
        /// Requested revision.
        revision: u64,
    },
    /// The row has been changed since it was read.
    #[snafu(display("the row has been changed since it was read"))]
    Conflict,
    /// The request failed, or its result is unknown.
    #[snafu(display("request to the store failed: {detail}"))]
    Unavailable {
        /// Description of the failure.
        detail: String,
    },
}

/// A store of tables, which consist of rows.
pub trait TableStore: Debug + Send + Sync {
    /// Reads all rows of a table.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the store does not respond.
    fn read<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, Error>>;

    /// Waits for changes of a table after a revision, for at most `timeout` (long polling).
    ///
    /// # Errors
    ///
    /// Returns [`Error::Compacted`] or [`Error::Restored`] when the table has to be read again, and
    /// [`Error::Unavailable`] when the store does not respond.
    fn wait_for_changes<'a>(
        &'a self,
        table: &'a str,
        revision: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Changes, Error>>;

    /// Writes a row, or removes it when there is no value.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the store does not confirm the write; the row
    /// may have been written nevertheless.
    fn write<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        value: Option<Bytes>,
    ) -> BoxFuture<'a, Result<(), Error>>;

    /// Reads one row; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the store does not respond.
    fn read_row<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<RowAt>, Error>>;

    /// Writes a row whose last change has the given revision; 0 means that it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] when the row has another revision, and [`Error::Unavailable`]
    /// when the store does not confirm the write; the row may have been written nevertheless.
    fn write_row_if<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        revision: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<(), Error>>;
}
