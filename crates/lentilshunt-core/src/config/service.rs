//! One service of the inventory and the rules that concern it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Pattern;
use crate::id::CallerId;

/// A service, who may call it and which of its requests are not idempotent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// Connections that one upstream accepts at a time.
    pub connections: u32,
    /// Callers that may reach the service.
    pub callers: BTreeSet<CallerId>,
    /// Requests that must not run twice, in ascending order and each once.
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
