//! Builders of events for small histories.

use lentilshunt_net::history;
use lentilshunt_schema::history::{Event, Kind};

/// One second in microseconds.
pub const SECOND_US: u64 = 1_000_000;

/// Creates an event of a process in its first incarnation.
pub fn event(at_us: u64, process: &str, kind: Kind) -> Event {
    let mut event = history::new_event(kind);
    event.at_us = at_us;
    process.clone_into(&mut event.process);
    event.incarnation = Some(1);
    event
}

pub fn accepted(at_us: u64, version: u64) -> Event {
    let mut event = event(at_us, "operator", Kind::Accepted);
    event.version = Some(version);
    event.digest = Some(format!("digest-{version}"));
    event
}

pub fn installed(at_us: u64, incarnation: u64, version: u64) -> Event {
    let mut event = event(at_us, "node/a", Kind::Installed);
    event.incarnation = Some(incarnation);
    event.version = Some(version);
    event.digest = Some(format!("digest-{version}"));
    event
}

pub fn started(at_us: u64, process: &str, incarnation: u64, detail: &str) -> Event {
    let mut event = event(at_us, process, Kind::Started);
    event.incarnation = Some(incarnation);
    event.service = Some("boletas".to_owned());
    event.detail = Some(detail.to_owned());
    event
}

pub fn sent(at_us: u64, attempt: &str, idempotent: bool) -> Event {
    let mut event = event(at_us, "caller", Kind::Sent);
    event.key = Some("key".to_owned());
    event.attempt = Some(attempt.to_owned());
    event.instance = Some("address-a".to_owned());
    event.idempotent = Some(idempotent);
    event.expected = Some("own".to_owned());
    event
}

pub fn replied(at_us: u64, attempt: &str, verdict: Option<&str>, digest: &str) -> Event {
    let mut event = sent(at_us, attempt, true);
    event.kind = Kind::Replied;
    event.verdict = verdict.map(ToOwned::to_owned);
    event.digest = Some(digest.to_owned());
    event
}

pub fn run(at_us: u64, attempt: &str, kind: Kind) -> Event {
    let mut event = event(at_us, "upstream/a", kind);
    event.key = Some("key".to_owned());
    event.request = Some(format!("request-{attempt}"));
    event.attempt = Some(attempt.to_owned());
    event
}

pub fn phase(at_us: u64, phase: &str) -> Event {
    let mut event = event(at_us, "upstream/a", Kind::Phase);
    event.detail = Some(phase.to_owned());
    event
}

pub fn fault(at_us: u64, kind: Kind, id: &str) -> Event {
    let mut event = event(at_us, "chaos", kind);
    event.request = Some(id.to_owned());
    event
}

pub fn routes(at_us: u64, version: u64, service: &str, instances: &[&str]) -> Event {
    let mut event = event(at_us, "scraper", Kind::Routes);
    event.instance = Some("node/a".to_owned());
    event.version = Some(version);
    let instances = instances.iter().map(|name| (*name).to_owned()).collect();
    event.routes = Some([(service.to_owned(), instances)].into());
    event
}
