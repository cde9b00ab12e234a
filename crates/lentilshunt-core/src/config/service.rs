//! Service of the inventory, with its rules.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Pattern;
use crate::id::CallerId;

/// Limits, allowed callers and non-idempotent requests of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Maximum number of requests that one upstream runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that one upstream accepts concurrently.
    pub connections: u32,
    /// Callers that may call the service.
    pub callers: BTreeSet<CallerId>,
    /// Requests that must not run twice, sorted and without duplicates.
    pub non_idempotent: Vec<Pattern>,
}

impl Service {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self
            .non_idempotent
            .iter()
            .any(|pattern| pattern.matches(method, path))
    }
}
