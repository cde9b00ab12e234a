//! Faults and planned stops of a run.

use std::time::Duration;

use derive_more::Display;
use lentilshunt_core::id::{DomainId, InstanceId};

/// Fault or planned stop of a part of the fleet.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Disruption {
    /// A node and its upstream are killed; the instance may restart at another address.
    #[display("kill instance {instance} (moved: {moved})")]
    KillInstance {
        /// Instance that is killed.
        instance: InstanceId,
        /// Whether it restarts at another address.
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
    /// Bytes are held back in one direction, or in both.
    #[display("blackhole {from} -> {to} (both: {both})")]
    Blackhole {
        /// Source failure domain.
        from: DomainId,
        /// Destination failure domain.
        to: DomainId,
        /// Whether the opposite direction is cut too.
        both: bool,
    },
    /// Connections between two failure domains are closed.
    #[display("refuse {_0} -> {_1}")]
    Refuse(DomainId, DomainId),
    /// Latency increases in one direction.
    #[display("slow {_0} -> {_1}")]
    Slow(DomainId, DomainId),
    /// Open connections deliver no more bytes in one direction.
    #[display("silence {_0} -> {_1}")]
    Silence(DomainId, DomainId),
    /// The platform refuses all requests.
    #[display("platform down")]
    PlatformDown,
    /// The object store refuses all requests.
    #[display("objects down")]
    ObjectsDown,
    /// The platform delays its responses by this number of milliseconds.
    #[display("platform slow by {_0} ms")]
    PlatformSlow(u64),
    /// The responses of this number of writes are lost; the writes take effect.
    #[display("platform loses {_0} replies")]
    LoseReplies(u64),
    /// This number of writes are lost and take no effect.
    #[display("platform loses {_0} requests")]
    LoseRequests(u64),
    /// A caller sends a request that crashes each upstream that runs it.
    #[display("crashing request (idempotent: {idempotent})")]
    CrashingRequest {
        /// Whether the request is idempotent.
        idempotent: bool,
    },
    /// A node is stopped gracefully and restarted.
    #[display("stop node {_0}")]
    StopNode(InstanceId),
    /// An upstream is stopped gracefully and restarted.
    #[display("stop upstream {_0}")]
    StopUpstream(InstanceId),
    /// An upstream drains without stopping and becomes ready again.
    #[display("drain upstream {_0}")]
    Drain(InstanceId),
}

impl Disruption {
    /// Returns whether the disruption is a graceful stop or a drain, which must not
    /// interrupt any request.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::StopNode(_) | Self::StopUpstream(_) | Self::Drain(_)
        )
    }
}

/// Scheduled disruption; its times count from the start of the load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Begin of the disruption.
    pub begins_at: Duration,
    /// End of the disruption.
    pub ends_at: Duration,
    /// Disruption to inject.
    pub disruption: Disruption,
}
