//! Request rules and the detection of conflicts between them.

use std::collections::BTreeMap;

use lentilshunt_schema::ini::Problem;

use super::ini_section::IniSection;
use crate::config::{
    Pattern,
    limit::{MAX_PATTERNS, is_method, is_path},
};

/// Rule of a section `[request NAME]`.
#[derive(Clone, Debug)]
pub(super) struct RequestRule<'a> {
    pub(super) name: &'a str,
    pub(super) section: &'a IniSection,
    pub(super) service: &'a str,
    pub(super) pattern: Pattern,
    pub(super) is_idempotent: bool,
}

impl<'a> RequestRule<'a> {
    /// Reads a section, and reports the problems of its keys.
    pub(super) fn read(
        name: &'a str,
        section: &'a IniSection,
        problems: &mut Vec<Problem>,
    ) -> Option<Self> {
        let service = section.text("service", problems);
        let method = section.text("method", problems);
        let path = section.text("path", problems);
        let is_idempotent = section.yes_or_no("idempotent", problems);
        let (service, method, path) = (service?, method?, path?);
        if !is_method(method) {
            let problem = section.problem("must be an uppercase HTTP method or *");
            problems.push(problem.key("method").value(method));
        }
        if !is_path(path) {
            let message = "must start with / and contain no whitespace, ? or #; \
                           * matches one whole segment, a trailing ** matches the rest";
            problems.push(section.problem(message).key("path").value(path));
        }
        Some(Self {
            name,
            section,
            service,
            pattern: Pattern {
                method: method.to_owned(),
                path: path.to_owned(),
            },
            is_idempotent: is_idempotent?,
        })
    }

    fn find_conflict(&self, other: &Self) -> Option<Problem> {
        let (name, service) = (other.name, self.service);
        if self.pattern == other.pattern && self.is_idempotent == other.is_idempotent {
            let message = format!("duplicates [request {name}]; remove one");
            return Some(self.section.problem(message));
        }
        if self.is_idempotent == other.is_idempotent || !self.pattern.overlaps(&other.pattern) {
            return None;
        }
        let message = format!(
            "contradicts [request {name}], which matches some of the same requests of {service} \
             with the opposite value; use methods or paths that do not overlap"
        );
        let value = if self.is_idempotent { "yes" } else { "no" };
        Some(self.section.problem(message).key("idempotent").value(value))
    }
}

/// Reports rules that duplicate or contradict an earlier one of their service, up to
/// the first service with more than [`MAX_PATTERNS`] rules, which is reported too.
pub(super) fn report_conflicts(requests: &[RequestRule<'_>], problems: &mut Vec<Problem>) {
    let mut services: BTreeMap<&str, Vec<&RequestRule<'_>>> = BTreeMap::new();
    for request in requests {
        let earlier = services.entry(request.service).or_default();
        if earlier.len() >= MAX_PATTERNS {
            let message = format!(
                "service {} has more than {MAX_PATTERNS} request rules",
                request.service
            );
            problems.push(request.section.problem(message));
            return;
        }
        let mut found = earlier
            .iter()
            .filter_map(|other| request.find_conflict(other));
        problems.extend(found.next());
        drop(found);
        earlier.push(request);
    }
}
