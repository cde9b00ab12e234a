//! State of an upstream.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use lentilshunt_net::history::{Writer, new_event};
use lentilshunt_schema::{
    history::Kind,
    peer::{Announcement, Phase},
    settings,
};
use tokio::sync::Semaphore;

use super::load::Load;

/// Factor by which the run time grows while the upstream is cold.
const COLD_RUN_TIME_FACTOR: u32 = 10;
/// Load of an upstream whose slots are all in use, in thousandths.
const FULL_LOAD_PERMILLE: u32 = 1000;

/// State shared by the handler and the announcer of an upstream.
#[derive(Debug)]
pub(super) struct State {
    settings: settings::UpstreamService,
    instance: String,
    address: String,
    incarnation: u64,
    phase: Mutex<Phase>,
    running: AtomicU32,
    load: Mutex<Load>,
    warm_at: Instant,
    /// One permit for each request that may run.
    pub(super) slots: Semaphore,
}

impl State {
    pub(super) fn new(settings: &settings::UpstreamStandIn, incarnation: u64) -> Self {
        let service = settings.upstream.clone();
        let cold = Duration::from_millis(service.cold_ms);
        Self {
            instance: settings.instance.name.clone(),
            address: settings.listen.address.clone(),
            incarnation,
            phase: Mutex::new(Phase::Ready),
            running: AtomicU32::new(0),
            load: Mutex::new(Load::new(Duration::from_millis(service.load_lag_ms))),
            warm_at: Instant::now() + cold,
            slots: Semaphore::new(service.slots.get() as usize),
            settings: service,
        }
    }

    /// Returns an announcement of the current state.
    pub(super) fn announcement(&self) -> Announcement {
        let slots = self.settings.slots.get();
        let running = self.running.load(Ordering::Relaxed).min(slots);
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        let reported = load.report(running * FULL_LOAD_PERMILLE / slots, Instant::now());
        let load = if self.settings.mislead { 0 } else { reported };
        Announcement {
            instance: self.instance.clone(),
            service: self.settings.service.clone(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            phase: self.phase(),
            slots,
            connections: self.settings.connections.get(),
            load,
            healthy: true,
        }
    }

    pub(super) fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the phase and records it in the history.
    pub(super) fn set_phase(&self, phase: Phase, history: &Writer) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
        let mut event = new_event(Kind::Phase);
        event.instance = Some(self.instance.clone());
        event.detail = Some(phase.to_string());
        history.write(event);
    }

    /// Returns the run time of a request that starts now.
    pub(super) fn run_time(&self) -> Duration {
        let run_time = Duration::from_micros(self.settings.run_us);
        if Instant::now() < self.warm_at {
            run_time * COLD_RUN_TIME_FACTOR
        } else {
            run_time
        }
    }

    pub(super) fn begin_run(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end_run(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn service(&self) -> &str {
        &self.settings.service
    }

    pub(super) fn instance(&self) -> &str {
        &self.instance
    }
}
