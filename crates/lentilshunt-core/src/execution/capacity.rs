//! Capacity of a ledger.

/// Limits on the memory of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Maximum number of requests.
    pub entries: usize,
    /// Maximum total size of the kept responses, in bytes.
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
