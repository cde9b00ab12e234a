//! Access to the store through the reader of the failure domain.

use std::{
    collections::BTreeSet,
    error,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_core::{
    dissemination::{Readers, Source},
    encoding,
};
use lentilshunt_net::BoxFuture;
use slog::info;
use tokio::time::{sleep, sleep_until};

use super::{
    Cache, FeedResponse, Throttle,
    feeds::{FEED_PATH, FEED_POLL_TIMEOUT, format_hashes},
};
use crate::{
    executor::lock,
    fleet::{Change, Changes, Error, NodeState, Row, RowAt, TableSnapshot, TableStore},
    relay::{Pool, Shared, body::empty},
};

/// Maximum time for the response of a reader, besides the time for which it waits for changes.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for the response of a reader to the first request for a table.
///
/// A node that starts reads the store if its reader starts at the same time.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Age of data beyond the limit of one long poll that is still accepted.
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);
/// Pause before changes that the store no longer keeps are requested from the readers.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of readers from which changes that the store no longer keeps are requested.
const MAX_CATCH_UP_CANDIDATES: usize = 2;
/// Part of the maximum apply time that is left to poll the store itself; data of a
/// reader may be as old as the rest.
const APPLY_MARGIN: Duration = Duration::from_millis(1200);

/// A store that is read through the reader of the failure domain, if there is one.
#[derive(Debug)]
pub struct DomainStore {
    store: Arc<dyn TableStore>,
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    cache: Arc<Cache>,
    /// Maximum age of accepted data of a reader.
    max_age: Duration,
    readers: Mutex<Readers>,
    throttle: Throttle,
}

/// Changes that a reader has delivered.
#[derive(Clone, Debug)]
struct ReaderResponse {
    changes: Changes,
    /// Whether the table has no other rows than the changed ones.
    is_full: bool,
}

impl ReaderResponse {
    fn into_snapshot(self) -> TableSnapshot {
        let Changes { changes, revision } = self.changes;
        let rows = changes.into_iter().filter_map(|change| {
            let key = change.key;
            change.value.map(|value| Row { key, value })
        });
        TableSnapshot {
            rows: rows.collect(),
            revision,
        }
    }
}

impl DomainStore {
    /// Creates a store that accepts data of a reader only while it is recent enough
    /// for changes to be applied within `max_apply_time`.
    #[must_use]
    pub fn new(
        store: Arc<dyn TableStore>,
        shared: Arc<Shared>,
        pool: Arc<Pool>,
        cache: Arc<Cache>,
        max_apply_time: Duration,
    ) -> Self {
        Self {
            store,
            shared,
            pool,
            cache,
            max_age: max_apply_time.saturating_sub(APPLY_MARGIN),
            readers: Mutex::default(),
            throttle: Throttle::default(),
        }
    }

    /// Sets the polling limits of a table in the store.
    ///
    /// Polling pauses for `pause` after the store has returned changes, so that the
    /// next poll returns several at once.
    /// `poll_timeout` limits one long poll while other nodes read through this one.
    /// Requests to a reader have no pauses.
    #[must_use]
    pub fn with_throttle(mut self, table: &str, pause: Duration, poll_timeout: Duration) -> Self {
        self.throttle.set(table, pause, poll_timeout);
        self
    }

    /// Sets the pause before the first poll of a table that was read without any row.
    #[must_use]
    pub fn with_settle_pause(mut self, table: &str, pause: Duration) -> Self {
        self.throttle.set_settle_pause(table, pause);
        self
    }

    /// Reads a table, the first time through a reader if there is one.
    ///
    /// A table is read again if what the reader delivers is not sufficient.
    async fn read_table(&self, table: &str) -> Result<TableSnapshot, Error> {
        if !self.cache.contains(table)
            && let Source::Reader(reader) = self.source(table)
        {
            let timeout = FIRST_RESPONSE_TIMEOUT;
            if let Some(response) = self.request_changes(reader, table, 0, timeout).await
                && response.is_full
            {
                return Ok(response.into_snapshot());
            }
        }
        let snapshot = self.store.read(table).await?;
        lock(&self.readers).record_response(table);
        self.cache.replace(table, &snapshot, Duration::ZERO);
        if snapshot.rows.is_empty() {
            self.throttle.start_settle_pause(table);
        }
        Ok(snapshot)
    }

    async fn poll_changes(
        &self,
        table: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<Changes, Error> {
        loop {
            match self.source(table) {
                Source::Store => break,
                Source::Wait(until) => {
                    let wait = until.saturating_duration_since(Instant::now());
                    info!(self.shared.log, "next poll put off after failures"; "table" => table,
                        "after" => after, "wait_ms" => u64::try_from(wait.as_millis()).ok());
                    sleep_until(until.into()).await;
                }
                Source::Reader(reader) => {
                    let timeout = FEED_POLL_TIMEOUT + RESPONSE_TIMEOUT;
                    match self.request_changes(reader, table, after, timeout).await {
                        Some(response) => return Ok(response.changes),
                        None => self.record_lost_reader(reader),
                    }
                    if lock(&self.readers).may_poll_store(table, Instant::now()) {
                        break;
                    }
                }
            }
        }
        let has_candidates = !self.shared.directory.load().reader_candidates().is_empty();
        let limit = self.throttle.poll_timeout(table).filter(|_| has_candidates);
        let paused = self.throttle.wait_for_pause(table).await;
        // The pause counts, as other nodes receive no newer data during it.
        let timeout = limit.map_or(timeout, |limit| timeout.min(limit.saturating_sub(paused)));
        match self.store.wait_for_changes(table, after, timeout).await {
            Err(error @ (Error::Compacted { .. } | Error::Restored { .. })) => {
                lock(&self.readers).record_response(table);
                if !has_candidates {
                    return Err(error);
                }
                self.catch_up(table, after).await.ok_or(error)
            }
            Err(error) => {
                let random = rand::random();
                lock(&self.readers).record_failed_poll(table, random, Instant::now());
                Err(error)
            }
            Ok(changes) => {
                lock(&self.readers).record_response(table);
                self.cache.apply(table, &changes, Duration::ZERO);
                if !changes.changes.is_empty() {
                    self.throttle.start_pause(table);
                }
                Ok(changes)
            }
        }
    }

    /// Requests changes that the store no longer keeps, or that it cannot tell after a restoration,
    /// from the readers, which avoids reading all rows from the store.
    async fn catch_up(&self, table: &str, after: u64) -> Option<Changes> {
        // Gives the readers time to read the table again, as the store has compacted the
        // changes for them too.
        sleep(CATCH_UP_PAUSE).await;
        let directory = self.shared.directory.load_full();
        let local = &self.shared.locality.instance;
        let candidates = directory
            .reader_candidates()
            .iter()
            .take(MAX_CATCH_UP_CANDIDATES);
        for (instance, address) in candidates {
            if instance == local {
                return None;
            }
            let timeout = FEED_POLL_TIMEOUT + RESPONSE_TIMEOUT;
            let response = self.request_changes(*address, table, after, timeout).await;
            if let Some(response) = response {
                return Some(response.changes);
            }
        }
        None
    }

    /// Returns where the next changes of a table come from.
    fn source(&self, table: &str) -> Source {
        let directory = self.shared.directory.load();
        let candidates = directory.reader_candidates();
        let local = &self.shared.locality.instance;
        lock(&self.readers).source(candidates, local, table, Instant::now())
    }

    fn record_lost_reader(&self, reader: SocketAddr) {
        metrics::counter!("lentilshunt_reader_lost_total").increment(1);
        lock(&self.readers).record_lost_reader(reader, Instant::now());
    }

    /// Requests changes from a reader; returns none and logs the problem if that fails.
    async fn request_changes(
        &self,
        reader: SocketAddr,
        table: &str,
        after: u64,
        timeout: Duration,
    ) -> Option<ReaderResponse> {
        let response = self.fetch_changes(reader, table, after, timeout).await;
        response
            .map_err(|problem| {
                info!(self.shared.log, "changes of the reader not usable";
                "node" => %reader, "table" => table, "problem" => %problem);
            })
            .ok()
    }

    /// Returns the changes from a reader, or the reason why they cannot be used.
    async fn fetch_changes(
        &self,
        reader: SocketAddr,
        table: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<ReaderResponse, Box<dyn error::Error + Send + Sync>> {
        let mut request = Request::new(empty());
        let cached_hashes = format_hashes(&self.cache.hashes(table));
        *request.uri_mut() = format!("{FEED_PATH}{table}/{after}/{cached_hashes}").parse()?;
        let response_deadline = Instant::now() + timeout;
        let max_body_bytes = NodeState::MAX_BYTES;
        let bytes = self
            .pool
            .fetch(reader, request, response_deadline, max_body_bytes)
            .await?
            .into_body();
        let response: FeedResponse = encoding::decode(&bytes)?;
        let age = Duration::from_millis(response.age_ms);
        // The data of a table that is polled less often is older without a fault.
        let poll_timeout = self.throttle.poll_timeout(table).unwrap_or_default();
        if age > self.max_age.max(poll_timeout + MAX_POLL_DELAY) {
            return Err(format!("the data is {} ms old", response.age_ms).into());
        }
        let is_full = response.is_full;
        let changes = self.decode_changes(table, after, response);
        let changes = changes.ok_or("a patch is damaged or its base value is not cached")?;
        let response = ReaderResponse { changes, is_full };
        if response.is_full && !self.cache.contains(table) {
            self.cache
                .replace(table, &response.clone().into_snapshot(), age);
        } else {
            self.cache.apply(table, &response.changes, age);
        }
        Ok(response)
    }

    /// Returns the changes in a response, or none if a patch cannot be applied.
    ///
    /// Cached rows that a response with all rows does not contain have been removed.
    fn decode_changes(&self, table: &str, after: u64, response: FeedResponse) -> Option<Changes> {
        let mut changes = Vec::with_capacity(response.rows.len());
        let mut removed = if response.is_full {
            self.cache.keys(table)
        } else {
            BTreeSet::new()
        };
        for row in response.rows {
            let cached_value = self.cache.value(table, &row.key);
            let value = match row.patch {
                Some(patch) => Some(patch.apply(cached_value.as_ref())?),
                None => None,
            };
            removed.remove(&row.key);
            changes.push(Change {
                key: row.key,
                value,
            });
        }
        changes.extend(removed.into_iter().map(|key| Change { key, value: None }));
        Some(Changes {
            changes,
            revision: response.revision.max(after),
        })
    }
}

impl TableStore for DomainStore {
    fn read<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, Error>> {
        Box::pin(self.read_table(table))
    }

    fn wait_for_changes<'a>(
        &'a self,
        table: &'a str,
        revision: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Changes, Error>> {
        Box::pin(self.poll_changes(table, revision, timeout))
    }

    fn write<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        value: Option<Bytes>,
    ) -> BoxFuture<'a, Result<(), Error>> {
        self.store.write(table, key, value)
    }

    fn read_row<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<RowAt>, Error>> {
        self.store.read_row(table, key)
    }

    fn write_row_if<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        revision: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<(), Error>> {
        self.store.write_row_if(table, key, revision, value)
    }
}
