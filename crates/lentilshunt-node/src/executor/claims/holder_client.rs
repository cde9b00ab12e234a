//! Asks holders of claims over fresh connections.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::{claim::Claim, execution::Resolution};
use lentilshunt_net::{Pending, call::Reply, http::Pool};
use lentilshunt_schema::call;

use super::Resolver;
use crate::peer::question::ask;

/// Longest wait for the answer of a holder.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Asks holders over a new connection each, since pooled ones may be silent.
#[derive(Debug)]
pub struct HolderClient {
    pool: Pool,
    limit: usize,
}

impl HolderClient {
    /// Creates an asker that takes answers of up to `limit` bytes.
    #[must_use]
    pub fn new(source: IpAddr, limit: usize) -> Self {
        Self {
            pool: Pool::from_source(source),
            limit,
        }
    }

    async fn send(&self, claim: Claim) -> Option<Resolution<Reply>> {
        let address = claim.address.parse().ok()?;
        let question = call::Resolve {
            request: claim.request,
            incarnation: claim.incarnation,
            remaining_ms: 0,
            bar: false,
        };
        let deadline = Instant::now() + TIMEOUT;
        let (resolution, reply) = ask(&self.pool, address, &question, deadline, self.limit).await?;
        Some(match resolution {
            call::Resolution::Barred => Resolution::Barred,
            call::Resolution::Running => Resolution::Running,
            call::Resolution::Answered => Resolution::Answered(reply?),
            call::Resolution::MayHaveRun => Resolution::MayHaveRun,
        })
    }
}

impl Resolver for HolderClient {
    fn resolve(&self, claim: Claim) -> Pending<'_, Option<Resolution<Reply>>> {
        Box::pin(self.send(claim))
    }
}
