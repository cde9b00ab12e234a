//! One simulated run.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    overload::{Admission, Attempts, Limits, Next, Outcome, Refusal, Step},
    routing::{AttemptOutcome, Choice, SelectionContext},
    verdict::{Reason, Verdict},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal};

use super::{
    Discipline, Pattern, Placement, Summary,
    caller::{CLASSES, Class, Request},
    event::{Attempt, Event, Queue, RequestIndex},
    fleet::{DOMAINS, Node, SERVICE, SLOTS, nodes, speed},
    gate::Gate,
    summary::Received,
};

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(16);
/// Requests a second for each upstream, about two thirds of the capacity.
const REQUESTS_PER_UPSTREAM: f64 = 28.0;
/// Share of the requests that are of the first class.
const FIRST_CLASS_SHARE: f64 = 0.7;
/// Shortest timeout of a first try, as a part of the longest.
const SHORTEST_TIMEOUT: f64 = 0.85;
/// Delay of a message in one direction, by the distance between two nodes.
const DELAYS: [Duration; 4] = [
    Duration::from_micros(50),
    Duration::from_micros(200),
    Duration::from_millis(1),
    Duration::from_millis(8),
];
/// Pause before an impatient caller repeats a request.
const IMPATIENT_PAUSE: Duration = Duration::from_millis(10);
/// Attempts of a call that may reach an upstream.
const UPSTREAM_ATTEMPTS: usize = 2;
/// Attempts after one that reached an upstream, for each hundred requests of a node.
const PAID_PERCENT: u32 = 10;
/// Cost of one such attempt in the credit of a node.
const PAID_COST: u32 = 100;

/// Settings of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Load and faults over time.
    pub pattern: Pattern,
    /// Order in which requests wait at an upstream.
    pub discipline: Discipline,
    /// Choice of the upstream.
    pub placement: Placement,
    /// Number of upstreams, each with a node.
    pub upstreams: usize,
    /// Seed of all random choices.
    pub seed: u64,
}

/// One simulated run.
#[derive(Debug)]
pub struct Model {
    settings: Settings,
    origin: Instant,
    now: Duration,
    random: StdRng,
    queue: Queue,
    requests: Vec<Request>,
    nodes: Vec<Node>,
    gates: Vec<Gate>,
    /// Start of each attempt that runs.
    starts: HashMap<(RequestIndex, u32), Instant>,
    /// Credit of each node for attempts after one that reached an upstream.
    credit: Vec<u32>,
    was_down: bool,
    summary: Summary,
}

impl Model {
    /// Creates a run.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let origin = Instant::now();
        let gate = |_| Gate::new(settings.discipline, SLOTS, origin);
        Self {
            settings,
            origin,
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(settings.seed),
            queue: Queue::default(),
            requests: Vec::new(),
            nodes: nodes(settings.upstreams, settings.placement, origin),
            gates: (0..settings.upstreams).map(gate).collect(),
            starts: HashMap::new(),
            credit: vec![0; settings.upstreams],
            was_down: false,
            summary: Summary::default(),
        }
    }

    /// Plays the run and returns what callers received.
    #[must_use]
    pub fn run(mut self) -> Summary {
        for domain in 0..DOMAINS {
            self.queue.push(Duration::ZERO, Event::Arrive { domain });
        }
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.update_power();
            self.handle(event);
        }
        self.summary
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { domain } => self.arrive(domain),
            Event::Try { request } => self.try_request(request),
            Event::Offer { attempt } => self.offer(attempt),
            Event::Finish { attempt, start } => self.finish_run(attempt, start),
            Event::Expire { attempt } => {
                if self.gates[attempt.upstream].remove(attempt) {
                    self.reply(attempt, refused(Reason::Deadline));
                }
            }
            Event::Reply {
                attempt,
                outcome,
                free_slots,
            } => self.receive(attempt, outcome, free_slots),
            Event::GiveUp { request } => self.give_up(request),
        }
    }

    /// Ends all runs when the upstreams lose power, and forgets what nodes and gates know.
    fn update_power(&mut self) {
        let is_down = self.settings.pattern.is_down(self.now);
        if is_down && !self.was_down {
            let origin = self.origin;
            let settings = self.settings;
            let gates = self.gates.iter_mut();
            gates.for_each(|gate| *gate = Gate::new(settings.discipline, SLOTS, origin));
            self.starts.clear();
            for request in &mut self.requests {
                request.in_flight = None;
            }
            self.nodes = nodes(settings.upstreams, settings.placement, origin);
        }
        self.was_down = is_down;
    }

    /// Creates a request and schedules the next one of the same failure domain.
    fn arrive(&mut self, domain: usize) {
        let rate = self.arrival_rate(domain);
        if rate > 0.0 {
            self.create_request(domain);
        }
        let pause = match Exp::new(rate) {
            Ok(pauses) if rate > 0.0 => Duration::from_secs_f64(pauses.sample(&mut self.random)),
            // No requests now; look again later.
            _ => Duration::from_millis(50),
        };
        let next = self.now + pause;
        if next < LENGTH {
            self.queue.push(next, Event::Arrive { domain });
        }
    }

    fn arrival_rate(&self, domain: usize) -> f64 {
        let upstreams = u32::try_from(self.settings.upstreams).unwrap_or(u32::MAX);
        let domains = u32::try_from(DOMAINS).unwrap_or(u32::MAX);
        let factor = self.settings.pattern.load_factor(domain, self.now);
        REQUESTS_PER_UPSTREAM * f64::from(upstreams) / f64::from(domains) * factor
    }

    fn create_request(&mut self, domain: usize) {
        let is_first_class = self.random.random_bool(FIRST_CLASS_SHARE);
        let class = CLASSES[usize::from(!is_first_class)];
        let patience = self.random.random_range(SHORTEST_TIMEOUT..1.0);
        let now = self.instant();
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            domain,
            node: 0,
            first_at: now,
            gives_up_at: now + class.deadline.mul_f64(patience),
            target_at: now + class.target,
            is_past_target: false,
            repeats: 0,
            attempts: Attempts::default(),
            attempt_count: 0,
            in_flight: None,
            is_done: false,
        });
        let gives_up = self.now + class.deadline.mul_f64(patience);
        self.queue.push(gives_up, Event::GiveUp { request });
        self.queue.push(self.now, Event::Try { request });
    }

    /// Handles one try of a caller at a random node of its failure domain.
    fn try_request(&mut self, index: RequestIndex) {
        if self.requests[index].is_done {
            return;
        }
        if self.settings.pattern.is_down(self.now) {
            // No node accepts the connection; the caller tries again.
            let again = self.now + Duration::from_millis(100);
            self.queue.push(again, Event::Try { request: index });
            return;
        }
        let now = self.instant();
        let in_domain = self.settings.upstreams / DOMAINS;
        let node = self.requests[index].domain + DOMAINS * self.random.random_range(0..in_domain);
        let request = &mut self.requests[index];
        request.node = node;
        request.attempts = Attempts::default();
        let class = request.class;
        let timeout = request.gives_up_at.saturating_duration_since(now);
        let class_index = usize::from(!class.kind.idempotent);
        let timeouts = &mut self.nodes[node].timeouts[class_index];
        let waited = timeouts.record_and_estimate(timeout);
        request.is_past_target = waited >= class.target;
        request.target_at = now + class.target.saturating_sub(waited);
        self.credit[node] = (self.credit[node] + PAID_PERCENT).min(PAID_COST * 3);
        self.send(index, None);
    }

    /// Sends the next attempt of a call, or answers its caller.
    fn send(&mut self, index: RequestIndex, last: Option<Reason>) {
        let now = self.instant();
        let random = self.random.random();
        let request = &mut self.requests[index];
        let node = &self.nodes[request.node];
        let choice = node.policy.choose(&SelectionContext {
            service: SERVICE,
            route: &node.route,
            tried: &request.attempts.tried,
            observations: &node.observations,
            now,
            random,
        });
        let endpoint = match choice {
            Choice::Endpoint(endpoint) | Choice::Queue(endpoint) => endpoint,
            other => {
                let reason = if other == Choice::Full {
                    Reason::NoRoom
                } else {
                    Reason::NoEndpoint
                };
                let reason = last.unwrap_or(reason);
                let limits = limits(request);
                let step = request.attempts.after_last(&limits, Some(reason));
                return self.follow(index, step, refused(reason));
            }
        };
        let mut nodes = self.nodes.iter();
        let upstream = nodes
            .position(|node| node.endpoint.instance == endpoint.instance)
            .unwrap_or_default();
        let distance = node.locality.distance(&endpoint);
        request.attempt_count += 1;
        request.in_flight = Some(node.observations.begin_attempt(&endpoint, now));
        let attempt = Attempt {
            request: index,
            number: request.attempt_count,
            upstream,
        };
        self.queue
            .push(self.now + DELAYS[distance], Event::Offer { attempt });
    }

    fn offer(&mut self, attempt: Attempt) {
        if self.settings.pattern.is_down(self.now) {
            return;
        }
        let now = self.instant();
        let applicant = self.requests[attempt.request].applicant();
        match self.gates[attempt.upstream].admit(attempt, &applicant, now) {
            Admission::Start => self.start_run(attempt),
            Admission::Refuse(reason) => self.reply(attempt, refused(reason)),
            Admission::Wait { until } => {
                let wait = until.saturating_duration_since(now);
                self.queue.push(self.now + wait, Event::Expire { attempt });
            }
        }
    }

    fn start_run(&mut self, attempt: Attempt) {
        let start = self.instant();
        let class = self.requests[attempt.request].class;
        let pattern = self.settings.pattern;
        let refusal_probability = pattern.refusal_probability(self.now);
        let is_refused = self.random.random_bool(refusal_probability);
        let run = if is_refused {
            Duration::from_millis(1)
        } else {
            let factor = speed(attempt.upstream) * pattern.run_factor(attempt.upstream, self.now);
            self.run_time(&class).mul_f64(factor)
        };
        if !is_refused {
            self.starts.insert((attempt.request, attempt.number), start);
        }
        let gives_up_at = self.requests[attempt.request].gives_up_at;
        let end = run.min(gives_up_at.saturating_duration_since(start));
        self.queue
            .push(self.now + end, Event::Finish { attempt, start });
    }

    fn run_time(&mut self, class: &Class) -> Duration {
        let spread = class.run_spread;
        let log_mean = class.mean_run.as_secs_f64().ln() - spread * spread / 2.0;
        let seconds = match LogNormal::new(log_mean, spread) {
            Ok(runs) => runs.sample(&mut self.random),
            Err(_invalid) => class.mean_run.as_secs_f64(),
        };
        Duration::from_secs_f64(seconds)
    }

    fn finish_run(&mut self, attempt: Attempt, start: Instant) {
        let was_refused = self
            .starts
            .remove(&(attempt.request, attempt.number))
            .is_none();
        if was_refused && self.settings.pattern != Pattern::Grey {
            // The run was lost with the power.
            return;
        }
        let now = self.instant();
        let request = &self.requests[attempt.request];
        let is_cut = now >= request.gives_up_at;
        let run = (!was_refused && !is_cut).then(|| now - start);
        let kind = request.class.kind;
        self.gates[attempt.upstream].end(start, kind, run);
        let outcome = match (was_refused, is_cut) {
            (true, _) => Outcome {
                may_have_reached_upstream: true,
                ..refused(Reason::QueueFull)
            },
            (false, true) => Outcome {
                verdict: Verdict::MayHaveRun,
                may_have_reached_upstream: true,
                ..refused(Reason::Deadline)
            },
            (false, false) => Outcome {
                verdict: Verdict::Ran,
                reason: None,
                may_have_reached_upstream: true,
                has_retryable_status: false,
            },
        };
        self.reply(attempt, outcome);
        self.start_waiting(attempt.upstream);
    }

    fn start_waiting(&mut self, upstream: usize) {
        let now = self.instant();
        while let Some(next) = self.gates[upstream].next(now) {
            match next {
                Next::Start(attempt) => self.start_run(attempt),
                Next::Refuse(attempt) => self.reply(attempt, refused(Reason::Deadline)),
            }
        }
    }

    fn reply(&mut self, attempt: Attempt, outcome: Outcome) {
        let request = &self.requests[attempt.request];
        let endpoint = &self.nodes[attempt.upstream].endpoint;
        let distance = self.nodes[request.node].locality.distance(endpoint);
        let event = Event::Reply {
            attempt,
            outcome,
            free_slots: self.gates[attempt.upstream].free_slots(self.instant()),
        };
        self.queue.push(self.now + DELAYS[distance], event);
    }

    fn receive(&mut self, attempt: Attempt, outcome: Outcome, free_slots: u32) {
        let now = self.instant();
        let index = attempt.request;
        let request = &mut self.requests[index];
        let Some(guard) = request.in_flight.take() else {
            return;
        };
        let is_refused_by_upstream =
            outcome.verdict == Verdict::NotRun && outcome.may_have_reached_upstream;
        let effect = if is_refused_by_upstream {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::new(outcome.verdict, outcome.reason)
        };
        guard.end(effect, Some(free_slots), now);
        let instance = self.nodes[attempt.upstream].endpoint.instance.clone();
        request.attempts.record(instance, &outcome);
        let step = request.attempts.next(&limits(request), &outcome);
        self.follow(index, step, outcome);
    }

    /// Carries out the next step of a call.
    fn follow(&mut self, index: RequestIndex, step: Step, outcome: Outcome) {
        let node = self.requests[index].node;
        let step = match step {
            Step::RetryPaid if self.credit[node] < PAID_COST => Step::Finish,
            // Baselines refuse a request for which no upstream has room in time.
            Step::WaitPastTarget if self.settings.discipline != Discipline::Product => Step::Finish,
            step => step,
        };
        match step {
            Step::Finish => self.answer(index, outcome),
            Step::RetryPaid => {
                self.credit[node] -= PAID_COST;
                self.send(index, outcome.reason);
            }
            Step::RetryFree => self.send(index, outcome.reason),
            Step::WaitPastTarget => {
                let request = &mut self.requests[index];
                request.is_past_target = true;
                request.attempts.wait_past_target();
                self.send(index, outcome.reason);
            }
        }
    }

    /// Answers the caller, which may repeat a refused request.
    fn answer(&mut self, index: RequestIndex, outcome: Outcome) {
        let now = self.instant();
        let (max_repeats, is_impatient) = self.settings.pattern.repeats(self.now);
        let random = self.random.random();
        let request = &mut self.requests[index];
        if request.is_done {
            return;
        }
        let remaining = request.gives_up_at.saturating_duration_since(now);
        let may_repeat = request.repeats < max_repeats && !remaining.is_zero();
        match outcome.verdict {
            Verdict::Ran => {
                let received = if now - request.first_at <= request.class.target {
                    Received::InTime
                } else {
                    Received::Late
                };
                self.end_request(index, received);
            }
            Verdict::NotRun if may_repeat => {
                request.repeats += 1;
                let refusal = Refusal {
                    reason: outcome.reason.unwrap_or(Reason::Deadline),
                    remaining,
                };
                let pause = if is_impatient {
                    IMPATIENT_PAUSE
                } else {
                    refusal.retry_after(random)
                };
                self.queue
                    .push(self.now + pause, Event::Try { request: index });
            }
            Verdict::NotRun => self.end_request(index, Received::Refused),
            Verdict::MayHaveRun => self.end_request(index, Received::Nothing),
        }
    }

    fn give_up(&mut self, index: RequestIndex) {
        if !self.requests[index].is_done {
            self.end_request(index, Received::Nothing);
        }
    }

    fn end_request(&mut self, index: RequestIndex, received: Received) {
        let request = &mut self.requests[index];
        request.is_done = true;
        let class = request.class;
        let earned = match received {
            Received::InTime => class.worth,
            Received::Late => class.late_worth,
            Received::Refused | Received::Nothing => 0.0,
        };
        let first_at = request.first_at - self.origin;
        self.summary.add(first_at, received, earned, class.worth);
    }
}

fn limits(request: &Request) -> Limits {
    Limits {
        upstream_attempts: UPSTREAM_ATTEMPTS,
        idempotent: request.class.kind.idempotent,
        is_past_target: request.is_past_target,
        has_unread_body: false,
    }
}

/// Returns the outcome of an attempt that reached no upstream.
fn refused(reason: Reason) -> Outcome {
    Outcome {
        verdict: Verdict::NotRun,
        reason: Some(reason),
        may_have_reached_upstream: false,
        has_retryable_status: false,
    }
}
