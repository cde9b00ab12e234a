//! Assembly and validation of configuration versions from fetched content.

use std::{collections::BTreeMap, sync::Arc};

use super::{Action, PlatformRequest};
use crate::{
    config::{Error, Head, Manifest, Snapshot},
    id::{Digest, VersionId},
};

/// The installed configuration of a node and the newer version being fetched.
///
/// A version is installed only if it is higher than the installed one, all of
/// its content has arrived with the right digests, and it validates as a whole.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    installed: Head,
    installed_manifest: Vec<u8>,
    refused: Option<Head>,
    sections: BTreeMap<Digest, Vec<u8>>,
    fetch: Option<Fetch>,
}

/// A version being fetched.
#[derive(Debug)]
struct Fetch {
    head: Head,
    manifest: Option<Manifest>,
    encoded_manifest: Vec<u8>,
    sections: BTreeMap<Digest, Vec<u8>>,
}

impl ConfigReplica {
    /// Returns the installed version; 0 before the first.
    #[must_use]
    pub fn installed_version(&self) -> VersionId {
        self.installed.version
    }

    /// Returns the installed head.
    #[must_use]
    pub fn installed_head(&self) -> &Head {
        &self.installed
    }

    /// Returns the head that was refused last, if any.
    #[must_use]
    pub fn refused_head(&self) -> Option<&Head> {
        self.refused.as_ref()
    }

    /// Returns the manifest or section of the installed version that has `digest`.
    #[must_use]
    pub fn content(&self, digest: &str) -> Option<&[u8]> {
        if digest == self.installed.digest {
            return Some(&self.installed_manifest);
        }
        self.sections.get(digest).map(Vec::as_slice)
    }

    /// Starts to fetch the version of a head if it is newer than the installed one and the one
    /// being fetched.
    ///
    /// The version that was refused last is not fetched again. Returns the digest
    /// of the manifest, which has to be fetched first.
    pub fn start_fetch(&mut self, head: &Head) -> Option<Digest> {
        let fetching = self.fetch.as_ref().map_or(0, |fetch| fetch.head.version);
        let newest = self.installed.version.max(fetching);
        if head.version <= newest || self.is_refused(head) {
            return None;
        }
        self.fetch = Some(Fetch {
            head: head.clone(),
            manifest: None,
            encoded_manifest: Vec::new(),
            sections: BTreeMap::new(),
        });
        Some(head.digest.clone())
    }

    /// Returns the digests of the content that the fetch in progress still lacks.
    #[must_use]
    pub fn missing_digests(&self) -> Vec<Digest> {
        let Some(fetch) = &self.fetch else {
            return Vec::new();
        };
        let Some(manifest) = &fetch.manifest else {
            return vec![fetch.head.digest.clone()];
        };
        manifest
            .sections
            .values()
            .filter(|digest| !fetch.sections.contains_key(*digest))
            .cloned()
            .collect()
    }

    /// Adds fetched content.
    ///
    /// Returns requests for missing content, or the installation or refusal of the
    /// version once it is complete.
    ///
    /// Content without a fetch in progress is dropped, as are sections that
    /// arrive before the manifest.
    pub fn add_content(&mut self, digest: &str, content: Vec<u8>) -> Vec<Action> {
        let Some(fetch) = &mut self.fetch else {
            return Vec::new();
        };
        if fetch.manifest.is_none() && digest == fetch.head.digest {
            match Manifest::decode(&content, digest) {
                Ok(manifest) => {
                    fetch.sections = held_sections(&manifest, &self.sections);
                    fetch.manifest = Some(manifest);
                    fetch.encoded_manifest = content;
                }
                Err(error) => return self.refuse(&error),
            }
        } else if fetch.manifest.is_some() {
            fetch.sections.insert(digest.to_owned(), content);
            if !self.missing_digests().is_empty() {
                return Vec::new();
            }
        }
        let missing = self.missing_digests();
        if missing.is_empty() {
            return self.install_or_refuse();
        }
        missing
            .into_iter()
            .map(|digest| Action::Request(PlatformRequest::Fetch { digest }))
            .collect()
    }

    fn install_or_refuse(&mut self) -> Vec<Action> {
        let Some(Fetch {
            head,
            manifest: Some(manifest),
            encoded_manifest,
            sections,
        }) = self.fetch.take()
        else {
            return Vec::new();
        };
        match Snapshot::assemble(&manifest, &sections) {
            Ok(snapshot) => {
                let version = head.version;
                self.installed = head;
                self.installed_manifest = encoded_manifest;
                self.sections = sections;
                vec![Action::Install {
                    version,
                    snapshot: Arc::new(snapshot),
                }]
            }
            Err(error) => {
                let refusal = refusal(&head, &error);
                self.refused = Some(head);
                vec![refusal]
            }
        }
    }

    fn refuse(&mut self, error: &Error) -> Vec<Action> {
        let Some(fetch) = self.fetch.take() else {
            return Vec::new();
        };
        let refusal = refusal(&fetch.head, error);
        self.refused = Some(fetch.head);
        vec![refusal]
    }

    fn is_refused(&self, head: &Head) -> bool {
        self.refused.as_ref().is_some_and(|refused| {
            (refused.version, &refused.digest) == (head.version, &head.digest)
        })
    }
}

fn refusal(head: &Head, error: &Error) -> Action {
    Action::ReportRefusal {
        version: head.version,
        reason: error.to_string(),
    }
}

fn held_sections(
    manifest: &Manifest,
    held: &BTreeMap<Digest, Vec<u8>>,
) -> BTreeMap<Digest, Vec<u8>> {
    manifest
        .sections
        .values()
        .filter_map(|digest| Some((digest.clone(), held.get(digest)?.clone())))
        .collect()
}
