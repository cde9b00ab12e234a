//! Whose request it is.

use std::sync::Arc;

use super::Organisation;

/// Whose request it is, as far as its key tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Identity {
    /// The organisation holds the key.
    Known(Arc<Organisation>),
    /// No organisation holds the key, or there is none.
    Unknown,
    /// The key may belong to an organisation that this node cannot apply.
    Undecidable,
}
