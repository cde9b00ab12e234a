//! Set of the requests that completed recently.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use super::Fingerprint;

/// Number of entries; requests with the same index overwrite each other.
const ENTRY_COUNT: usize = 4096;
/// Time for which a completed request does not become a suspect.
const LIFETIME: Duration = Duration::from_mins(1);
/// Bits of an entry that hold the time of the response, in seconds.
const SECOND_BITS: u32 = 24;

/// Fingerprints of requests with a complete response, in a hash table of fixed size.
#[derive(Debug)]
pub(super) struct RecentlyCompleted {
    origin: Instant,
    /// Upper bits of the fingerprint, followed by the seconds since `origin` plus 1;
    /// 0 for an empty entry.
    entries: Box<[AtomicU64]>,
}

impl RecentlyCompleted {
    pub(super) fn new(origin: Instant) -> Self {
        Self {
            origin,
            entries: (0..ENTRY_COUNT).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// Adds a request.
    pub(super) fn insert(&self, request: Fingerprint, now: Instant) {
        let word = fingerprint_bits(request) | self.elapsed_second(now);
        let entry = self.entry(request);
        if entry.load(Ordering::Relaxed) != word {
            entry.store(word, Ordering::Relaxed);
        }
    }

    /// Returns whether a request completed recently.
    pub(super) fn contains(&self, request: Fingerprint, now: Instant) -> bool {
        let word = self.entry(request).load(Ordering::Relaxed);
        let mask = (1 << SECOND_BITS) - 1;
        let second = word & mask;
        let age = self.elapsed_second(now).saturating_sub(second);
        second != 0 && word & !mask == fingerprint_bits(request) && age <= LIFETIME.as_secs()
    }

    fn entry(&self, request: Fingerprint) -> &AtomicU64 {
        let index = usize::try_from(request % ENTRY_COUNT as u128).unwrap_or_default();
        &self.entries[index]
    }

    fn elapsed_second(&self, now: Instant) -> u64 {
        let second = now.saturating_duration_since(self.origin).as_secs() + 1;
        second.min((1 << SECOND_BITS) - 1)
    }
}

/// Returns the upper bits of a fingerprint, with the bits of the time cleared.
fn fingerprint_bits(request: Fingerprint) -> u64 {
    let upper = u64::try_from(request >> u64::BITS).unwrap_or_default();
    upper >> SECOND_BITS << SECOND_BITS
}
