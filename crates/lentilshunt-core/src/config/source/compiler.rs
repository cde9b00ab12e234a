//! Compiles files into a snapshot.

use std::collections::BTreeMap;

use ini::Properties;
use lentilshunt_schema::ini::{Problem, Problems};

use super::{
    Compiled, Source,
    ini_section::IniSection,
    parse::parse,
    request::{Request, report_contradictions},
};
use crate::config::{
    Service, Snapshot,
    limit::{CONNECTIONS, MAX_NAME_BYTES, SLOTS, is_name},
};

/// Most problems that are reported at once.
const MAX_PROBLEMS: usize = 100;

/// Most names that a problem suggests.
const MAX_KNOWN: usize = 12;

/// Kinds of sections and the keys of each.
const KINDS: [(&str, &[&str]); 5] = [
    ("region", &[]),
    ("domain", &["region"]),
    ("service", &["slots", "connections"]),
    ("caller", &["services"]),
    ("request", &["service", "method", "path", "idempotent"]),
];

/// Compiles the inventory and rules of one or several files.
///
/// # Errors
///
/// Returns the problems found, each with file, section, key, value and what
/// would be right. Nothing is returned of files with a problem.
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

/// Compiles files and also returns what is allowed but looks like a mistake.
///
/// # Errors
///
/// Returns the same problems as [`compile`].
pub fn compile_with_warnings(sources: &[Source<'_>]) -> Result<Compiled, Problems> {
    let mut compiler = Compiler::default();
    for source in sources {
        compiler.file(source);
    }
    let snapshot = compiler.snapshot();
    if compiler.problems.is_empty()
        && let Err(error) = snapshot.validate()
    {
        let file = sources.first().map_or("", |source| source.name);
        compiler
            .problems
            .push(Problem::new(file, error.to_string()));
    }
    if !compiler.problems.is_empty() {
        return Err(shorten(compiler.problems));
    }
    Ok(Compiled {
        snapshot,
        warnings: shorten(compiler.warnings),
    })
}

fn shorten(mut problems: Vec<Problem>) -> Problems {
    let more = problems.len().saturating_sub(MAX_PROBLEMS);
    problems.truncate(MAX_PROBLEMS);
    if let Some(last) = problems.last()
        && more > 0
    {
        let message = format!("{more} more problems are not shown");
        problems.push(Problem::new(&last.file, message));
    }
    Problems(problems)
}

#[derive(Debug, Default)]
struct Compiler {
    /// Sections by kind and name.
    items: BTreeMap<(&'static str, String), IniSection>,
    problems: Vec<Problem>,
    warnings: Vec<Problem>,
}

impl Compiler {
    fn file(&mut self, source: &Source<'_>) {
        match parse(source) {
            Ok(ini) => {
                for (section, properties) in &ini {
                    self.section(source.name, section, properties);
                }
            }
            Err(problem) => self.problems.push(problem),
        }
    }

    fn section(&mut self, file: &str, section: Option<&str>, properties: &Properties) {
        let Some(section) = section else {
            if let Some((key, value)) = properties.iter().next() {
                let message = "this key stands before any section";
                let problem = Problem::new(file, message).key(key).value(value);
                self.problems.push(problem);
            }
            return;
        };
        let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
        let name = name.trim();
        let Some((kind, known)) = KINDS.iter().find(|(known, _)| *known == kind) else {
            let kinds: Vec<&str> = KINDS.iter().map(|(kind, _)| *kind).collect();
            let message = format!("unknown section; known are {}", kinds.join(", "));
            self.problems
                .push(Problem::new(file, message).section(section));
            return;
        };
        if !is_name(name) {
            let message = format!(
                "must be [{kind} NAME], the name of at most {MAX_NAME_BYTES} lower-case letters, \
                 digits and hyphens"
            );
            self.problems
                .push(Problem::new(file, message).section(section));
            return;
        }
        let section = IniSection::read(file, section, properties, known, &mut self.problems);
        let key = (*kind, name.to_owned());
        if let Some(first) = self.items.get(&key) {
            let message = format!("this section stands already in {}; keep one", first.file());
            self.problems.push(section.problem(message));
            return;
        }
        self.items.insert(key, section);
    }

    fn snapshot(&mut self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        let items = std::mem::take(&mut self.items);
        let of_kind = |wanted: &'static str| {
            let items = items.iter();
            let wanted = items.filter(move |((kind, _), _)| *kind == wanted);
            wanted.map(|((_, name), section)| (name, section))
        };
        for (name, _) in of_kind("region") {
            snapshot.topology.regions.insert(name.clone());
        }
        for (name, section) in of_kind("domain") {
            self.domain(&mut snapshot, name, section);
        }
        for (name, section) in of_kind("service") {
            self.service(&mut snapshot, name, section);
        }
        for (name, section) in of_kind("caller") {
            self.caller(&mut snapshot, name, section);
        }
        let mut requests = Vec::new();
        for (name, section) in of_kind("request") {
            requests.extend(Request::read(name, section, &mut self.problems));
        }
        report_contradictions(&requests, &mut self.problems);
        for request in requests {
            self.request(&mut snapshot, request);
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
                    .push(section.problem("no caller may reach this service"));
            }
        }
        snapshot
    }

    fn domain(&mut self, snapshot: &mut Snapshot, name: &str, section: &IniSection) {
        let Some(region) = section.text("region", &mut self.problems) else {
            return;
        };
        if !snapshot.topology.regions.contains(region) {
            let known = snapshot.topology.regions.iter();
            let problem = unknown(section, "region", region, known);
            self.problems.push(problem);
        }
        let domains = &mut snapshot.topology.domains;
        domains.insert(name.to_owned(), region.to_owned());
    }

    fn service(&mut self, snapshot: &mut Snapshot, name: &str, section: &IniSection) {
        let slots = section.number("slots", SLOTS, &mut self.problems);
        let connections = section.number("connections", CONNECTIONS, &mut self.problems);
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            let message = format!("fewer connections than the {slots} slots leave slots unused");
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

    fn caller(&mut self, snapshot: &mut Snapshot, name: &str, section: &IniSection) {
        let services = section.list("services", &mut self.problems);
        if services.is_empty() {
            self.warnings
                .push(section.problem("this caller may reach no service"));
        }
        for service in services {
            let Some(found) = snapshot.services.get_mut(service) else {
                let known = snapshot.services.keys();
                let problem = unknown(section, "services", service, known);
                self.problems.push(problem);
                continue;
            };
            if !found.callers.insert(name.to_owned()) {
                let problem = section.problem(format!("{service} stands twice; keep one"));
                self.problems.push(problem.key("services").value(service));
            }
        }
    }

    fn request(&mut self, snapshot: &mut Snapshot, request: Request<'_>) {
        let Some(service) = snapshot.services.get_mut(request.service) else {
            let known = snapshot.services.keys();
            let problem = unknown(request.section, "service", request.service, known);
            self.problems.push(problem);
            return;
        };
        if !request.is_idempotent {
            service.non_idempotent.push(request.pattern);
            service.non_idempotent.sort();
        }
    }
}

/// Creates the problem of a name that stands for nothing.
fn unknown<'a>(
    section: &IniSection,
    key: &str,
    value: &str,
    known: impl Iterator<Item = &'a String>,
) -> Problem {
    let known: Vec<&str> = known.take(MAX_KNOWN).map(String::as_str).collect();
    let message = if known.is_empty() {
        format!("{value} is not in the inventory")
    } else {
        format!(
            "{value} is not in the inventory, which has {}",
            known.join(", ")
        )
    };
    section.problem(message).key(key).value(value)
}
