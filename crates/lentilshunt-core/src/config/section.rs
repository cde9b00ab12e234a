//! Encoded section of a snapshot.

use super::manifest::hash;
use crate::id::Digest;

/// Name and encoded content of one section of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Name of the section: `topology`, or `service/` followed by a name.
    pub name: String,
    /// Encoded content.
    pub content: Vec<u8>,
}

impl Section {
    /// Name of the section that contains the regions and failure domains.
    pub const TOPOLOGY: &'static str = "topology";

    /// Prefix of the names of the sections that contain one service each.
    pub const SERVICE_PREFIX: &'static str = "service/";

    /// Returns the hash of the content, under which it is stored.
    #[must_use]
    pub fn digest(&self) -> Digest {
        hash(&self.content)
    }
}
