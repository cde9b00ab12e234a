//! The polling strategy, a baseline with which other strategies are compared.

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
    encoding,
    id::InstanceId,
    membership::{LocalRecord, Record, View},
};

/// Prefix of the keys of member rows.
pub const MEMBER_PREFIX: &str = "member/";
/// Mean time between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two writes of an unchanged local record.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a change of its row after which a member is removed.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(16);

/// The polling strategy of one node, which reads the head and all members from the platform.
#[derive(Debug)]
pub struct Poller {
    local_record: LocalRecord,
    random: StdRng,
    replica: ConfigReplica,
    members: BTreeMap<InstanceId, MemberRow>,
    view: Arc<View>,
    poll_due: Instant,
    heartbeat_due: Instant,
}

/// The row of a member as read last.
#[derive(Debug)]
struct MemberRow {
    record: Record,
    revision: u64,
    expires_at: Instant,
}

impl Poller {
    /// Creates the strategy of a node that polls from `now` on at intervals jittered by `random`.
    #[must_use]
    pub fn new(local_record: LocalRecord, random: StdRng, now: Instant) -> Self {
        Self {
            local_record,
            random,
            replica: ConfigReplica::default(),
            members: BTreeMap::new(),
            view: Arc::default(),
            poll_due: now,
            heartbeat_due: now,
        }
    }

    fn handle_timer(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.poll_due {
            self.poll_due = now + jitter(&mut self.random, POLL_INTERVAL);
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
            actions.push(self.heartbeat_request(now));
        }
        actions
    }

    fn heartbeat_request(&mut self, now: Instant) -> Action {
        self.heartbeat_due = now + jitter(&mut self.random, HEARTBEAT_INTERVAL);
        let record = self.local_record.record();
        let value = rmp_serde::to_vec_named(record).expect("a record can be encoded");
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
            (PlatformRequest::Read { .. }, PlatformResponse::Row(Some(row))) => {
                self.handle_head(&row)
            }
            (PlatformRequest::Scan { .. }, PlatformResponse::Rows(rows)) => {
                self.handle_members(now, rows)
            }
            (PlatformRequest::Fetch { digest }, PlatformResponse::Object(Some(content))) => {
                self.replica.add_content(digest, content)
            }
            _ => Vec::new(),
        }
    }

    fn handle_head(&mut self, row: &Row) -> Vec<Action> {
        let Ok(head) = Head::decode(&row.value) else {
            return Vec::new();
        };
        self.replica
            .start_fetch(&head)
            .map(|digest| Action::Request(PlatformRequest::Fetch { digest }))
            .into_iter()
            .collect()
    }

    fn handle_members(&mut self, now: Instant, rows: Vec<Row>) -> Vec<Action> {
        for row in rows {
            self.merge_member(now, &row);
        }
        self.members.retain(|_, member| member.expires_at > now);
        self.publish_view()
    }

    fn merge_member(&mut self, now: Instant, row: &Row) {
        let Ok(record) = encoding::decode::<Record>(&row.value) else {
            return;
        };
        let held = self.members.get(&record.instance);
        if held.is_some_and(|member| member.revision >= row.revision) {
            return;
        }
        let member = MemberRow {
            record: record.clone(),
            revision: row.revision,
            expires_at: now + MEMBER_TIMEOUT,
        };
        self.members.insert(record.instance, member);
    }

    fn publish_view(&mut self) -> Vec<Action> {
        let local = self.local_record.record();
        let others = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.instance != local.instance);
        let view = View::new(others.chain([local]));
        if view == *self.view {
            return Vec::new();
        }
        self.view = Arc::new(view);
        vec![Action::Publish(Arc::clone(&self.view))]
    }

    fn publish_if_changed(&mut self, now: Instant, changed: bool) -> Vec<Action> {
        if !changed {
            return Vec::new();
        }
        let mut actions = self.publish_view();
        actions.push(self.heartbeat_request(now));
        actions
    }
}

impl Strategy for Poller {
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Timer => self.handle_timer(now),
            Event::Announced(announcement) => {
                let changed = self.local_record.apply_announcement(&announcement);
                self.publish_if_changed(now, changed)
            }
            Event::AnnouncementTimeout => {
                let changed = self.local_record.mark_gone();
                self.publish_if_changed(now, changed)
            }
            Event::Stopping => {
                let changed = self.local_record.start_stopping();
                self.publish_if_changed(now, changed)
            }
            Event::Platform { request, response } => match response {
                Some(response) => self.handle_response(now, &request, response),
                None => Vec::new(),
            },
            Event::Message(_) | Event::Undelivered { .. } => Vec::new(),
        }
    }

    fn deadline(&self) -> Instant {
        self.poll_due.min(self.heartbeat_due)
    }
}
