//! The store, read through another node of the failure domain where there is one.

use std::{
    collections::{BTreeSet, HashMap},
    error,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_net::Pending;
use slog::info;
use tokio::time::sleep;

use super::{
    Answer, Cache, Pace,
    feeds::{PATH, WAIT, name},
};
use crate::{
    executor::lock,
    fleet::{Change, Changes, Error, Page, Rows, State},
    relay::{Pool, Shared, body::empty},
};

/// Time for an answer of a node besides its wait.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Time for which a node that did not help is not asked.
const SHUN_TIME: Duration = Duration::from_secs(3);
/// Pause after the store has forgotten changes, before the readers are asked for them.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(300);
/// Readers that are asked for changes which the store has forgotten.
const MAX_ASKED: usize = 2;
/// Time before a version must be in force at which the store itself is asked.
const MARGIN: Duration = Duration::from_millis(1200);

/// A store that is read through another node of the failure domain.
#[derive(Debug)]
pub struct Relayed {
    store: Arc<dyn Rows>,
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    cache: Arc<Cache>,
    /// Oldest knowledge of the store that is relied upon.
    max_age: Duration,
    shunned: Mutex<HashMap<SocketAddr, Instant>>,
    pace: Pace,
}

impl Relayed {
    /// Creates a view of the store in which changes are at most `apply` late.
    #[must_use]
    pub fn new(
        store: Arc<dyn Rows>,
        shared: Arc<Shared>,
        pool: Arc<Pool>,
        cache: Arc<Cache>,
        apply: Duration,
    ) -> Self {
        Self {
            store,
            shared,
            pool,
            cache,
            max_age: apply.saturating_sub(MARGIN),
            shunned: Mutex::default(),
            pace: Pace::default(),
        }
    }

    /// Sets how a table is read from the store.
    ///
    /// Further changes gather in a `pause` after some that the store told. `wait`
    /// is the longest wait of one call while other nodes ask this one; they are
    /// asked themselves without pauses.
    #[must_use]
    pub fn with_pace(mut self, table: &str, pause: Duration, wait: Duration) -> Self {
        self.pace.set(table, pause, wait);
        self
    }

    async fn page(&self, table: &str) -> Result<Page, Error> {
        let page = self.store.read(table).await?;
        self.cache.replace(table, &page, Duration::ZERO);
        Ok(page)
    }

    async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Changes, Error> {
        let directory = self.shared.directory.load();
        let reader = self.reader(directory.readers());
        let is_shared = !directory.readers().is_empty();
        drop(directory);
        if let Some(reader) = reader {
            match self.ask(reader, table, after).await {
                Some(changes) => return Ok(changes),
                None => self.shun(reader),
            }
        }
        let limit = self.pace.wait(table).filter(|_| is_shared);
        let wait = limit.map_or(wait, |limit| wait.min(limit));
        self.pace.gather(table).await;
        match self.store.wait(table, after, wait).await {
            Err(Error::Forgotten { revision }) if is_shared => {
                let told = self.catch_up(table, after).await;
                told.ok_or(Error::Forgotten { revision })
            }
            waited => {
                let changes = waited?;
                self.cache.apply(table, &changes, Duration::ZERO);
                if !changes.changes.is_empty() {
                    self.pace.note_changes(table);
                }
                Ok(changes)
            }
        }
    }

    /// Asks the readers for changes that the store has forgotten, rather than for all rows.
    async fn catch_up(&self, table: &str, after: u64) -> Option<Changes> {
        // The readers have to read the table again as well.
        sleep(CATCH_UP_PAUSE).await;
        let directory = self.shared.directory.load_full();
        let own = &self.shared.locality.instance;
        let readers = directory.readers().iter().take(MAX_ASKED);
        for (instance, address) in readers {
            if instance == own {
                return None;
            }
            let told = self.ask(*address, table, after).await;
            if told.is_some() {
                return told;
            }
        }
        None
    }

    /// Returns the node to ask, or none if this one asks the store.
    fn reader(&self, readers: &[(String, SocketAddr)]) -> Option<SocketAddr> {
        let now = Instant::now();
        let shunned = lock(&self.shunned);
        let is_shunned =
            |address: &SocketAddr| shunned.get(address).is_some_and(|until| *until > now);
        let mut usable = readers.iter().filter(|(_, address)| !is_shunned(address));
        let (instance, address) = usable.next()?;
        (*instance != self.shared.locality.instance).then_some(*address)
    }

    fn shun(&self, reader: SocketAddr) {
        metrics::counter!("lentilshunt_reader_lost_total").increment(1);
        let mut shunned = lock(&self.shunned);
        let now = Instant::now();
        shunned.retain(|_, until| *until > now);
        shunned.insert(reader, now + SHUN_TIME);
    }

    /// Asks a node for changes; none stands for no help.
    async fn ask(&self, reader: SocketAddr, table: &str, after: u64) -> Option<Changes> {
        let told = self.told(reader, table, after).await;
        told.map_err(|problem| {
            info!(self.shared.log, "node does not tell changes of the store";
                "node" => %reader, "table" => table, "problem" => %problem);
        })
        .ok()
    }

    /// Returns what a node tells, or why it is not used.
    async fn told(
        &self,
        reader: SocketAddr,
        table: &str,
        after: u64,
    ) -> Result<Changes, Box<dyn error::Error + Send + Sync>> {
        let mut request = Request::new(empty());
        let held = name(&self.cache.hashes(table));
        *request.uri_mut() = format!("{PATH}{table}/{after}/{held}").parse()?;
        let begin_by = Instant::now() + WAIT + ANSWER_TIME;
        let limit = State::MAX_BYTES;
        let bytes = self.pool.fetch(reader, request, begin_by, limit).await?;
        let answer: Answer = rmp_serde::from_slice(&bytes)?;
        let age = Duration::from_millis(answer.age_ms);
        // A table that is read less often is older without any fault.
        let wait = self.pace.wait(table).unwrap_or_default();
        if age > self.max_age.max(wait * 2) {
            return Err(format!("its knowledge is {} ms old", answer.age_ms).into());
        }
        let changes = self.translate(table, after, answer);
        let changes = changes.ok_or("a difference is from another value")?;
        self.cache.apply(table, &changes, age);
        Ok(changes)
    }

    /// Returns the changes that an answer stands for, or none if a patch does not fit.
    ///
    /// An answer that tells the whole table says by it which rows are gone.
    fn translate(&self, table: &str, after: u64, answer: Answer) -> Option<Changes> {
        let mut changes = Vec::with_capacity(answer.differences.len());
        let mut gone = if answer.whole {
            self.cache.keys(table)
        } else {
            BTreeSet::new()
        };
        for difference in answer.differences {
            let held = self.cache.value(table, &difference.key);
            let value = match difference.patch {
                Some(patch) => Some(patch.apply(held.as_ref())?),
                None => None,
            };
            gone.remove(&difference.key);
            changes.push(Change {
                key: difference.key,
                value,
            });
        }
        changes.extend(gone.into_iter().map(|key| Change { key, value: None }));
        Some(Changes {
            changes,
            revision: answer.revision.max(after),
        })
    }
}

impl Rows for Relayed {
    fn read<'a>(&'a self, table: &'a str) -> Pending<'a, Result<Page, Error>> {
        Box::pin(self.page(table))
    }

    fn wait<'a>(
        &'a self,
        table: &'a str,
        revision: u64,
        wait: Duration,
    ) -> Pending<'a, Result<Changes, Error>> {
        Box::pin(self.changes(table, revision, wait))
    }

    fn write<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        value: Option<Bytes>,
    ) -> Pending<'a, Result<(), Error>> {
        self.store.write(table, key, value)
    }
}
