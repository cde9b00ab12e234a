//! What changed under an operator.

use std::fmt;

use lentilshunt_core::{
    config::{Difference, Head, Snapshot},
    id::{OperationId, VersionId},
};
use serde::Serialize;

use crate::version::{self, Reader};

/// Most versions whose changes are read for one conflict.
const MAX_REVISIONS: usize = 20;

/// Versions that were accepted since the base of a refused change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// Version that the change was based on.
    pub base: VersionId,
    /// Version in force.
    pub newest: Head,
    /// Versions after the base, as far as they could be read.
    pub revisions: Vec<Revision>,
}

/// One accepted version and what it changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// Number of the version.
    pub version: VersionId,
    /// Operation that accepted it.
    pub operation: OperationId,
    /// What it changed from the version before.
    pub difference: Difference,
}

impl Conflict {
    /// Reads what the versions after `base` changed.
    pub(super) async fn read(reader: Reader<'_>, base: VersionId, newest: Head) -> Self {
        let mut conflict = Self {
            base,
            newest,
            revisions: Vec::new(),
        };
        // A failure only leaves out the rest of the details.
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
