//! Actions of an acceptance.

use std::time::Instant;

use lentilshunt_schema::platform::Transaction;

use super::AcceptanceOutcome;
use crate::id::Digest;

/// Next action to carry out for an acceptance.
#[derive(Debug)]
pub enum Action {
    /// Store content; reported with [`Event::Stored`](super::Event::Stored).
    Put {
        /// Hash of the content, under which it is stored.
        digest: Digest,
        /// The content.
        content: Vec<u8>,
    },
    /// Read a row; reported with [`Event::Row`](super::Event::Row).
    Read {
        /// Key of the row.
        key: String,
    },
    /// Apply a transaction; reported with
    /// [`Event::TransactionEnded`](super::Event::TransactionEnded).
    Transact(Transaction),
    /// Wait; reported with [`Event::Timer`](super::Event::Timer).
    Wait {
        /// Instant at which the wait ends.
        until: Instant,
    },
    /// Stop; the acceptance has ended.
    End(AcceptanceOutcome),
}
