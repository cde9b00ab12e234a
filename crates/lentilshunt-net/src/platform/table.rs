//! The border to the transactional table service.

use std::fmt::Debug;

use lentilshunt_schema::platform::{Outcome, Row, Transaction};

use super::Error;
use crate::Pending;

/// The platform's transactional table service.
pub trait Table: Debug + Send + Sync {
    /// Reads one row.
    fn read(&self, key: String) -> Pending<'_, Result<Option<Row>, Error>>;

    /// Reads the rows whose keys start with a prefix, in key order.
    fn scan(&self, prefix: String) -> Pending<'_, Result<Vec<Row>, Error>>;

    /// Applies a transaction.
    fn transact(&self, transaction: Transaction) -> Pending<'_, Result<Outcome, Error>>;
}
