//! Bounds of a ledger.

/// Most requests and bytes that a [`Ledger`](super::Ledger) keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most requests.
    pub entries: usize,
    /// Most bytes of answers.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            entries: 65_536,
            bytes: 16 * 1024 * 1024,
        }
    }
}
