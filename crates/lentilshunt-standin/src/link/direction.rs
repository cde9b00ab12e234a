//! State of one direction between two failure domains.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lentilshunt_schema::platform::LinkMode;

/// Latency, mode and silenced connections of one direction.
#[derive(Debug)]
pub(super) struct Direction {
    delay_us: AtomicU64,
    mode: Mutex<LinkMode>,
    silent_below_serial: AtomicU64,
}

impl Direction {
    /// Creates an open direction without latency.
    pub(super) fn new() -> Self {
        Self {
            delay_us: AtomicU64::new(0),
            mode: Mutex::new(LinkMode::Open),
            silent_below_serial: AtomicU64::new(0),
        }
    }

    /// Sets latency and mode.
    pub(super) fn set(&self, delay_us: u64, mode: LinkMode) {
        self.delay_us.store(delay_us, Ordering::Relaxed);
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Stops the traffic of every connection with a lower serial number.
    pub(super) fn silence(&self, serial: u64) {
        self.silent_below_serial.store(serial, Ordering::Relaxed);
    }

    pub(super) fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us.load(Ordering::Relaxed))
    }

    pub(super) fn mode(&self) -> LinkMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_silent(&self, serial: u64) -> bool {
        serial < self.silent_below_serial.load(Ordering::Relaxed)
    }
}
