//! One node of a fleet.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    dissemination::Strategy,
    id::VersionId,
    membership::{Phase, View},
};

use crate::{NodeSpec, delivery::Delivery};

/// A node and what it has done.
#[derive(Debug)]
pub struct Node {
    /// Where the node stands.
    pub spec: NodeSpec,
    /// Start of the running process; rises with each start.
    pub incarnation: u64,
    /// Versions put in force, and when, over all starts.
    pub installed: Vec<(Instant, VersionId)>,
    /// Versions put in force by the running process.
    pub version: VersionId,
    /// Versions that were refused.
    pub refused: Vec<VersionId>,
    /// View that was published last.
    pub view: Arc<View>,
    /// Phase that the upstream announced last.
    pub phase: Phase,
    /// Processor time of the strategy.
    pub cpu_time: Duration,
    pub(crate) strategy: Option<Box<dyn Strategy>>,
    pub(crate) deferred: Option<Vec<Delivery>>,
    pub(crate) timer_at: Option<Instant>,
}

impl Node {
    pub(crate) fn new(spec: NodeSpec) -> Self {
        Self {
            spec,
            incarnation: 0,
            installed: Vec::new(),
            version: 0,
            refused: Vec::new(),
            view: Arc::default(),
            phase: Phase::Starting,
            cpu_time: Duration::ZERO,
            strategy: None,
            deferred: None,
            timer_at: None,
        }
    }

    /// Returns whether the process runs, paused or not.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.strategy.is_some()
    }
}
