//! Every node polls the platform: the baseline that other ways are compared with.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_schema::platform::{Row, Transaction, Write};
use rand::rngs::StdRng;

use super::{
    Action, Event, PlatformRequest, PlatformResponse, Strategy, config_replica::ConfigReplica,
    jitter::jitter,
};
use crate::{
    config::Head,
    id::InstanceId,
    membership::{LocalRecord, Record, View},
};

/// Start of the keys of member rows.
pub const MEMBER_PREFIX: &str = "member/";
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two writes of an unchanged own record.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a member whose row has not changed is left out.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(16);

/// A node that reads the head and all members from the platform at an interval.
#[derive(Debug)]
pub struct Poll {
    local_record: LocalRecord,
    random: StdRng,
    replica: ConfigReplica,
    members: BTreeMap<InstanceId, Member>,
    view: Arc<View>,
    due: Instant,
    heartbeat_due: Instant,
}

#[derive(Debug)]
struct Member {
    record: Record,
    revision: u64,
    expires_at: Instant,
}

impl Poll {
    /// Creates a node that polls from `now` on, jittered by `random`.
    #[must_use]
    pub fn new(local_record: LocalRecord, random: StdRng, now: Instant) -> Self {
        Self {
            local_record,
            random,
            replica: ConfigReplica::default(),
            members: BTreeMap::new(),
            view: Arc::default(),
            due: now,
            heartbeat_due: now,
        }
    }

    fn timer(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.due {
            self.due = now + jitter(&mut self.random, POLL_INTERVAL);
            actions.push(Action::Request(PlatformRequest::Read {
                key: Head::KEY.to_owned(),
            }));
            actions.push(Action::Request(PlatformRequest::Scan {
                prefix: MEMBER_PREFIX.to_owned(),
            }));
            let missing = self.replica.missing_digests().into_iter();
            actions
                .extend(missing.map(|digest| Action::Request(PlatformRequest::Fetch { digest })));
        }
        if now >= self.heartbeat_due {
            actions.push(self.heartbeat(now));
        }
        actions
    }

    fn heartbeat(&mut self, now: Instant) -> Action {
        self.heartbeat_due = now + jitter(&mut self.random, HEARTBEAT_INTERVAL);
        let record = self.local_record.record();
        let value = rmp_serde::to_vec_named(record).expect("a record has an encoding");
        Action::Request(PlatformRequest::Transact(Transaction {
            conditions: Vec::new(),
            writes: vec![Write {
                key: format!("{MEMBER_PREFIX}{}", record.instance),
                value: Some(value),
            }],
        }))
    }

    fn handle_response(
        &mut self,
        now: Instant,
        request: &PlatformRequest,
        response: PlatformResponse,
    ) -> Vec<Action> {
        match (request, response) {
            (PlatformRequest::Read { .. }, PlatformResponse::Row(Some(row))) => self.head(&row),
            (PlatformRequest::Scan { .. }, PlatformResponse::Rows(rows)) => self.scanned(now, rows),
            (PlatformRequest::Fetch { digest }, PlatformResponse::Object(Some(content))) => {
                self.replica.add_content(digest, content)
            }
            _ => Vec::new(),
        }
    }

    fn head(&mut self, row: &Row) -> Vec<Action> {
        let Ok(head) = Head::decode(&row.value) else {
            return Vec::new();
        };
        self.replica
            .start_fetch(&head)
            .map(|digest| Action::Request(PlatformRequest::Fetch { digest }))
            .into_iter()
            .collect()
    }

    fn scanned(&mut self, now: Instant, rows: Vec<Row>) -> Vec<Action> {
        for row in rows {
            self.member(now, &row);
        }
        self.members.retain(|_, member| member.expires_at > now);
        self.publish()
    }

    fn member(&mut self, now: Instant, row: &Row) {
        let Ok(record) = rmp_serde::from_slice::<Record>(&row.value) else {
            return;
        };
        let known = self.members.get(&record.instance);
        if known.is_some_and(|member| member.revision >= row.revision) {
            return;
        }
        let member = Member {
            record: record.clone(),
            revision: row.revision,
            expires_at: now + MEMBER_TIMEOUT,
        };
        self.members.insert(record.instance, member);
    }

    fn publish(&mut self) -> Vec<Action> {
        let own = self.local_record.record();
        let others = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.instance != own.instance);
        let view = View::new(others.chain([own]));
        if view == *self.view {
            return Vec::new();
        }
        self.view = Arc::new(view);
        vec![Action::Publish(Arc::clone(&self.view))]
    }

    fn own_changed(&mut self, now: Instant, changed: bool) -> Vec<Action> {
        if !changed {
            return Vec::new();
        }
        let mut actions = self.publish();
        actions.push(self.heartbeat(now));
        actions
    }
}

impl Strategy for Poll {
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Timer => self.timer(now),
            Event::Announced(announcement) => {
                let changed = self.local_record.apply_announcement(&announcement);
                self.own_changed(now, changed)
            }
            Event::AnnouncementTimeout => {
                let changed = self.local_record.mark_gone();
                self.own_changed(now, changed)
            }
            Event::Stopping => {
                let changed = self.local_record.start_draining();
                self.own_changed(now, changed)
            }
            Event::Platform { request, response } => match response {
                Some(response) => self.handle_response(now, &request, response),
                None => Vec::new(),
            },
            Event::Message(_) | Event::Unreachable { .. } => Vec::new(),
        }
    }

    fn deadline(&self) -> Instant {
        self.due.min(self.heartbeat_due)
    }
}
