//! Patterns that select requests by method and path.

use serde::{Deserialize, Serialize};

use super::path::normalize;

/// Method and path of requests that are not idempotent.
///
/// A path is matched segment by segment; `*` matches one segment and a
/// trailing `**` matches any rest.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pattern {
    /// HTTP method in upper case, or `*` for any.
    pub method: String,
    /// Path pattern, starting with `/`.
    pub path: String,
}

impl Pattern {
    /// Returns whether a request is selected by this pattern.
    ///
    /// Different spellings of a path count as the same: repeated and trailing
    /// slashes, `.` and `..`, and percent-encoded letters and digits. An
    /// upstream may understand them as the same, so none of them may escape a
    /// rule that forbids repetition.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let any = self.method == "*";
        (any || self.method == method) && matches_path(&normalize(&self.path), &normalize(path))
    }

    /// Returns whether some request is selected by both patterns.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let any = self.method == "*" || other.method == "*";
        let (own, others) = (normalize(&self.path), normalize(&other.path));
        (any || self.method == other.method) && overlaps_path(&own, &others)
    }
}

fn overlaps_path(left: &str, right: &str) -> bool {
    let (mut left, mut right) = (left.split('/'), right.split('/'));
    loop {
        match (left.next(), right.next()) {
            (Some("**"), _) | (_, Some("**")) | (None, None) => return true,
            (Some(left), Some(right)) if left == "*" || right == "*" || left == right => {}
            _ => return false,
        }
    }
}

fn matches_path(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    for expected in pattern.split('/') {
        if expected == "**" {
            return true;
        }
        match segments.next() {
            Some(segment) if expected == "*" || expected == segment => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}
