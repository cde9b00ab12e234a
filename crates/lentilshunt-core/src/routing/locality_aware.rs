//! Policy that prefers near endpoints with free slots.

use std::sync::Arc;

use super::{
    Availability, Choice, EndpointState, Locality, Policy, SelectionContext,
    observation::MAX_SHARE_PERMILLE,
};
use crate::membership::Endpoint;

/// Distance of endpoints in other regions.
const OTHER_REGION: usize = Locality::DISTANCES - 1;
/// After a spillover, one over this number of the region's slots must be free before calls return.
const RETURN_DIVISOR: i64 = 4;

/// Factor by which the local endpoint may be slower than one in the same failure domain.
const MAX_SLOWDOWN: u32 = 2;

/// Prefers endpoints on the same instance, in the same failure domain and in the same region.
///
/// Calls go to another region only if no endpoint in the same region is predicted
/// to have a free slot, and return when a fraction of the region's slots is free
/// again. Within a tier, the policy picks two random endpoints and chooses the one
/// with the lower load relative to its response time (power of two choices).
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalityAware;

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    endpoint: &'a Arc<Endpoint>,
    distance: usize,
    state: EndpointState,
}

impl Policy for LocalityAware {
    fn choose(&self, selection: &SelectionContext<'_>) -> Choice {
        let candidates = candidates(selection);
        if candidates.is_empty() {
            return Choice::NoCandidate;
        }
        let not_full: Vec<_> = candidates
            .into_iter()
            .filter(|candidate| candidate.state.availability != Availability::Full)
            .collect();
        let free = choose_in_region(selection, &not_full)
            .or_else(|| choose_in_other_region(selection, &not_full));
        if let Some(candidate) = free {
            return Choice::Endpoint(Arc::clone(candidate.endpoint));
        }
        choose_for_queueing(selection, &not_full).map_or(Choice::Full, |candidate| {
            Choice::Queue(Arc::clone(candidate.endpoint))
        })
    }
}

/// Returns the untried endpoints that are neither draining nor ejected.
///
/// If all are ejected, the fault is more likely at this node than at the
/// endpoints, so all are returned.
fn candidates<'a>(selection: &SelectionContext<'a>) -> Vec<Candidate<'a>> {
    let endpoints = selection.route.endpoints();
    let states = selection
        .observations
        .endpoint_states(endpoints, selection.now);
    let tiers = selection.route.tiers.iter().enumerate();
    let distances = tiers.flat_map(|(distance, tier)| std::iter::repeat_n(distance, tier.len()));
    let mut candidates: Vec<_> = states
        .into_iter()
        .zip(distances)
        .map(|((endpoint, state), distance)| Candidate {
            endpoint,
            distance,
            state,
        })
        .filter(|candidate| selection.is_untried(candidate.endpoint))
        .filter(|candidate| candidate.state.availability != Availability::Draining)
        .collect();
    let is_ejected =
        |candidate: &Candidate<'_>| candidate.state.availability == Availability::Ejected;
    if !candidates.iter().all(is_ejected) {
        candidates.retain(|candidate| !is_ejected(candidate));
    }
    candidates
}

/// Chooses in the nearest tier of the same region that has free slots.
fn choose_in_region<'a>(
    selection: &SelectionContext<'_>,
    not_full: &[Candidate<'a>],
) -> Option<Candidate<'a>> {
    let regional = || {
        not_full
            .iter()
            .filter(|candidate| candidate.distance < OTHER_REGION)
    };
    let free_slots: i64 = regional().map(Candidate::free_slots).sum();
    let slots: i64 = regional().map(Candidate::slots).sum();
    let has_spilled_over = selection
        .observations
        .has_spilled_over(selection.service, selection.now);
    let required = if has_spilled_over {
        slots / RETURN_DIVISOR
    } else {
        0
    }
    .max(1);
    if free_slots < required {
        return None;
    }
    let is_usable = [Candidate::has_free_share, Candidate::has_free_slots];
    is_usable.into_iter().find_map(|is_usable| {
        let tier = |distance| {
            let tier = regional().filter(move |candidate| candidate.distance == distance);
            better_of_two(
                tier.filter(|candidate| is_usable(candidate)),
                selection.random,
            )
        };
        let nearest = tier(0).map(|local| match tier(1) {
            Some(near) if local.is_much_slower(&near) => near,
            _ => local,
        });
        nearest.or_else(|| (1..OTHER_REGION).find_map(tier))
    })
}

/// Chooses among the endpoints of other regions that have free slots.
fn choose_in_other_region<'a>(
    selection: &SelectionContext<'_>,
    not_full: &[Candidate<'a>],
) -> Option<Candidate<'a>> {
    let other_region = not_full
        .iter()
        .filter(|candidate| candidate.distance == OTHER_REGION && candidate.has_free_slots());
    let chosen = better_of_two(other_region, selection.random)?;
    let has_regional = not_full
        .iter()
        .any(|candidate| candidate.distance < OTHER_REGION);
    if has_regional {
        selection
            .observations
            .mark_spillover(selection.service, selection.now);
    }
    Some(chosen)
}

/// Chooses the endpoint to queue at, in the same region if it has one.
fn choose_for_queueing<'a>(
    selection: &SelectionContext<'_>,
    not_full: &[Candidate<'a>],
) -> Option<Candidate<'a>> {
    let regional = not_full
        .iter()
        .filter(|candidate| candidate.distance < OTHER_REGION);
    better_of_two(regional, selection.random)
        .or_else(|| better_of_two(not_full.iter(), selection.random))
}

impl Candidate<'_> {
    fn slots(&self) -> i64 {
        i64::from(self.endpoint.slots)
    }

    fn free_slots(&self) -> i64 {
        self.state.free_slots.max(0)
    }

    fn has_free_slots(&self) -> bool {
        self.state.free_slots > 0
    }

    /// Returns whether there is a free slot within the share that slow start allows.
    fn has_free_share(&self) -> bool {
        let slots = u64::from(self.endpoint.slots);
        let share = (slots * self.state.share_permille / MAX_SHARE_PERMILLE).max(1);
        self.has_free_slots() && self.state.load < share
    }

    /// Returns whether this local endpoint is more than [`MAX_SLOWDOWN`] times slower than one
    /// on another instance, which is then preferred.
    fn is_much_slower(&self, near: &Self) -> bool {
        let response_times = self.state.response_time_us.zip(near.state.response_time_us);
        response_times.is_some_and(|(local, near)| local / MAX_SLOWDOWN > near)
    }

    /// Returns whether the endpoint is expected to respond before another one.
    ///
    /// The load is weighted by the response time if it is known for both endpoints.
    fn responds_before(&self, other: &Self) -> bool {
        let (own, others) = (
            u128::from(self.load_permille()),
            u128::from(other.load_permille()),
        );
        match self
            .state
            .response_time_us
            .zip(other.state.response_time_us)
        {
            Some((response_time, other)) => {
                own * u128::from(response_time) < others * u128::from(other)
            }
            None => own < others,
        }
    }

    /// Returns the load with one more attempt, in thousandths of the slots that slow start allows.
    fn load_permille(&self) -> u64 {
        let slots = u64::from(self.endpoint.slots).max(1);
        let share = (slots * self.state.share_permille).max(1);
        (self.state.load + 1) * MAX_SHARE_PERMILLE * MAX_SHARE_PERMILLE / share
    }
}

/// Returns the better of two distinct random candidates, as given by `responds_before`.
fn better_of_two<'b, 'a: 'b>(
    candidates: impl Iterator<Item = &'b Candidate<'a>>,
    random: u64,
) -> Option<Candidate<'a>> {
    let candidates: Vec<_> = candidates.collect();
    let count = candidates.len() as u64;
    let first = random.checked_rem(count)?;
    let step = 1 + (random >> u32::BITS).checked_rem(count - 1).unwrap_or(0);
    let pick = |index: u64| candidates[usize::try_from(index % count).unwrap_or_default()];
    let (first, second) = (pick(first), pick(first + step));
    Some(if second.responds_before(first) {
        *second
    } else {
        *first
    })
}
