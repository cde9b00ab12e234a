//! Bounds of a ledger.

/// Most requests and bytes that a [`Ledger`](super::Ledger) keeps.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Most requests.
    pub entries: usize,
    /// Most bytes of answers.
    pub response_bytes: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            entries: 65_536,
            response_bytes: 16 * 1024 * 1024,
        }
    }
}
