//! The simulated platform.

use std::collections::BTreeMap;

use lentilshunt_core::{
    config::{Head, Snapshot},
    dissemination::{PlatformRequest, PlatformResponse},
    id::VersionId,
};
use lentilshunt_schema::platform::{Transaction, Write};
use lentilshunt_standin::platform::Rows;

/// In-memory table and object store that can be taken down.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Whether all requests fail.
    pub is_down: bool,
    rows: Rows,
    objects: BTreeMap<String, Vec<u8>>,
}

impl Platform {
    /// Stores a snapshot and sets it as the head version.
    pub fn accept(&mut self, version: VersionId, snapshot: &Snapshot) {
        for section in snapshot.sections() {
            self.objects.insert(section.digest(), section.content);
        }
        let manifest = snapshot.manifest();
        self.objects.insert(manifest.digest(), manifest.encode());
        self.set_head(version, manifest.digest());
    }

    /// Stores arbitrary content and sets it as the head version without validation.
    pub fn accept_raw(&mut self, version: VersionId, content: Vec<u8>, digest: &str) {
        self.objects.insert(digest.to_owned(), content);
        self.set_head(version, digest.to_owned());
    }

    fn set_head(&mut self, version: VersionId, digest: String) {
        let head = Head {
            version,
            digest,
            operation: format!("operation-{version}"),
        };
        let write = Write {
            key: Head::KEY.to_owned(),
            value: Some(head.encode()),
        };
        self.rows.transact(Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        });
    }

    /// Returns the response to a request, or `None` when the platform is down.
    pub(crate) fn respond(&mut self, request: &PlatformRequest) -> Option<PlatformResponse> {
        if self.is_down {
            return None;
        }
        Some(match request {
            PlatformRequest::Read { key } => PlatformResponse::Row(self.rows.read(key).cloned()),
            PlatformRequest::Scan { prefix } => PlatformResponse::Rows(self.rows.scan(prefix)),
            PlatformRequest::Transact(transaction) => {
                PlatformResponse::Outcome(self.rows.transact(transaction.clone()))
            }
            PlatformRequest::Fetch { digest } => {
                PlatformResponse::Object(self.objects.get(digest).cloned())
            }
        })
    }
}
