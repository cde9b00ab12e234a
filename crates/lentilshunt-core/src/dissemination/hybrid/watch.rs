//! Reads the platform's newest head, and addresses of other nodes.

use std::time::{Duration, Instant};

use lentilshunt_schema::platform::{Row, Transaction, Write};
use rand::{rngs::StdRng, seq::IndexedRandom};

use super::core::Hybrid;
use crate::{
    config::Head,
    dissemination::{
        PlatformRequest, PlatformResponse,
        jitter::{Backoff, jitter},
    },
    id::InstanceId,
    membership::{Member, Record, rendezvous_weight},
};

/// Start of the keys of rows with addresses of a failure domain.
pub const RENDEZVOUS_PREFIX: &str = "rendezvous/";
/// Role by which the watchers of a failure domain are chosen.
const WATCHER_ROLE: &str = "watcher";
/// Nodes of a failure domain that read the head.
const WATCHERS: usize = 2;
/// Time between two reads of the head by one watcher.
const WATCH_INTERVAL: Duration = Duration::from_secs(3);
/// Intervals of the first watcher between two reads by the second one.
const RESERVE_INTERVALS: u32 = 2;
/// Longest wait of a starting node before it first asks the platform.
const START_SPREAD: Duration = Duration::from_millis(300);
/// First bound of the pause after the platform did not respond.
const RETRY_FIRST: Duration = Duration::from_millis(500);
/// Largest pause after the platform did not respond.
const RETRY_CAP: Duration = Duration::from_secs(4);
/// Time between two writes of the addresses of a failure domain.
const WRITE_INTERVAL: Duration = Duration::from_mins(1);
/// Shortest time between two writes of the addresses.
const WRITE_PAUSE: Duration = Duration::from_secs(5);
/// Time between two scans for addresses by a watcher.
const SCAN_INTERVAL: Duration = Duration::from_mins(1);
/// First bound of the pause between scans of a node that lacks others.
const SCAN_FIRST: Duration = Duration::from_millis(800);
/// Largest pause between scans of a node that lacks others.
const SCAN_CAP: Duration = Duration::from_secs(15);
/// Addresses in the row of a failure domain.
const ADDRESSES: usize = 4;

/// What a node reads from the platform and writes to it.
#[derive(Debug)]
pub(super) struct Watcher {
    due: Instant,
    failures: Backoff,
    scan_due: Instant,
    scans: Backoff,
    write_due: Instant,
    written: Vec<InstanceId>,
    written_at: Option<Instant>,
}

impl Watcher {
    pub(super) fn new(random: &mut StdRng, now: Instant) -> Self {
        let mut spread = || jitter(random, START_SPREAD);
        Self {
            due: now + spread(),
            failures: Backoff::new(RETRY_FIRST, RETRY_CAP),
            scan_due: now + spread() * 2,
            scans: Backoff::new(SCAN_FIRST, SCAN_CAP),
            write_due: now + spread() * 2,
            written: Vec::new(),
            written_at: None,
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        self.due.min(self.scan_due).min(self.write_due)
    }
}

impl Hybrid {
    pub(super) fn watch_timer(&mut self, now: Instant) {
        if now >= self.watcher.due {
            let rank = self.rank();
            let interval = WATCH_INTERVAL * if rank == 0 { 1 } else { RESERVE_INTERVALS };
            self.watcher.due = now + jitter(&mut self.random, interval);
            if !self.start.is_open() || rank < WATCHERS {
                let key = Head::KEY.to_owned();
                self.request(PlatformRequest::Read { key });
            }
        }
        if now >= self.watcher.scan_due {
            self.scan(now);
        }
        if now >= self.watcher.write_due {
            self.watcher.write_due = now + jitter(&mut self.random, WRITE_PAUSE);
            self.write(now);
        }
    }

    pub(super) fn handle_response(
        &mut self,
        now: Instant,
        request: &PlatformRequest,
        response: Option<PlatformResponse>,
    ) {
        match (request, response) {
            (PlatformRequest::Read { .. }, None) => {
                let pause = self.watcher.failures.fail(&mut self.random);
                self.watcher.due = self.watcher.due.max(now + pause);
                if !self.start.is_open() {
                    self.watcher.due = now + pause;
                }
                self.start_platform(now, None);
            }
            (PlatformRequest::Read { .. }, Some(PlatformResponse::Row(row))) => {
                self.head(now, row.as_ref())
            }
            (PlatformRequest::Scan { .. }, Some(PlatformResponse::Rows(rows))) => self.meet(&rows),
            (PlatformRequest::Fetch { digest }, Some(PlatformResponse::Object(Some(content)))) => {
                self.fetched(now, digest, content);
            }
            _ => {}
        }
    }

    fn head(&mut self, now: Instant, row: Option<&Row>) {
        self.watcher.failures.succeed();
        let head = row.and_then(|row| Head::decode(&row.value).ok());
        let version = head.as_ref().map_or(0, |head| head.version);
        self.start_platform(now, Some(version));
        if let Some(head) = head {
            self.pull_head(now, &head);
        }
    }

    /// Returns how many nodes of the own failure domain come before this one as watchers.
    fn rank(&self) -> usize {
        let own = rendezvous_weight(&self.instance, WATCHER_ROLE);
        self.neighbours()
            .filter(|peer| rendezvous_weight(&peer.entry.record.instance, WATCHER_ROLE) > own)
            .count()
    }

    fn scan(&mut self, now: Instant) {
        let lonely = self.is_lonely();
        let pause = if lonely {
            self.watcher.scans.fail(&mut self.random)
        } else {
            self.watcher.scans.succeed();
            jitter(&mut self.random, SCAN_INTERVAL)
        };
        self.watcher.scan_due = now + pause;
        if self.rank() < WATCHERS {
            let prefix = RENDEZVOUS_PREFIX.to_owned();
            self.request(PlatformRequest::Scan { prefix });
        }
    }

    /// Returns whether no other failure domain is known.
    fn is_lonely(&self) -> bool {
        let mut domains = self
            .member_list
            .present()
            .map(|peer| &peer.entry.record.domain);
        domains.all(|domain| *domain == self.domain)
    }

    /// Compares views with one node of each failure domain that is not known.
    fn meet(&mut self, rows: &[Row]) {
        let records: Vec<Vec<Record>> = rows
            .iter()
            .filter_map(|row| rmp_serde::from_slice(&row.value).ok())
            .collect();
        for records in records {
            let strange: Vec<_> = records
                .iter()
                .filter(|record| !self.knows(record))
                .filter_map(|record| record.address.parse().ok())
                .filter(|address| *address != self.address)
                .collect();
            if let Some(address) = strange.choose(&mut self.random) {
                self.send_sync(*address);
            }
        }
    }

    fn knows(&self, record: &Record) -> bool {
        let mut present = self.member_list.present();
        if record.domain == self.domain {
            let held = self.member_list.get(&record.instance);
            return held.is_some_and(|held| held.entry.record.incarnation >= record.incarnation);
        }
        present.any(|peer| peer.entry.record.domain == record.domain)
            && self.reaches.said(&self.domain, &record.domain) != Some(false)
    }

    /// Writes a few addresses of the own failure domain, if they changed or it is time.
    fn write(&mut self, now: Instant) {
        if self.rank() > 0 {
            return;
        }
        let records = self.rendezvous();
        let names: Vec<InstanceId> = records.iter().map(|r| r.instance.clone()).collect();
        let fresh = self
            .watcher
            .written_at
            .is_some_and(|at| at + WRITE_INTERVAL > now);
        if fresh && names == self.watcher.written {
            return;
        }
        self.watcher.written = names;
        self.watcher.written_at = Some(now);
        let value = rmp_serde::to_vec(&records).expect("records have an encoding");
        let write = Write {
            key: format!("{RENDEZVOUS_PREFIX}{}", self.domain),
            value: Some(value),
        };
        self.request(PlatformRequest::Transact(Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        }));
    }

    fn rendezvous(&self) -> Vec<Record> {
        let near = |member: &&Member| member.entry.record.domain == self.domain;
        let mut members: Vec<&Member> = self.member_list.present().filter(near).collect();
        members
            .sort_by_key(|peer| rendezvous_weight(&peer.entry.record.instance, RENDEZVOUS_PREFIX));
        members
            .into_iter()
            .rev()
            .take(ADDRESSES)
            .map(|member| member.entry.record.clone())
            .collect()
    }
}
