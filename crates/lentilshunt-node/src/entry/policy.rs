//! Selection of the routing policy.

use std::sync::Arc;

use lentilshunt_core::routing::{LocalityAware, Nearest, Policy, RoundRobin};
use lentilshunt_schema::settings::{Calls, CallsPolicy};

/// Creates the routing policy that the settings specify.
#[must_use]
pub fn policy(calls: &Calls) -> Arc<dyn Policy> {
    match calls.policy {
        CallsPolicy::Local => Arc::new(LocalityAware),
        CallsPolicy::Nearest => Arc::new(Nearest),
        CallsPolicy::RoundRobin => Arc::new(RoundRobin::default()),
    }
}
