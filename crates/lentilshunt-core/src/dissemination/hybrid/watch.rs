//! Reads the newest head and records of other failure domains from the platform, and writes those
//! of the local one.

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
    encoding,
    id::InstanceId,
    membership::{Member, Record, address_of, rendezvous_weight},
};

/// Prefix of the keys of rendezvous rows: one per failure domain, with records of a few nodes for
/// other domains to contact.
pub const RENDEZVOUS_PREFIX: &str = "rendezvous/";
/// Key of the rendezvous hash by which the watchers of a scope are chosen.
const WATCHER_ROLE: &str = "watcher";
/// Number of nodes of the scope that poll the head and scan for other domains.
const WATCHER_COUNT: usize = 2;
/// Mean time between two reads of the head by the first watcher.
const WATCH_INTERVAL: Duration = Duration::from_secs(3);
/// Factor of [`WATCH_INTERVAL`] for all nodes but the first watcher; the second watcher is its
/// backup.
const BACKUP_INTERVAL_FACTOR: u32 = 2;
/// Mean delay before a starting node first reads from the platform.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// Initial upper bound of the pause after the platform did not respond.
const RETRY_BACKOFF_BASE: Duration = Duration::from_millis(500);
/// Longest pause after the platform did not respond.
const RETRY_BACKOFF_CAP: Duration = Duration::from_secs(4);
/// Shortest time between two writes of the same nodes to the row of a failure domain.
const REWRITE_INTERVAL: Duration = Duration::from_mins(1);
/// Mean time between two checks whether the row has to be written.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Mean time between two scans of the rows by a watcher that knows other failure domains.
const SCAN_INTERVAL: Duration = Duration::from_mins(1);
/// Initial upper bound of the pause between scans while no other failure domain is known.
const SCAN_BACKOFF_BASE: Duration = Duration::from_millis(800);
/// Longest pause between scans while no other failure domain is known.
const SCAN_BACKOFF_CAP: Duration = Duration::from_secs(15);
/// Maximum number of records in the row of a failure domain.
const MAX_RENDEZVOUS_RECORDS: usize = 4;

/// Schedule of the reads, scans and writes of a node at the platform.
#[derive(Debug)]
pub(super) struct PlatformSchedule {
    read_due: Instant,
    read_backoff: Backoff,
    scan_due: Instant,
    scan_backoff: Backoff,
    write_due: Instant,
    written_instances: Vec<InstanceId>,
    written_at: Option<Instant>,
}

impl PlatformSchedule {
    pub(super) fn new(random: &mut StdRng, now: Instant) -> Self {
        let mut startup_delay = || jitter(random, STARTUP_DELAY);
        Self {
            read_due: now + startup_delay(),
            read_backoff: Backoff::new(RETRY_BACKOFF_BASE, RETRY_BACKOFF_CAP),
            scan_due: now + startup_delay() * 2,
            scan_backoff: Backoff::new(SCAN_BACKOFF_BASE, SCAN_BACKOFF_CAP),
            write_due: now + startup_delay() * 2,
            written_instances: Vec::new(),
            written_at: None,
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        self.read_due.min(self.scan_due).min(self.write_due)
    }
}

impl Hybrid {
    pub(super) fn handle_watch_timer(&mut self, now: Instant) {
        if now >= self.platform_schedule.read_due {
            let rank = self.watcher_rank();
            let interval = WATCH_INTERVAL * if rank == 0 { 1 } else { BACKUP_INTERVAL_FACTOR };
            self.platform_schedule.read_due = now + jitter(&mut self.random, interval);
            if !self.startup_gate.is_open() || rank < WATCHER_COUNT {
                let key = Head::KEY.to_owned();
                self.request_platform(PlatformRequest::Read { key });
            }
        }
        if now >= self.platform_schedule.scan_due {
            self.scan_rendezvous_rows(now);
        }
        if now >= self.platform_schedule.write_due {
            self.platform_schedule.write_due = now + jitter(&mut self.random, WRITE_CHECK_INTERVAL);
            self.write_rendezvous_row(now);
        }
    }

    pub(super) fn handle_platform_response(
        &mut self,
        now: Instant,
        request: &PlatformRequest,
        response: Option<PlatformResponse>,
    ) {
        match (request, response) {
            (PlatformRequest::Read { .. }, None) => {
                let pause = self
                    .platform_schedule
                    .read_backoff
                    .next_pause(&mut self.random);
                self.platform_schedule.read_due = self.platform_schedule.read_due.max(now + pause);
                if !self.startup_gate.is_open() {
                    self.platform_schedule.read_due = now + pause;
                }
                self.record_startup_head_version(now, None);
            }
            (PlatformRequest::Read { .. }, Some(PlatformResponse::Row(row))) => {
                self.handle_head(now, row.as_ref());
            }
            (PlatformRequest::Scan { .. }, Some(PlatformResponse::Rows(rows))) => {
                self.sync_with_unknown_nodes(&rows);
            }
            (PlatformRequest::Fetch { digest }, Some(PlatformResponse::Object(Some(content)))) => {
                self.handle_fetched_content(now, digest, content);
            }
            _ => {}
        }
    }

    fn handle_head(&mut self, now: Instant, row: Option<&Row>) {
        self.platform_schedule.read_backoff.reset();
        let head = row.and_then(|row| Head::decode(&row.value).ok());
        let version = head.as_ref().map_or(0, |head| head.version);
        self.record_startup_head_version(now, Some(version));
        if let Some(head) = head {
            self.pull_head(now, &head);
        }
    }

    /// Returns the rank of this node in its scope for the watcher role.
    ///
    /// Nodes with ranks below [`WATCHER_COUNT`] are watchers; 0 is the first watcher.
    fn watcher_rank(&self) -> usize {
        let local_weight = rendezvous_weight(&self.instance, WATCHER_ROLE);
        self.peers_in_scope()
            .filter(|peer| {
                rendezvous_weight(&peer.entry.record.instance, WATCHER_ROLE) > local_weight
            })
            .count()
    }

    fn scan_rendezvous_rows(&mut self, now: Instant) {
        let is_only_known_domain = self.is_only_known_domain();
        let pause = if is_only_known_domain {
            self.platform_schedule
                .scan_backoff
                .next_pause(&mut self.random)
        } else {
            self.platform_schedule.scan_backoff.reset();
            jitter(&mut self.random, SCAN_INTERVAL)
        };
        self.platform_schedule.scan_due = now + pause;
        if self.watcher_rank() < WATCHER_COUNT {
            let prefix = RENDEZVOUS_PREFIX.to_owned();
            self.request_platform(PlatformRequest::Scan { prefix });
        }
    }

    /// Returns whether no other failure domain is known.
    fn is_only_known_domain(&self) -> bool {
        let mut domains = self
            .member_list
            .present()
            .map(|peer| &peer.entry.record.domain);
        domains.all(|domain| *domain == self.domain)
    }

    /// Synchronizes with one unknown node of each row.
    fn sync_with_unknown_nodes(&mut self, rows: &[Row]) {
        let records: Vec<Vec<Record>> = rows
            .iter()
            .filter_map(|row| encoding::decode(&row.value).ok())
            .collect();
        for records in records {
            let unknown: Vec<_> = records
                .iter()
                .filter(|record| !self.is_known_and_reachable(record))
                .filter_map(address_of)
                .filter(|address| *address != self.address)
                .collect();
            if let Some(address) = unknown.choose(&mut self.random) {
                self.send_sync(*address);
            }
        }
    }

    /// Returns whether a record is of a node or failure domain that is known and reachable, so that
    /// no synchronization is needed.
    ///
    /// In the local failure domain the node itself has to be known, elsewhere
    /// any node of a domain that is not unreachable.
    fn is_known_and_reachable(&self, record: &Record) -> bool {
        let mut present = self.member_list.present();
        if record.domain == self.domain {
            let held = self.member_list.get(&record.instance);
            return held.is_some_and(|held| held.entry.record.incarnation >= record.incarnation);
        }
        present.any(|peer| peer.entry.record.domain == record.domain)
            && self
                .reachability
                .last_stated_reachable(&self.domain, &record.domain)
                != Some(false)
    }

    /// Writes a few records of the local failure domain if other nodes were chosen or a rewrite is
    /// due.
    fn write_rendezvous_row(&mut self, now: Instant) {
        if self.watcher_rank() > 0 {
            return;
        }
        let records = self.records_to_advertise();
        let instances: Vec<InstanceId> = records
            .iter()
            .map(|record| record.instance.clone())
            .collect();
        let is_fresh = self
            .platform_schedule
            .written_at
            .is_some_and(|at| at + REWRITE_INTERVAL > now);
        if is_fresh && instances == self.platform_schedule.written_instances {
            return;
        }
        self.platform_schedule.written_instances = instances;
        self.platform_schedule.written_at = Some(now);
        let value = rmp_serde::to_vec(&records).expect("records can be encoded");
        let write = Write {
            key: format!("{RENDEZVOUS_PREFIX}{}", self.domain),
            value: Some(value),
        };
        self.request_platform(PlatformRequest::Transact(Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        }));
    }

    /// Returns the records of the nodes with the highest rendezvous weights for
    /// [`RENDEZVOUS_PREFIX`], which also serves as the key of the hash.
    fn records_to_advertise(&self) -> Vec<Record> {
        let in_domain = |member: &&Member| member.entry.record.domain == self.domain;
        let mut members: Vec<&Member> = self.member_list.present().filter(in_domain).collect();
        members
            .sort_by_key(|peer| rendezvous_weight(&peer.entry.record.instance, RENDEZVOUS_PREFIX));
        members
            .into_iter()
            .rev()
            .take(MAX_RENDEZVOUS_RECORDS)
            .map(|member| member.entry.record.clone())
            .collect()
    }
}
