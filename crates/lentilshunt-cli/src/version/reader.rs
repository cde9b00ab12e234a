//! Reads heads and snapshots from the platform.

use std::collections::BTreeMap;

use derive_more::Constructor;
use lentilshunt_core::{
    config::{Head, Manifest, Snapshot},
    id::VersionId,
};
use lentilshunt_net::platform::{Store, Table};
use snafu::{OptionExt, ResultExt};

use super::{
    Error,
    error::{ContentSnafu, MissingSnafu, UnavailableSnafu, UnknownSnafu},
};

/// A reader of accepted versions.
#[derive(Clone, Constructor, Copy, Debug)]
pub struct Reader<'a> {
    table: &'a dyn Table,
    store: &'a dyn Store,
}

impl Reader<'_> {
    /// Reads the newest head, which is of version 0 before the first acceptance.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not respond or the row cannot be decoded.
    pub async fn head(&self) -> Result<Head, Error> {
        let row = self.table.read(Head::KEY.to_owned()).await;
        match row.context(UnavailableSnafu)? {
            Some(row) => Head::decode(&row.value).context(ContentSnafu { version: 0u64 }),
            None => Ok(Head::default()),
        }
    }

    /// Reads the head of one version.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not respond, the version was
    /// never accepted or the row cannot be decoded.
    pub async fn version(&self, version: VersionId) -> Result<Head, Error> {
        let row = self.table.read(Head::history_key(version)).await;
        let row = row.context(UnavailableSnafu)?;
        let row = row.context(UnknownSnafu { version })?;
        Head::decode(&row.value).context(ContentSnafu { version })
    }

    /// Reads the heads of all versions, from the first to the newest.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not respond or a row cannot be decoded.
    pub async fn history(&self) -> Result<Vec<Head>, Error> {
        let rows = self.table.scan(Head::HISTORY_PREFIX.to_owned()).await;
        let rows = rows.context(UnavailableSnafu)?;
        let heads = rows.iter().zip(1_u64..);
        heads
            .map(|(row, version)| Head::decode(&row.value).context(ContentSnafu { version }))
            .collect()
    }

    /// Reads and validates the content of a version; version 0 is empty.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not respond, or when content is
    /// missing or not valid.
    pub async fn snapshot(&self, head: &Head) -> Result<Snapshot, Error> {
        let version = head.version;
        if version == 0 {
            return Ok(Snapshot::default());
        }
        let bytes = self.object(version, &head.digest).await?;
        let manifest = Manifest::decode(&bytes, &head.digest).context(ContentSnafu { version })?;
        let mut contents = BTreeMap::new();
        for digest in manifest.sections.values() {
            let content = self.object(version, digest).await?;
            contents.insert(digest.clone(), content);
        }
        Snapshot::assemble(&manifest, &contents).context(ContentSnafu { version })
    }

    /// Reads an object of a version from the object store.
    async fn object(&self, version: VersionId, digest: &str) -> Result<Vec<u8>, Error> {
        let content = self.store.get(digest.to_owned()).await;
        let content = content.context(UnavailableSnafu)?;
        content.context(MissingSnafu { version, digest })
    }
}
