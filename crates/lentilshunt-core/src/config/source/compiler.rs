//! Compiles files into a snapshot.

use std::collections::BTreeMap;

use ini::{Ini, Properties};
use lentilshunt_schema::ini::{Problem, Problems};

use super::{Source, item::Item};
use crate::config::{Pattern, Service, Snapshot};

/// Largest file, in bytes.
const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Most slots of an upstream.
const MAX_SLOTS: u32 = 10_000;
/// Most connections of an upstream.
const MAX_CONNECTIONS: u32 = 100_000;

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
/// Returns every problem found, each with file, section, key, value and what
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
    let mut compiler = Compiler::default();
    for source in sources {
        compiler.file(source);
    }
    let snapshot = compiler.snapshot();
    if compiler.problems.is_empty() {
        Ok(snapshot)
    } else {
        Err(Problems(compiler.problems))
    }
}

#[derive(Debug, Default)]
struct Compiler {
    /// Sections by kind and name.
    items: BTreeMap<(String, String), Item>,
    problems: Vec<Problem>,
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
        let Some((_, known)) = KINDS.iter().find(|(known, _)| *known == kind) else {
            let kinds: Vec<&str> = KINDS.iter().map(|(kind, _)| *kind).collect();
            let message = format!("unknown section; known are {}", kinds.join(", "));
            self.problems
                .push(Problem::new(file, message).section(section));
            return;
        };
        if !is_name(name) {
            let message = format!(
                "must be [{kind} NAME], the name of lower-case letters, digits and hyphens"
            );
            self.problems
                .push(Problem::new(file, message).section(section));
            return;
        }
        let item = Item::read(file, section, properties, known, &mut self.problems);
        let key = (kind.to_owned(), name.to_owned());
        if self.items.contains_key(&key) {
            self.problems
                .push(item.problem("this section stands twice; keep one"));
            return;
        }
        self.items.insert(key, item);
    }

    fn snapshot(&mut self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        let items = std::mem::take(&mut self.items);
        let of_kind = |wanted: &'static str| {
            items
                .iter()
                .filter(move |((kind, _), _)| kind == wanted)
                .map(|((_, name), item)| (name, item))
        };
        for (name, _) in of_kind("region") {
            snapshot.topology.regions.insert(name.clone());
        }
        for (name, item) in of_kind("domain") {
            self.domain(&mut snapshot, name, item);
        }
        for (name, item) in of_kind("service") {
            self.service(&mut snapshot, name, item);
        }
        for (name, item) in of_kind("caller") {
            self.caller(&mut snapshot, name, item);
        }
        let mut patterns = BTreeMap::new();
        for (name, item) in of_kind("request") {
            self.request(&mut snapshot, &mut patterns, name, item);
        }
        snapshot
    }

    fn domain(&mut self, snapshot: &mut Snapshot, name: &str, item: &Item) {
        let Some(region) = item.text("region", &mut self.problems) else {
            return;
        };
        if !snapshot.topology.regions.contains(region) {
            self.problems.push(unknown(item, "region", region));
        }
        let domains = &mut snapshot.topology.domains;
        domains.insert(name.to_owned(), region.to_owned());
    }

    fn service(&mut self, snapshot: &mut Snapshot, name: &str, item: &Item) {
        let slots = item.number("slots", 1..=MAX_SLOTS, &mut self.problems);
        let connections = item.number("connections", 1..=MAX_CONNECTIONS, &mut self.problems);
        let service = Service {
            slots: slots.unwrap_or_default(),
            connections: connections.unwrap_or_default(),
            ..Service::default()
        };
        snapshot.services.insert(name.to_owned(), service);
    }

    fn caller(&mut self, snapshot: &mut Snapshot, name: &str, item: &Item) {
        for service in item.list("services") {
            match snapshot.services.get_mut(service) {
                Some(found) => {
                    found.callers.insert(name.to_owned());
                }
                None => self.problems.push(unknown(item, "services", service)),
            }
        }
    }

    fn request(
        &mut self,
        snapshot: &mut Snapshot,
        patterns: &mut BTreeMap<(String, Pattern), (String, bool)>,
        name: &str,
        item: &Item,
    ) {
        let service = item.text("service", &mut self.problems);
        let method = item.text("method", &mut self.problems);
        let path = item.text("path", &mut self.problems);
        let idempotent = item.text("idempotent", &mut self.problems);
        let (Some(service), Some(method), Some(path), Some(idempotent)) =
            (service, method, path, idempotent)
        else {
            return;
        };
        let idempotent = match idempotent {
            "yes" => true,
            "no" => false,
            other => {
                let problem = item.problem("must be yes or no");
                self.problems.push(problem.key("idempotent").value(other));
                return;
            }
        };
        if !is_method(method) {
            let problem = item.problem("must be an HTTP method in upper case, or *");
            self.problems.push(problem.key("method").value(method));
        }
        if !path.starts_with('/') {
            let problem = item.problem("must start with /");
            self.problems.push(problem.key("path").value(path));
        }
        let Some(found) = snapshot.services.get_mut(service) else {
            self.problems.push(unknown(item, "service", service));
            return;
        };
        let pattern = Pattern {
            method: method.to_owned(),
            path: path.to_owned(),
        };
        let key = (service.to_owned(), pattern.clone());
        match patterns.get(&key) {
            Some((other, other_idempotent)) if *other_idempotent != idempotent => {
                let message = format!(
                    "contradicts [request {other}], which names the same requests; keep one"
                );
                self.problems.push(item.problem(message).key("idempotent"));
            }
            Some((other, _)) => {
                let message = format!("repeats [request {other}]; keep one");
                self.problems.push(item.problem(message));
            }
            None => {
                patterns.insert(key, (name.to_owned(), idempotent));
            }
        }
        if !idempotent {
            found.non_idempotent.push(pattern);
        }
    }
}

fn parse(source: &Source<'_>) -> Result<Ini, Problem> {
    let name = source.name;
    if source.bytes.len() > MAX_FILE_BYTES {
        let length = source.bytes.len();
        let message = format!("the file has {length} bytes; at most {MAX_FILE_BYTES} are read");
        return Err(Problem::new(name, message));
    }
    let text = std::str::from_utf8(source.bytes).map_err(|error| {
        let message = format!(
            "the file is not UTF-8 text; the first wrong byte is at {}",
            error.valid_up_to()
        );
        Problem::new(name, message)
    })?;
    if text.trim().is_empty() {
        return Err(Problem::new(name, "the file is empty"));
    }
    Ini::load_from_str_noescape(text)
        .map_err(|error| Problem::new(name, format!("not an INI file: {error}")))
}

fn unknown(item: &Item, key: &str, value: &str) -> Problem {
    item.problem(format!("{value} is not in the inventory"))
        .key(key)
        .value(value)
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.chars().all(allowed)
}

fn is_method(method: &str) -> bool {
    method == "*" || (!method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase()))
}
