//! Changes that conflict with an acceptance.

use std::fmt;

use lentilshunt_core::{
    config::{Difference, Head, Snapshot},
    id::{OperationId, VersionId},
};
use serde::Serialize;

use crate::version::{self, Reader};

/// Maximum number of versions whose changes are read for one conflict.
const MAX_REVISIONS: usize = 20;

/// Versions that were accepted after the base of a refused change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// Version that the refused change was based on.
    pub base: VersionId,
    /// Version in force.
    pub newest: Head,
    /// Versions after the base, up to the first that could not be read.
    pub revisions: Vec<Revision>,
}

/// One accepted version and its changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// Version number.
    pub version: VersionId,
    /// Operation that accepted the version.
    pub operation: OperationId,
    /// Difference from the previous version.
    pub difference: Difference,
}

impl Conflict {
    /// Reads the changes of the versions after `base`.
    pub(super) async fn read(reader: Reader<'_>, base: VersionId, newest: Head) -> Self {
        let mut conflict = Self {
            base,
            newest,
            revisions: Vec::new(),
        };
        // After a failure, the remaining revisions are omitted.
        drop(conflict.read_revisions(reader).await);
        conflict
    }

    async fn read_revisions(&mut self, reader: Reader<'_>) -> Result<(), version::Error> {
        let mut before = match self.base {
            0 => Snapshot::default(),
            base => reader.snapshot(&reader.version(base).await?).await?,
        };
        for version in (self.base.saturating_add(1)..=self.newest.version).take(MAX_REVISIONS) {
            let head = reader.version(version).await?;
            let after = reader.snapshot(&head).await?;
            self.revisions.push(Revision {
                version,
                operation: head.operation,
                difference: Difference::between(&before, &after),
            });
            before = after;
        }
        Ok(())
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (base, newest) = (self.base, self.newest.version);
        write!(
            f,
            "conflict: the change is based on version {base}, version {newest} is in force; \
             nothing was accepted"
        )?;
        for revision in &self.revisions {
            let Revision {
                version,
                operation,
                difference,
            } = revision;
            write!(f, "\nversion {version} by {operation}")?;
            if difference.is_empty() {
                write!(f, "\nno difference")?;
            }
            for change in &difference.sections {
                write!(f, "\n{change}")?;
            }
        }
        let first_unread = base.saturating_add(1 + self.revisions.len() as u64);
        if first_unread <= newest {
            write!(f, "\nversions {first_unread} to {newest} were not read")?;
        }
        Ok(())
    }
}
