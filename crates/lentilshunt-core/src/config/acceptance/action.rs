//! What an acceptance wants done next.

use std::time::Instant;

use lentilshunt_schema::platform::Transaction;

use super::AcceptanceOutcome;
use crate::id::Digest;

/// The next thing to do for an acceptance.
#[derive(Debug)]
pub enum Action {
    /// Store content; answer with [`Event::Stored`](super::Event::Stored).
    Put {
        /// Hash of the content, under which it is stored.
        digest: Digest,
        /// The content.
        content: Vec<u8>,
    },
    /// Read a row; answer with [`Event::Row`](super::Event::Row).
    Read {
        /// Key of the row.
        key: String,
    },
    /// Apply a transaction; answer with [`Event::Outcome`](super::Event::Outcome).
    Transact(Transaction),
    /// Wait; answer with [`Event::Timer`](super::Event::Timer).
    Wait {
        /// Instant to wait for.
        until: Instant,
    },
    /// Nothing more is to be done.
    End(AcceptanceOutcome),
}
