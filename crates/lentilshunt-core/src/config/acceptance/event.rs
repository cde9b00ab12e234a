//! Events of an acceptance.

use lentilshunt_schema::platform::Row;

/// Result of the last [`Action`](super::Action) of an acceptance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The content is stored.
    Stored,
    /// The row that was read, or none if it does not exist.
    Row(Option<Row>),
    /// The transaction was committed or rejected.
    TransactionEnded {
        /// Whether its writes were applied.
        committed: bool,
    },
    /// The request failed or its response did not arrive in time.
    Failed {
        /// Whether the request may have taken effect, or may still do so.
        may_have_taken_effect: bool,
    },
    /// The wait has ended.
    Timer,
}
