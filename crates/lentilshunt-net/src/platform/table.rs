//! Interface to the transactional table service.

use std::fmt::Debug;

use lentilshunt_schema::platform::{Outcome, Row, Transaction};

use super::Error;
use crate::BoxFuture;

/// The platform's transactional table service.
pub trait Table: Debug + Send + Sync {
    /// Reads one row, if it exists.
    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<Row>, Error>>;

    /// Reads the rows whose keys start with `prefix`, in key order.
    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, Error>>;

    /// Applies a transaction and returns its outcome.
    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, Result<Outcome, Error>>;
}
