//! Compiles inventory and rule files into a snapshot.

use std::collections::BTreeMap;

use ini::Properties;
use lentilshunt_schema::ini::{Problem, Problems};

use super::{
    Compiled, Source,
    ini_section::IniSection,
    parse::parse,
    request::{RequestRule, report_conflicts},
};
use crate::config::{
    Service, Snapshot,
    limit::{CONNECTIONS_RANGE, MAX_NAME_BYTES, SLOTS_RANGE, is_name},
};

/// Maximum number of problems in a report.
const MAX_PROBLEMS: usize = 100;

/// Maximum number of names that a problem suggests.
const MAX_SUGGESTIONS: usize = 12;

/// Kinds of sections with their keys.
const SECTION_KINDS: [(&str, &[&str]); 5] = [
    ("region", &[]),
    ("domain", &["region"]),
    ("service", &["slots", "connections"]),
    ("caller", &["services"]),
    ("request", &["service", "method", "path", "idempotent"]),
];

/// Compiles the inventory and rules in one or more files.
///
/// # Errors
///
/// Returns all problems, each with its file, section, key and value and the
/// expected form. If any file has a problem, no snapshot is returned.
///
/// # Examples
///
/// ```
/// use lentilshunt_core::config::{Source, compile};
///
/// let text = "[region sierra]\n[domain ambato]\nregion = sierra\n";
/// let source = Source { name: "inventory.ini", bytes: text.as_bytes() };
/// let snapshot = compile(&[source])?;
/// assert_eq!(snapshot.topology.domains["ambato"], "sierra");
/// # Ok::<(), lentilshunt_schema::ini::Problems>(())
/// ```
pub fn compile(sources: &[Source<'_>]) -> Result<Snapshot, Problems> {
    compile_with_warnings(sources).map(|compiled| compiled.snapshot)
}

/// Compiles files like [`compile`], and also returns warnings.
///
/// # Errors
///
/// Returns the same problems as [`compile`].
pub fn compile_with_warnings(sources: &[Source<'_>]) -> Result<Compiled, Problems> {
    let mut compiler = Compiler::default();
    for source in sources {
        compiler.compile_file(source);
    }
    let snapshot = compiler.build_snapshot();
    if compiler.problems.is_empty()
        && let Err(error) = snapshot.validate()
    {
        // The validation does not know the file of a problem, so the first is reported.
        let file = sources.first().map_or("", |source| source.name);
        compiler
            .problems
            .push(Problem::new(file, error.to_string()));
    }
    if !compiler.problems.is_empty() {
        return Err(truncate(compiler.problems));
    }
    Ok(Compiled {
        snapshot,
        warnings: truncate(compiler.warnings),
    })
}

fn truncate(mut problems: Vec<Problem>) -> Problems {
    let more = problems.len().saturating_sub(MAX_PROBLEMS);
    problems.truncate(MAX_PROBLEMS);
    if let Some(last) = problems.last()
        && more > 0
    {
        let message = format!("{more} more are not shown");
        problems.push(Problem::new(&last.file, message));
    }
    Problems(problems)
}

#[derive(Debug, Default)]
struct Compiler {
    /// Sections by kind and name.
    sections: BTreeMap<(&'static str, String), IniSection>,
    problems: Vec<Problem>,
    warnings: Vec<Problem>,
}

impl Compiler {
    fn compile_file(&mut self, source: &Source<'_>) {
        match parse(source) {
            Ok(ini) => {
                for (section, properties) in &ini {
                    self.read_section(source.name, section, properties);
                }
            }
            Err(problem) => self.problems.push(problem),
        }
    }

    fn read_section(&mut self, file: &str, section: Option<&str>, properties: &Properties) {
        let Some(section) = section else {
            if let Some((key, value)) = properties.iter().next() {
                let message = "this key is outside any section";
                let problem = Problem::new(file, message).key(key).value(value);
                self.problems.push(problem);
            }
            return;
        };
        let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
        let name = name.trim();
        let Some((kind, keys)) = SECTION_KINDS.iter().find(|(known, _)| *known == kind) else {
            let kinds: Vec<&str> = SECTION_KINDS.iter().map(|(kind, _)| *kind).collect();
            let message = format!("unknown section; expected one of {}", kinds.join(", "));
            self.problems
                .push(Problem::new(file, message).section(section));
            return;
        };
        if !is_name(name) {
            let message = format!(
                "must be [{kind} NAME], where NAME has at most {MAX_NAME_BYTES} lowercase letters, \
                 digits and hyphens"
            );
            self.problems
                .push(Problem::new(file, message).section(section));
            return;
        }
        let section = IniSection::read(file, section, properties, keys, &mut self.problems);
        let key = (*kind, name.to_owned());
        if let Some(first) = self.sections.get(&key) {
            let message = format!("duplicate section, also in {}; remove one", first.file());
            self.problems.push(section.problem(message));
            return;
        }
        self.sections.insert(key, section);
    }

    fn build_snapshot(&mut self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        let sections = std::mem::take(&mut self.sections);
        let of_kind = |wanted: &'static str| {
            let sections = sections.iter();
            let wanted = sections.filter(move |((kind, _), _)| *kind == wanted);
            wanted.map(|((_, name), section)| (name, section))
        };
        for (name, _) in of_kind("region") {
            snapshot.topology.regions.insert(name.clone());
        }
        for (name, section) in of_kind("domain") {
            self.add_domain(&mut snapshot, name, section);
        }
        for (name, section) in of_kind("service") {
            self.add_service(&mut snapshot, name, section);
        }
        for (name, section) in of_kind("caller") {
            self.add_caller(&mut snapshot, name, section);
        }
        let mut requests = Vec::new();
        for (name, section) in of_kind("request") {
            requests.extend(RequestRule::read(name, section, &mut self.problems));
        }
        report_conflicts(&requests, &mut self.problems);
        for request in requests {
            self.add_request(&mut snapshot, request);
        }
        for (name, section) in of_kind("region") {
            let mut regions = snapshot.topology.domains.values();
            if !regions.any(|region| region == name) {
                self.warnings
                    .push(section.problem("this region has no failure domain"));
            }
        }
        for (name, section) in of_kind("service") {
            if snapshot.services[name].callers.is_empty() {
                self.warnings
                    .push(section.problem("no caller may call this service"));
            }
        }
        snapshot
    }

    fn add_domain(&mut self, snapshot: &mut Snapshot, name: &str, section: &IniSection) {
        let Some(region) = section.text("region", &mut self.problems) else {
            return;
        };
        if !snapshot.topology.regions.contains(region) {
            let known = snapshot.topology.regions.iter();
            let problem = unknown_name_problem(section, "region", region, known);
            self.problems.push(problem);
        }
        let domains = &mut snapshot.topology.domains;
        domains.insert(name.to_owned(), region.to_owned());
    }

    fn add_service(&mut self, snapshot: &mut Snapshot, name: &str, section: &IniSection) {
        let slots = section.number("slots", SLOTS_RANGE, &mut self.problems);
        let connections = section.number("connections", CONNECTIONS_RANGE, &mut self.problems);
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            let message =
                format!("fewer connections than the {slots} slots; some slots stay unused");
            let warning = section.problem(message).key("connections");
            self.warnings.push(warning.value(&connections.to_string()));
        }
        let service = Service {
            slots: slots.unwrap_or_default(),
            connections: connections.unwrap_or_default(),
            ..Service::default()
        };
        snapshot.services.insert(name.to_owned(), service);
    }

    fn add_caller(&mut self, snapshot: &mut Snapshot, name: &str, section: &IniSection) {
        let services = section.list("services", &mut self.problems);
        if services.is_empty() {
            self.warnings
                .push(section.problem("this caller may not call any service"));
        }
        for service in services {
            let Some(found) = snapshot.services.get_mut(service) else {
                let known = snapshot.services.keys();
                let problem = unknown_name_problem(section, "services", service, known);
                self.problems.push(problem);
                continue;
            };
            if !found.callers.insert(name.to_owned()) {
                let problem = section.problem(format!("duplicate service {service}; remove one"));
                self.problems.push(problem.key("services").value(service));
            }
        }
    }

    fn add_request(&mut self, snapshot: &mut Snapshot, request: RequestRule<'_>) {
        let Some(service) = snapshot.services.get_mut(request.service) else {
            let known = snapshot.services.keys();
            let problem = unknown_name_problem(request.section, "service", request.service, known);
            self.problems.push(problem);
            return;
        };
        if !request.is_idempotent {
            service.non_idempotent.push(request.pattern);
            service.non_idempotent.sort();
        }
    }
}

/// Creates a problem for a name that is not in the inventory.
fn unknown_name_problem<'a>(
    section: &IniSection,
    key: &str,
    value: &str,
    known: impl Iterator<Item = &'a String>,
) -> Problem {
    let known: Vec<&str> = known.take(MAX_SUGGESTIONS).map(String::as_str).collect();
    let message = if known.is_empty() {
        format!("{value} is not in the inventory")
    } else {
        format!(
            "{value} is not in the inventory, which contains {}",
            known.join(", ")
        )
    };
    section.problem(message).key(key).value(value)
}
