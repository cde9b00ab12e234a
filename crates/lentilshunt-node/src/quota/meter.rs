//! Admits requests by the quotas of their organisations.

use std::{
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use lentilshunt_core::{organisation::Organisation, quota::Admissions};

use crate::executor::lock;

/// Admits requests by the quotas of their organisations.
#[derive(Debug, Default)]
pub struct Meter(Mutex<Admissions>);

impl Meter {
    /// Returns whether a request of an organisation may pass, and counts it.
    pub fn admit(&self, organisation: &Organisation, node_count: usize) -> bool {
        if organisation.quota.is_none() {
            return true;
        }
        self.lock()
            .admit(organisation, node_count, rand::random(), Instant::now())
    }

    /// Gives back the token of a request that was refused without having been run.
    pub fn refund(&self, organisation: &Organisation) {
        if organisation.quota.is_some() {
            self.lock().refund(&organisation.name);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Admissions> {
        lock(&self.0)
    }
}
