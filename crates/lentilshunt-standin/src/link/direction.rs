//! The state of one direction between two failure domains.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lentilshunt_schema::platform::LinkMode;

/// Latency, cut and silence of one direction.
#[derive(Debug)]
pub(super) struct Direction {
    delay_us: AtomicU64,
    cut: Mutex<LinkMode>,
    silent_below: AtomicU64,
}

impl Direction {
    /// Creates a direction without latency that is open.
    pub(super) fn new() -> Self {
        Self {
            delay_us: AtomicU64::new(0),
            cut: Mutex::new(LinkMode::Open),
            silent_below: AtomicU64::new(0),
        }
    }

    /// Sets latency and cut.
    pub(super) fn set(&self, delay_us: u64, cut: LinkMode) {
        self.delay_us.store(delay_us, Ordering::Relaxed);
        *self.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
    }

    /// Silences every connection with a lower serial number.
    pub(super) fn silence(&self, serial: u64) {
        self.silent_below.store(serial, Ordering::Relaxed);
    }

    pub(super) fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us.load(Ordering::Relaxed))
    }

    pub(super) fn cut(&self) -> LinkMode {
        *self.cut.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_silent(&self, serial: u64) -> bool {
        serial < self.silent_below.load(Ordering::Relaxed)
    }
}
