//! What an operator orders, and how it ends.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::ServiceId;

/// An order to move the traffic of a service to another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: String,
    /// Time within which it is to be completed or reverted.
    pub duration: Duration,
}

/// State of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The new version is on trial.
    Active,
    /// The new version gets all requests.
    Completed,
    /// The new version gets none.
    Reverted,
}
