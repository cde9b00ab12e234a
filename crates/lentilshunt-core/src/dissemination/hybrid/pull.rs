//! Fetches newer versions from other nodes or the platform.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Content, ContentRequest, ContentResponse};
use rand::seq::IndexedRandom;

use super::core::Hybrid;
use crate::{
    config::Head,
    dissemination::{Action, PlatformRequest, jitter::Backoff},
    id::{Digest, InstanceId, VersionId},
    membership::Member,
};

/// Time in which content must arrive before it is requested from another holder.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Initial upper bound of the pause after a failed attempt.
const RETRY_BACKOFF_BASE: Duration = Duration::from_millis(200);
/// Longest pause after a failed attempt.
const RETRY_BACKOFF_CAP: Duration = Duration::from_secs(3);

/// Source and retries of the fetch of a newer version.
#[derive(Debug)]
pub(super) struct Puller {
    version: VersionId,
    /// Node from which content was requested last; none for the platform.
    holder: Option<SocketAddr>,
    /// Root of the push that reported the version; the installed version is pushed along its tree.
    origin: Option<InstanceId>,
    retry_at: Option<Instant>,
    backoff: Backoff,
}

impl Default for Puller {
    fn default() -> Self {
        Self {
            version: 0,
            holder: None,
            origin: None,
            retry_at: None,
            backoff: Backoff::new(RETRY_BACKOFF_BASE, RETRY_BACKOFF_CAP),
        }
    }
}

impl Puller {
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.retry_at
    }
}

impl Hybrid {
    /// Starts to fetch the version that a sender has in force, if it is newer.
    ///
    /// A version below the minimum of the startup gate or with the digest of
    /// the last refused one is not fetched.
    pub(super) fn pull_newer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        version: VersionId,
        digest_prefix: &str,
        origin: Option<InstanceId>,
    ) {
        let newest = self.replica.installed_version().max(self.pull.version);
        if !self.startup_gate.is_open()
            || version <= newest
            || version < self.startup_gate.min_version()
        {
            return;
        }
        let refused = self.replica.refused_head();
        if refused
            .is_some_and(|head| head.version == version && head.digest.starts_with(digest_prefix))
        {
            return;
        }
        self.pull = Puller {
            version,
            holder: Some(from),
            origin,
            retry_at: Some(now + PULL_TIMEOUT),
            ..Puller::default()
        };
        self.request_content(from, true, Vec::new());
    }

    /// Starts to fetch the highest version that any known node has in force.
    pub(super) fn pull_highest(&mut self, now: Instant) {
        let highest = self.member_list.present().max_by_key(|peer| peer.version);
        let Some(member) = highest.filter(|peer| peer.version > 0) else {
            return;
        };
        if let Some(address) = member.address {
            let version = member.version;
            // No digest starts with `-`: the digest is unknown, so the check for a refused version
            // does not apply.
            self.pull_newer(now, address, version, "-", None);
        }
    }

    /// Starts to fetch a head read from the platform, if it is newer.
    pub(super) fn pull_head(&mut self, now: Instant, head: &Head) {
        let Some(digest) = self.replica.start_fetch(head) else {
            return;
        };
        self.pull = Puller {
            version: head.version,
            retry_at: Some(now + PULL_TIMEOUT),
            ..Puller::default()
        };
        self.request_platform(PlatformRequest::Fetch { digest });
    }

    pub(super) fn handle_pull_timer(&mut self, now: Instant) {
        if self.pull.retry_at.is_none_or(|at| at > now) {
            return;
        }
        let attempts = self.pull.backoff.attempts();
        let pause = self.pull.backoff.next_pause(&mut self.random);
        self.pull.retry_at = Some(now + PULL_TIMEOUT + pause);
        let holder = if attempts.is_multiple_of(2) {
            self.nearest_holder()
        } else {
            None
        };
        self.pull.holder = holder;
        let missing = self.replica.missing_digests();
        match holder {
            Some(holder) => self.request_content(holder, missing.is_empty(), missing),
            None => self.fetch_from_platform(missing),
        }
    }

    /// Schedules a retry after a pause when a request to the holder could not be delivered.
    pub(super) fn handle_pull_undelivered(&mut self, now: Instant, to: SocketAddr) {
        if self.pull.holder == Some(to) && self.pull.retry_at.is_some() {
            let pause = self.pull.backoff.next_pause(&mut self.random);
            self.pull.retry_at = Some(now + pause);
        }
    }

    /// Sends the requested content of the version in force that this node holds.
    pub(super) fn handle_content_request(&mut self, from: SocketAddr, request: &ContentRequest) {
        let head = self.replica.installed_head().clone();
        let mut digests = request.digests.clone();
        if request.head {
            digests.push(head.digest.clone());
        }
        let content = |digest: &Digest| {
            Some(Content {
                digest: digest.clone(),
                content: self.replica.content(digest)?.to_vec(),
            })
        };
        let contents = digests.iter().filter_map(content).collect();
        let response = ContentResponse {
            version: head.version,
            digest: head.digest,
            contents,
        };
        self.send(from, response);
    }

    /// Adds content received from another node, after starting a fetch if the response has a newer
    /// version.
    ///
    /// Content with a wrong digest is dropped.
    pub(super) fn handle_content_response(
        &mut self,
        now: Instant,
        from: SocketAddr,
        response: ContentResponse,
    ) {
        let head = Head {
            version: response.version,
            digest: response.digest,
            operation: String::new(),
        };
        if !self.startup_gate.is_open() || head.version < self.startup_gate.min_version() {
            return;
        }
        if self.replica.start_fetch(&head).is_some() {
            self.pull.version = head.version;
            self.pull.holder = Some(from);
        }
        for content in response.contents {
            let digest = blake3::hash(&content.content).to_hex();
            if digest.as_str() == content.digest {
                let actions = self.replica.add_content(&content.digest, content.content);
                self.handle_replica_actions(now, actions, Some(from));
            }
        }
    }

    /// Adds content received from the platform to the fetch in progress.
    pub(super) fn handle_fetched_content(&mut self, now: Instant, digest: &str, content: Vec<u8>) {
        let actions = self.replica.add_content(digest, content);
        self.handle_replica_actions(now, actions, None);
    }

    fn handle_replica_actions(
        &mut self,
        now: Instant,
        actions: Vec<Action>,
        holder: Option<SocketAddr>,
    ) {
        let mut missing = Vec::new();
        for action in actions {
            match action {
                Action::Request(PlatformRequest::Fetch { digest }) => missing.push(digest),
                Action::Install { .. } => {
                    self.add_action(action);
                    self.finish_pull(now);
                }
                _ => {
                    self.add_action(action);
                    self.pull = Puller::default();
                }
            }
        }
        if missing.is_empty() {
            return;
        }
        self.pull.retry_at = Some(now + PULL_TIMEOUT);
        match holder {
            Some(holder) => self.request_content(holder, false, missing),
            None => self.fetch_from_platform(missing),
        }
    }

    fn finish_pull(&mut self, now: Instant) {
        let pull = std::mem::take(&mut self.pull);
        self.push_version(now, pull.origin);
    }

    fn request_content(&mut self, to: SocketAddr, with_manifest: bool, digests: Vec<Digest>) {
        self.send(
            to,
            ContentRequest {
                head: with_manifest,
                digests,
            },
        );
    }

    fn fetch_from_platform(&mut self, digests: Vec<Digest>) {
        for digest in digests {
            self.request_platform(PlatformRequest::Fetch { digest });
        }
    }

    /// Returns a random one of the nearest nodes that have the version or a newer one in force.
    fn nearest_holder(&mut self) -> Option<SocketAddr> {
        let distance = |member: &Member| {
            let record = &member.entry.record;
            if record.domain == self.domain {
                0
            } else {
                1 + u32::from(record.region != self.region)
            }
        };
        let version = self.pull.version;
        let holders: Vec<&Member> = self
            .member_list
            .present()
            .filter(|member| member.version >= version && Some(self.address) != member.address)
            .collect();
        let nearest = holders.iter().map(|member| distance(member)).min()?;
        let candidates: Vec<SocketAddr> = holders
            .into_iter()
            .filter(|member| distance(member) == nearest)
            .filter_map(|member| member.address)
            .collect();
        candidates.choose(&mut self.random).copied()
    }
}
