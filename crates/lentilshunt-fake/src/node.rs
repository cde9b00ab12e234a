//! A simulated node.

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

/// State and recorded results of a simulated node.
#[derive(Debug)]
pub struct Node {
    /// Locality, addresses and service of the node.
    pub spec: NodeSpec,
    /// Incarnation of the current process; increases with each start.
    pub incarnation: u64,
    /// Installed versions with the instants of their installation, over all incarnations.
    pub installed: Vec<(Instant, VersionId)>,
    /// Version in force in the current process; 0 before the first installation.
    pub version: VersionId,
    /// Versions that the strategy refused.
    pub refused: Vec<VersionId>,
    /// View that the strategy published last.
    pub view: Arc<View>,
    /// Phase that the upstream announced last.
    pub phase: Phase,
    /// CPU time that the strategy has used.
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

    /// Returns whether the process is running, including while it is paused.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.strategy.is_some()
    }
}
