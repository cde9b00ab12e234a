//! A fleet of nodes, its network and its platform.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    dissemination::{
        Action, Answer, Event, Link, Question, REQUEST_OVERHEAD, RESPONSE_OVERHEAD, Strategy,
    },
    membership::{Announcement, Owner, Phase},
    routing::Place,
};
use lentilshunt_schema::peer::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{Cut, Layout, Node, Platform, Seat, Tally, delivery::Delivery};

/// Longest wait for an answer of a node or the platform.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Slots of every upstream.
const SLOTS: u32 = 9;

/// Builds the strategy of a starting node.
pub type Factory = Box<dyn Fn(Owner, Vec<SocketAddr>, StdRng, Instant) -> Box<dyn Strategy>>;

/// Nodes that exchange messages in virtual time.
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The platform.
    pub platform: Platform,
    /// Directions that are cut.
    pub cuts: Vec<Cut>,
    /// Largest additional delay of a message; reorders messages.
    pub delay: Duration,
    /// Share of messages between nodes that arrive twice.
    pub duplicated: f64,
    /// Counts of traffic.
    pub tally: Tally,
    factory: Factory,
    now: Instant,
    start: Instant,
    queue: BTreeMap<(Instant, u64), Delivery>,
    queued: u64,
    addresses: HashMap<SocketAddr, usize>,
    random: StdRng,
    seed: u64,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet")
            .field("nodes", &self.nodes.len())
            .field("elapsed", &self.elapsed())
            .finish_non_exhaustive()
    }
}

impl Fleet {
    /// Creates a fleet in which no node runs yet.
    #[must_use]
    pub fn new(layout: Layout, seed: u64, factory: Factory) -> Self {
        let now = Instant::now();
        let seats = layout.seats.iter().enumerate();
        let addresses = seats.map(|(index, seat)| (seat.address, index)).collect();
        Self {
            nodes: layout.seats.into_iter().map(Node::new).collect(),
            platform: Platform::default(),
            cuts: Vec::new(),
            delay: Duration::ZERO,
            duplicated: 0.0,
            tally: Tally::default(),
            factory,
            now,
            start: now,
            queue: BTreeMap::new(),
            queued: 0,
            addresses,
            random: StdRng::seed_from_u64(seed),
            seed,
        }
    }

    /// Returns the virtual time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the virtual time since the fleet was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Starts the process of a node, and its upstream half a second later at most.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn start(&mut self, index: usize) {
        let elapsed = u64::try_from(self.elapsed().as_micros()).expect("a short run");
        let node = &mut self.nodes[index];
        node.incarnation = (elapsed + 1).max(node.incarnation + 1);
        node.paused = None;
        node.version = 0;
        node.view = std::sync::Arc::default();
        let seat = node.seat.clone();
        let owner = Owner::new(&seat.place, seat.address.to_string(), node.incarnation);
        let seed = self.seed ^ (node.incarnation << 16) ^ index as u64;
        let random = StdRng::seed_from_u64(seed);
        node.strategy = Some((self.factory)(owner, seat.seeds, random, self.now));
        self.handle(index, Event::Timer, None);
        self.announce(index, Phase::Ready, 0);
    }

    /// Starts all nodes within a time.
    pub fn start_all(&mut self, within: Duration) {
        let from = self.now;
        for index in 0..self.nodes.len() {
            let share = u32::try_from(index).unwrap_or(u32::MAX);
            let nodes = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
            self.run_until(from + within * share / nodes);
            self.start(index);
        }
    }

    /// Kills the process of a node.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.strategy = None;
        node.paused = None;
    }

    /// Moves a killed node to another address.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn relocate(&mut self, index: usize, address: SocketAddr) {
        let seat = &mut self.nodes[index].seat;
        self.addresses.remove(&seat.address);
        seat.address = address;
        self.addresses.insert(address, index);
    }

    /// Pauses the process of a node.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = Some(Vec::new());
    }

    /// Wakes a paused process, which first takes what arrived meanwhile.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn wake(&mut self, index: usize) {
        let held = self.nodes[index].paused.take().unwrap_or_default();
        self.handle(index, Event::Timer, None);
        for delivery in held {
            self.deliver(delivery);
        }
    }

    /// Has the upstream of a node announce itself.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn announce(&mut self, index: usize, phase: Phase, load: u32) {
        let node = &mut self.nodes[index];
        node.phase = phase;
        let announcement = Announcement {
            instance: node.seat.place.instance.clone(),
            service: node.seat.service.clone(),
            address: node.seat.address.to_string(),
            incarnation: node.incarnation,
            phase,
            slots: SLOTS,
            connections: SLOTS,
            load,
            healthy: true,
        };
        self.handle(index, Event::Announced(announcement), None);
    }

    /// Runs the fleet for a time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs the fleet until an instant.
    pub fn run_until(&mut self, until: Instant) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = self.now.max(until);
    }

    fn deliver(&mut self, delivery: Delivery) {
        let target = match &delivery {
            Delivery::Timer { node } | Delivery::Event { node, .. } => Some(*node),
            Delivery::Request { to, .. } => self.addresses.get(to).copied(),
            Delivery::Question { .. } => None,
        };
        let paused = target.and_then(|target| self.nodes[target].paused.as_mut());
        if let Some(held) = paused {
            match &delivery {
                Delivery::Timer { node } => self.nodes[*node].timer_at = None,
                Delivery::Request { from, to, message } => {
                    let (from, to, message) = (*from, *to, message.clone());
                    held.push(delivery);
                    self.fail(from, to, message, TIMEOUT);
                }
                _ => held.push(delivery),
            }
            return;
        }
        match delivery {
            Delivery::Timer { node } => self.timer(node),
            Delivery::Request { from, to, message } => self.request(from, to, message),
            Delivery::Event {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.handle(node, event, None);
                }
            }
            Delivery::Question {
                node,
                incarnation,
                question,
            } => self.question(node, incarnation, question),
        }
    }

    fn timer(&mut self, node: usize) {
        if self.nodes[node].timer_at != Some(self.now) {
            return;
        }
        self.nodes[node].timer_at = None;
        let Some(strategy) = &self.nodes[node].strategy else {
            return;
        };
        let deadline = strategy.deadline();
        if deadline <= self.now {
            self.handle(node, Event::Timer, None);
        } else {
            self.schedule_timer(node, deadline);
        }
    }

    fn request(&mut self, from: usize, to: SocketAddr, message: Box<Message>) {
        let target = self.addresses.get(&to).copied();
        let Some(target) = target.filter(|target| self.nodes[*target].is_up()) else {
            // The instance answers with a reset.
            self.fail(from, to, message, Duration::ZERO);
            return;
        };
        let event = Event::Message(message.clone());
        self.handle(target, event, Some((from, to, message)));
    }

    fn question(&mut self, node: usize, incarnation: u64, question: Question) {
        match &question {
            Question::Transact(_) => self.tally.writes += 1,
            _ => self.tally.reads += 1,
        }
        let answer = self.platform.answer(&question);
        let size = answer.as_ref().map_or(0, answer_size);
        let place = self.nodes[node].seat.place.clone();
        let far = self.is_far(&place);
        self.tally.add_platform(size + RESPONSE_OVERHEAD, far);
        if self.is_cut(None, Some(&place)) {
            self.unanswered(node, incarnation, question);
            return;
        }
        let latency = self.platform_latency(&place);
        let event = Event::Platform { question, answer };
        self.event_after(latency, node, incarnation, event);
    }

    fn unanswered(&mut self, node: usize, incarnation: u64, question: Question) {
        let event = Event::Platform {
            question,
            answer: None,
        };
        self.event_after(TIMEOUT, node, incarnation, event);
    }

    /// Feeds an event to a strategy and carries out what follows.
    ///
    /// `asked` names the request that the event came by, for its answer.
    fn handle(
        &mut self,
        index: usize,
        event: Event,
        asked: Option<(usize, SocketAddr, Box<Message>)>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(strategy) = &mut node.strategy else {
            return;
        };
        let begun = Instant::now();
        let mut actions = strategy.handle(now, event);
        node.busy += begun.elapsed();
        let deadline = strategy.deadline();
        self.schedule_timer(index, deadline);
        if let Some((from, to, message)) = asked {
            self.reply(index, from, to, message, &mut actions);
        }
        for action in actions {
            self.carry_out(index, action);
        }
    }

    fn reply(
        &mut self,
        index: usize,
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
        actions: &mut Vec<Action>,
    ) {
        let sender = self.nodes[from].seat.address;
        let is_reply = |action: &Action| matches!(action, Action::Send { to, .. } if *to == sender);
        let answer = actions
            .iter()
            .position(is_reply)
            .map(|position| actions.remove(position));
        let own = self.nodes[index].seat.place.clone();
        let other = self.nodes[from].seat.place.clone();
        if self.is_cut(Some(&own), Some(&other)) {
            self.fail(from, to, message, TIMEOUT);
            return;
        }
        let latency = self.latency(&own, &other);
        let link = class(&own, &other);
        let answer = match answer {
            Some(Action::Send { message, .. }) => Some(message),
            _ => None,
        };
        let size = answer.as_ref().map_or(0, |message| message_size(message));
        self.tally.add(link, size + RESPONSE_OVERHEAD);
        self.tally.messages += 1;
        if let Some(message) = answer {
            let incarnation = self.nodes[from].incarnation;
            self.event_after(latency, from, incarnation, Event::Message(message));
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message, .. } => self.send(index, to, message),
            Action::Ask(question) => self.ask(index, question),
            Action::Install { version, .. } => {
                let now = self.now;
                let node = &mut self.nodes[index];
                node.version = version;
                node.installed.push((now, version));
            }
            Action::Refuse { version, .. } => self.nodes[index].refused.push(version),
            Action::Publish(view) => self.nodes[index].view = view,
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Box<Message>) {
        let own = self.nodes[from].seat.place.clone();
        let target = self.addresses.get(&to).map(|index| &self.nodes[*index]);
        let Some(other) = target.map(|node| node.seat.place.clone()) else {
            self.fail(from, to, message, Duration::ZERO);
            return;
        };
        let size = message_size(&message) + REQUEST_OVERHEAD;
        self.tally.add(class(&own, &other), size);
        self.tally.messages += 1;
        if self.is_cut(Some(&own), Some(&other)) {
            self.fail(from, to, message, TIMEOUT);
            return;
        }
        if self.duplicated > 0.0 && self.random.random_bool(self.duplicated) {
            let latency = self.latency(&own, &other);
            let message = message.clone();
            self.after(latency, Delivery::Request { from, to, message });
        }
        let latency = self.latency(&own, &other);
        self.after(latency, Delivery::Request { from, to, message });
    }

    fn ask(&mut self, node: usize, question: Question) {
        let size = match &question {
            Question::Transact(transaction) => encoded_size(transaction),
            _ => 0,
        };
        let incarnation = self.nodes[node].incarnation;
        let place = self.nodes[node].seat.place.clone();
        let far = self.is_far(&place);
        self.tally.add_platform(size + REQUEST_OVERHEAD, far);
        if self.is_cut(Some(&place), None) {
            self.unanswered(node, incarnation, question);
            return;
        }
        let latency = self.platform_latency(&place);
        let delivery = Delivery::Question {
            node,
            incarnation,
            question,
        };
        self.after(latency, delivery);
    }

    fn fail(&mut self, from: usize, to: SocketAddr, message: Box<Message>, after: Duration) {
        let incarnation = self.nodes[from].incarnation;
        let event = Event::Unreachable { to, message };
        self.event_after(after, from, incarnation, event);
    }

    fn event_after(&mut self, after: Duration, node: usize, incarnation: u64, event: Event) {
        let delivery = Delivery::Event {
            node,
            incarnation,
            event,
        };
        self.after(after, delivery);
    }

    fn after(&mut self, after: Duration, delivery: Delivery) {
        self.at(self.now + after, delivery);
    }

    fn at(&mut self, at: Instant, delivery: Delivery) {
        self.queued += 1;
        self.queue.insert((at, self.queued), delivery);
    }

    fn schedule_timer(&mut self, node: usize, deadline: Instant) {
        let at = deadline.max(self.now);
        if self.nodes[node].timer_at.is_some_and(|set| set <= at) {
            return;
        }
        self.nodes[node].timer_at = Some(at);
        self.at(at, Delivery::Timer { node });
    }

    fn latency(&mut self, from: &Place, to: &Place) -> Duration {
        let latency = Layout::latency(from, to);
        if self.delay.is_zero() {
            return latency;
        }
        latency + self.delay.mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Returns whether a place is in another region than the platform.
    fn is_far(&self, place: &Place) -> bool {
        place.region != self.nodes[0].seat.place.region
    }

    /// Returns the latency to the platform, which stands in the region of the first node.
    fn platform_latency(&mut self, place: &Place) -> Duration {
        let platform = self.nodes[0].seat.place.clone();
        self.latency(place, &platform)
    }

    fn is_cut(&self, from: Option<&Place>, to: Option<&Place>) -> bool {
        let is_hit = |cut: &Cut| cut.from.contains(from) && cut.to.contains(to);
        self.cuts.iter().any(is_hit)
    }

    /// Returns the seats of the nodes that run.
    pub fn running(&self) -> impl Iterator<Item = &Seat> {
        let running = self.nodes.iter().filter(|node| node.is_up());
        running.map(|node| &node.seat)
    }
}

fn class(one: &Place, other: &Place) -> Link {
    if one.region != other.region {
        Link::OtherRegion
    } else if one.domain != other.domain {
        Link::OtherDomain
    } else {
        Link::SameDomain
    }
}

fn message_size(message: &Message) -> usize {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len())
}

fn encoded_size(value: &impl serde::Serialize) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}

fn answer_size(answer: &Answer) -> usize {
    match answer {
        Answer::Row(row) => row.as_ref().map_or(0, encoded_size),
        Answer::Rows(rows) => encoded_size(rows),
        Answer::Outcome(outcome) => encoded_size(outcome),
        Answer::Object(content) => content.as_ref().map_or(0, Vec::len),
    }
}
