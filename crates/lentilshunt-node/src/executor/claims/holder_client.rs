//! Queries the holders of claims over new connections.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::{claim::Claim, execution::Resolution};
use lentilshunt_net::{BoxFuture, call::Reply, http::Pool};
use lentilshunt_schema::call;

use super::Resolver;
use crate::peer::resolution;

/// Time limit for the response of a holder.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Queries each holder over a new connection, because a pooled one may be unresponsive.
#[derive(Debug)]
pub struct HolderClient {
    pool: Pool,
    max_body_bytes: usize,
}

impl HolderClient {
    /// Creates a client that connects from `source`.
    ///
    /// Response bodies may have up to `max_body_bytes`.
    #[must_use]
    pub fn new(source: IpAddr, max_body_bytes: usize) -> Self {
        Self {
            pool: Pool::bound_to(source),
            max_body_bytes,
        }
    }

    async fn request_resolution(&self, claim: Claim) -> Option<Resolution<Reply>> {
        let address = claim.address.parse().ok()?;
        let request = call::Resolve {
            request: claim.request,
            incarnation: claim.incarnation,
            // Only read when `bar` is set.
            remaining_ms: 0,
            bar: false,
        };
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        let (resolution, reply) =
            resolution::resolve(&self.pool, address, &request, deadline, self.max_body_bytes)
                .await?;
        Some(match resolution {
            call::Resolution::Barred => Resolution::Barred,
            call::Resolution::Running => Resolution::Running,
            call::Resolution::Answered => Resolution::Answered(reply?),
            call::Resolution::MayHaveRun => Resolution::MayHaveRun,
        })
    }
}

impl Resolver for HolderClient {
    fn resolve(&self, claim: Claim) -> BoxFuture<'_, Option<Resolution<Reply>>> {
        Box::pin(self.request_resolution(claim))
    }
}
