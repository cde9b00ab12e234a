//! Formats a snapshot as INI.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
};

use derive_more::Constructor;

use crate::config::Snapshot;

/// Displays a snapshot as an inventory with rules in INI.
///
/// Compiling the text produces the same snapshot. The names of request rules are
/// not part of a snapshot, so the rules are numbered.
///
/// # Examples
///
/// ```
/// use lentilshunt_core::config::{IniText, Source, compile};
///
/// let bytes = b"[region sierra]\n[domain ambato]\nregion = sierra\n";
/// let snapshot = compile(&[Source { name: "inventory.ini", bytes }])?;
/// let text = IniText::new(&snapshot).to_string();
/// assert_eq!(text.as_bytes(), b"[region sierra]\n\n[domain ambato]\nregion = sierra\n");
/// # Ok::<(), lentilshunt_schema::ini::Problems>(())
/// ```
#[derive(Clone, Constructor, Copy, Debug)]
pub struct IniText<'a> {
    snapshot: &'a Snapshot,
}

impl Display for IniText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let topology = &self.snapshot.topology;
        for region in &topology.regions {
            writeln!(f, "[region {region}]")?;
        }
        for (domain, region) in &topology.domains {
            writeln!(f, "\n[domain {domain}]\nregion = {region}")?;
        }
        for (name, service) in &self.snapshot.services {
            writeln!(f, "\n[service {name}]\nslots = {}", service.slots)?;
            writeln!(f, "connections = {}", service.connections)?;
        }
        for (caller, services) in self.callers() {
            let services: Vec<&str> = services.into_iter().collect();
            writeln!(f, "\n[caller {caller}]\nservices = {}", services.join(", "))?;
        }
        self.write_requests(f)
    }
}

impl<'a> IniText<'a> {
    fn callers(self) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
        let mut callers: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, service) in &self.snapshot.services {
            for caller in &service.callers {
                callers.entry(caller).or_default().insert(name);
            }
        }
        callers
    }

    fn write_requests(self, f: &mut Formatter<'_>) -> fmt::Result {
        let services = self.snapshot.services.iter();
        let patterns = services.flat_map(|(name, service)| {
            let patterns = service.non_idempotent.iter();
            patterns.map(move |pattern| (name, pattern))
        });
        for (index, (service, pattern)) in patterns.enumerate() {
            writeln!(f, "\n[request {}]\nservice = {service}", index + 1)?;
            writeln!(f, "method = {}\npath = {}", pattern.method, pattern.path)?;
            writeln!(f, "idempotent = no")?;
        }
        Ok(())
    }
}
