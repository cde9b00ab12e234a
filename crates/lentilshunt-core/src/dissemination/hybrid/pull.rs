//! Fetches newer versions from the nearest holder.

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

/// Time in which content must arrive before another holder is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// First bound of the pause after a failed attempt.
const RETRY_FIRST: Duration = Duration::from_millis(200);
/// Largest pause after a failed attempt.
const RETRY_CAP: Duration = Duration::from_secs(3);

/// The version being fetched.
#[derive(Debug)]
pub(super) struct Pull {
    version: VersionId,
    holder: Option<SocketAddr>,
    origin: Option<InstanceId>,
    retry_at: Option<Instant>,
    backoff: Backoff,
}

impl Default for Pull {
    fn default() -> Self {
        Self {
            version: 0,
            holder: None,
            origin: None,
            retry_at: None,
            backoff: Backoff::new(RETRY_FIRST, RETRY_CAP),
        }
    }
}

impl Pull {
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.retry_at
    }
}

impl Hybrid {
    /// Starts to fetch the version of a sender if it is newer.
    pub(super) fn pull_newer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        version: VersionId,
        digest: &str,
        origin: Option<InstanceId>,
    ) {
        let known = self.replica.installed_version().max(self.pull.version);
        if !self.start.is_open() || version <= known || version < self.start.floor() {
            return;
        }
        let refused = self.replica.refused_head();
        if refused.is_some_and(|head| head.version == version && head.digest.starts_with(digest)) {
            return;
        }
        self.pull = Pull {
            version,
            holder: Some(from),
            origin,
            retry_at: Some(now + PULL_TIMEOUT),
            ..Pull::default()
        };
        self.want(from, true, Vec::new());
    }

    /// Starts to fetch the highest version that any known node has in force.
    pub(super) fn pull_highest(&mut self, now: Instant) {
        let highest = self.member_list.present().max_by_key(|peer| peer.version);
        let Some(member) = highest.filter(|peer| peer.version > 0) else {
            return;
        };
        if let Some(address) = member.address {
            let version = member.version;
            self.pull_newer(now, address, version, "-", None);
        }
    }

    /// Starts to fetch a head that the platform named.
    pub(super) fn pull_head(&mut self, now: Instant, head: &Head) {
        let Some(digest) = self.replica.start_fetch(head) else {
            return;
        };
        self.pull = Pull {
            version: head.version,
            retry_at: Some(now + PULL_TIMEOUT),
            ..Pull::default()
        };
        self.request(PlatformRequest::Fetch { digest });
    }

    pub(super) fn pull_timer(&mut self, now: Instant) {
        if self.pull.retry_at.is_none_or(|at| at > now) {
            return;
        }
        let attempts = self.pull.backoff.attempts();
        let pause = self.pull.backoff.fail(&mut self.random);
        self.pull.retry_at = Some(now + PULL_TIMEOUT + pause);
        let holder = if attempts.is_multiple_of(2) {
            self.nearest_holder()
        } else {
            None
        };
        self.pull.holder = holder;
        let missing = self.replica.missing_digests();
        match holder {
            Some(holder) => self.want(holder, missing.is_empty(), missing),
            None => self.fetch(missing),
        }
    }

    /// Notes that a holder cannot be reached.
    pub(super) fn pull_lost(&mut self, now: Instant, to: SocketAddr) {
        if self.pull.holder == Some(to) && self.pull.retry_at.is_some() {
            let pause = self.pull.backoff.fail(&mut self.random);
            self.pull.retry_at = Some(now + pause);
        }
    }

    /// Answers a node that fetches the version in force.
    pub(super) fn wanted(&mut self, from: SocketAddr, want: &ContentRequest) {
        let head = self.replica.installed_head().clone();
        let mut digests = want.digests.clone();
        if want.head {
            digests.push(head.digest.clone());
        }
        let content = |digest: &Digest| {
            Some(Content {
                digest: digest.clone(),
                content: self.replica.content(digest)?.to_vec(),
            })
        };
        let contents = digests.iter().filter_map(content).collect();
        let supply = ContentResponse {
            version: head.version,
            digest: head.digest,
            contents,
        };
        self.send(from, supply);
    }

    /// Takes content of a holder.
    pub(super) fn supplied(&mut self, now: Instant, from: SocketAddr, supply: ContentResponse) {
        let head = Head {
            version: supply.version,
            digest: supply.digest,
            operation: String::new(),
        };
        if !self.start.is_open() || head.version < self.start.floor() {
            return;
        }
        if self.replica.start_fetch(&head).is_some() {
            self.pull.version = head.version;
            self.pull.holder = Some(from);
        }
        for content in supply.contents {
            let found = blake3::hash(&content.content).to_hex();
            if found.as_str() == content.digest {
                let actions = self.replica.add_content(&content.digest, content.content);
                self.follow(now, actions, Some(from));
            }
        }
    }

    /// Takes content of the platform.
    pub(super) fn fetched(&mut self, now: Instant, digest: &str, content: Vec<u8>) {
        let actions = self.replica.add_content(digest, content);
        self.follow(now, actions, None);
    }

    fn follow(&mut self, now: Instant, actions: Vec<Action>, holder: Option<SocketAddr>) {
        let mut missing = Vec::new();
        for action in actions {
            match action {
                Action::Request(PlatformRequest::Fetch { digest }) => missing.push(digest),
                Action::Install { .. } => {
                    self.act(action);
                    self.installed(now);
                }
                _ => {
                    self.act(action);
                    self.pull = Pull::default();
                }
            }
        }
        if missing.is_empty() {
            return;
        }
        self.pull.retry_at = Some(now + PULL_TIMEOUT);
        match holder {
            Some(holder) => self.want(holder, false, missing),
            None => self.fetch(missing),
        }
    }

    fn installed(&mut self, now: Instant) {
        let pull = std::mem::take(&mut self.pull);
        self.push_version(now, pull.origin);
    }

    fn want(&mut self, to: SocketAddr, head: bool, digests: Vec<Digest>) {
        self.send(to, ContentRequest { head, digests });
    }

    fn fetch(&mut self, digests: Vec<Digest>) {
        for digest in digests {
            self.request(PlatformRequest::Fetch { digest });
        }
    }

    fn nearest_holder(&mut self) -> Option<SocketAddr> {
        let distance = |member: &Member| {
            let record = &member.entry.record;
            if record.domain == self.domain {
                0
            } else {
                1 + u32::from(record.region != self.region)
            }
        };
        let wanted = self.pull.version;
        let holders: Vec<&Member> = self
            .member_list
            .present()
            .filter(|member| member.version >= wanted && Some(self.address) != member.address)
            .collect();
        let nearest = holders.iter().map(|member| distance(member)).min()?;
        let near: Vec<SocketAddr> = holders
            .into_iter()
            .filter(|member| distance(member) == nearest)
            .filter_map(|member| member.address)
            .collect();
        near.choose(&mut self.random).copied()
    }
}
