//! What can go wrong in a run, and what is planned to stop.

use std::time::Duration;

use derive_more::Display;
use lentilshunt_core::id::{DomainId, InstanceId};

/// One disturbance of a fleet.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Disruption {
    /// A node and its upstream are killed; the instance may come back elsewhere.
    #[display("kill instance {instance} (moved: {moved})")]
    KillInstance {
        /// Instance that is killed.
        instance: InstanceId,
        /// Whether it comes back at another address.
        moved: bool,
    },
    /// A node is killed.
    #[display("kill node {_0}")]
    KillNode(InstanceId),
    /// An upstream is killed.
    #[display("kill upstream {_0}")]
    KillUpstream(InstanceId),
    /// All nodes of a failure domain are killed at once.
    #[display("kill herd {_0}")]
    KillDomain(DomainId),
    /// A node is paused.
    #[display("freeze node {_0}")]
    PauseNode(InstanceId),
    /// An upstream is paused.
    #[display("freeze upstream {_0}")]
    PauseUpstream(InstanceId),
    /// Bytes are held in one direction, or in both.
    #[display("blackhole {from} -> {to} (both: {both})")]
    Blackhole {
        /// Failure domain that bytes come from.
        from: DomainId,
        /// Failure domain that bytes go to.
        to: DomainId,
        /// Whether the way back is cut too.
        both: bool,
    },
    /// Connections between two failure domains are closed.
    #[display("refuse {_0} -> {_1}")]
    Refuse(DomainId, DomainId),
    /// Latency rises in one direction.
    #[display("slow {_0} -> {_1}")]
    Slow(DomainId, DomainId),
    /// Open connections carry nothing more in one direction.
    #[display("silence {_0} -> {_1}")]
    Silence(DomainId, DomainId),
    /// The platform refuses everything.
    #[display("platform down")]
    PlatformDown,
    /// The object store refuses everything.
    #[display("objects down")]
    ObjectsDown,
    /// The platform is slow by so many milliseconds.
    #[display("platform slow by {_0} ms")]
    PlatformSlow(u64),
    /// The next writes take effect without a reply.
    #[display("platform loses {_0} replies")]
    LoseReplies(u64),
    /// The next writes are lost.
    #[display("platform loses {_0} requests")]
    LoseRequests(u64),
    /// A caller sends a request that crashes each upstream that runs it.
    #[display("crashing request (idempotent: {idempotent})")]
    CrashingRequest {
        /// Whether the request is idempotent.
        idempotent: bool,
    },
    /// A node is stopped gracefully and started again.
    #[display("stop node {_0}")]
    StopNode(InstanceId),
    /// An upstream is stopped gracefully and started again.
    #[display("stop upstream {_0}")]
    StopUpstream(InstanceId),
    /// An upstream drains without a stop and comes back.
    #[display("drain upstream {_0}")]
    Drain(InstanceId),
}

impl Disruption {
    /// Returns whether the disturbance is planned and must cut nothing.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::StopNode(_) | Self::StopUpstream(_) | Self::Drain(_)
        )
    }
}

/// A disturbance with its begin and end, counted from the begin of the run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// When it begins.
    pub begins_at: Duration,
    /// When it is healed.
    pub ends_at: Duration,
    /// What happens.
    pub disruption: Disruption,
}
