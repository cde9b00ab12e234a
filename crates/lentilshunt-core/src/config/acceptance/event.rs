//! What happened to an acceptance.

use lentilshunt_schema::platform::Row;

/// Answer to the last [`Action`](super::Action) of an acceptance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The content is stored.
    Stored,
    /// The row as it was read, or none.
    Row(Option<Row>),
    /// The transaction was decided.
    Outcome {
        /// Whether its writes were applied.
        committed: bool,
    },
    /// The request failed or its answer did not arrive in time.
    Failed {
        /// Whether the request may have taken effect, or may do so later.
        may_have_taken_effect: bool,
    },
    /// The instant waited for has come.
    Timer,
}
