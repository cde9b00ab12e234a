//! Position in the changes of a store.

/// Number of bits of the number of a change.
const NUMBER_BITS: u32 = 48;
/// Highest number of a change.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// A position in the changes of a store, ordered as the changes were made.
///
/// A store that comes back from an older copy gives out the numbers of lost changes again. The
/// count of its restorations tells them apart, so that a later position is always higher.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision {
    /// Number of times that the store has come back from an older copy.
    pub restorations: u16,
    /// Number of the newest change since then, or of the copy; below 2^48.
    pub number: u64,
}

impl Revision {
    /// Returns whether another position belongs to an earlier history of the store.
    ///
    /// Changes since that position cannot be told, as the newest of them may have been lost.
    #[must_use]
    pub fn is_restored_since(self, earlier: Self) -> bool {
        self.restorations > earlier.restorations
    }
}

impl From<u64> for Revision {
    fn from(bits: u64) -> Self {
        Self {
            restorations: u16::try_from(bits >> NUMBER_BITS).unwrap_or(u16::MAX),
            number: bits & MAX_NUMBER,
        }
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> Self {
        (Self::from(revision.restorations) << NUMBER_BITS) | revision.number.min(MAX_NUMBER)
    }
}
