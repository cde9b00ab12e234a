//! Chooses near endpoints with room, by what the node itself has seen.

use std::sync::Arc;

use super::{Availability, Choice, Place, Policy, Selection, Standing, observation::WHOLE};
use crate::membership::Endpoint;

/// Distance of endpoints in other regions.
const AWAY: usize = Place::DISTANCES - 1;
/// Part of the slots of the own region that must be free before calls come back to it.
const RETURN_PART: i64 = 4;

/// Times by which the own endpoint may be slower than one in the failure domain.
const SLOWER: u32 = 2;

/// Prefers the own instance, failure domain and region while they have room.
///
/// Calls go to another region only when no nearer endpoint has predicted room,
/// and come back when a part of the near slots is free again. Within a tier, of
/// two random endpoints the one is chosen that has less load for its speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Local;

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    endpoint: &'a Arc<Endpoint>,
    distance: usize,
    standing: Standing,
}

impl Policy for Local {
    fn choose(&self, selection: &Selection<'_>) -> Choice {
        let candidates = candidates(selection);
        if candidates.is_empty() {
            return Choice::Absent;
        }
        let open: Vec<_> = candidates
            .into_iter()
            .filter(|candidate| candidate.standing.availability != Availability::Full)
            .collect();
        let chosen = near(selection, &open)
            .or_else(|| away(selection, &open))
            .or_else(|| queue(selection, &open));
        chosen.map_or(Choice::Full, |candidate| {
            Choice::Endpoint(Arc::clone(candidate.endpoint))
        })
    }
}

/// Returns the untried endpoints that are neither draining nor ejected.
///
/// When all are ejected, the observations say more about this node than about
/// the endpoints, so all are returned.
fn candidates<'a>(selection: &Selection<'a>) -> Vec<Candidate<'a>> {
    let endpoints = selection.route.endpoints();
    let standings = selection.observations.standings(endpoints, selection.now);
    let tiers = selection.route.tiers.iter().enumerate();
    let distances = tiers.flat_map(|(distance, tier)| std::iter::repeat_n(distance, tier.len()));
    let mut candidates: Vec<_> = standings
        .into_iter()
        .zip(distances)
        .map(|((endpoint, standing), distance)| Candidate {
            endpoint,
            distance,
            standing,
        })
        .filter(|candidate| selection.is_untried(candidate.endpoint))
        .filter(|candidate| candidate.standing.availability != Availability::Draining)
        .collect();
    let is_ejected =
        |candidate: &Candidate<'_>| candidate.standing.availability == Availability::Ejected;
    if !candidates.iter().all(is_ejected) {
        candidates.retain(|candidate| !is_ejected(candidate));
    }
    candidates
}

/// Chooses in the nearest tier of the own region with room.
fn near<'a>(selection: &Selection<'_>, open: &[Candidate<'a>]) -> Option<Candidate<'a>> {
    let home = || open.iter().filter(|candidate| candidate.distance < AWAY);
    let room: i64 = home().map(Candidate::room).sum();
    let slots: i64 = home().map(Candidate::slots).sum();
    let spilled = selection
        .observations
        .is_spilled(selection.service, selection.now);
    let needed = if spilled { slots / RETURN_PART } else { 0 }.max(1);
    if room < needed {
        return None;
    }
    let is_usable = [Candidate::has_warm_room, Candidate::has_room];
    is_usable.into_iter().find_map(|is_usable| {
        let tier = |distance| {
            let tier = home().filter(move |candidate| candidate.distance == distance);
            better_of_two(
                tier.filter(|candidate| is_usable(candidate)),
                selection.random,
            )
        };
        let own = tier(0).map(|own| match tier(1) {
            Some(near) if own.is_slower(&near) => near,
            _ => own,
        });
        own.or_else(|| (1..AWAY).find_map(tier))
    })
}

/// Chooses among the endpoints of other regions with room.
fn away<'a>(selection: &Selection<'_>, open: &[Candidate<'a>]) -> Option<Candidate<'a>> {
    let away = open
        .iter()
        .filter(|candidate| candidate.distance == AWAY && candidate.has_room());
    let chosen = better_of_two(away, selection.random)?;
    let has_home = open.iter().any(|candidate| candidate.distance < AWAY);
    if has_home {
        selection
            .observations
            .spill(selection.service, selection.now);
    }
    Some(chosen)
}

/// Chooses where to wait for a slot: in the own region if it has an endpoint.
fn queue<'a>(selection: &Selection<'_>, open: &[Candidate<'a>]) -> Option<Candidate<'a>> {
    let home = open.iter().filter(|candidate| candidate.distance < AWAY);
    better_of_two(home, selection.random).or_else(|| better_of_two(open.iter(), selection.random))
}

impl Candidate<'_> {
    fn slots(&self) -> i64 {
        i64::from(self.endpoint.slots)
    }

    fn room(&self) -> i64 {
        self.standing.room.max(0)
    }

    fn has_room(&self) -> bool {
        self.standing.room > 0
    }

    /// Returns whether there is room in the share that a starting endpoint gets.
    fn has_warm_room(&self) -> bool {
        let slots = u64::from(self.endpoint.slots);
        let share = (slots * self.standing.warmth / WHOLE).max(1);
        self.has_room() && self.standing.load < share
    }

    /// Returns whether the own endpoint answers so late that another machine is worth the way.
    fn is_slower(&self, near: &Self) -> bool {
        let responses = self.standing.response_us.zip(near.standing.response_us);
        responses.is_some_and(|(own, near)| own / SLOWER > near)
    }

    /// Returns whether the endpoint is expected to answer before another one.
    ///
    /// Load counts by how long the endpoints take, where that is known of both.
    fn is_better(&self, other: &Self) -> bool {
        let (own, others) = (u128::from(self.burden()), u128::from(other.burden()));
        match self.standing.response_us.zip(other.standing.response_us) {
            Some((response, other)) => own * u128::from(response) < others * u128::from(other),
            None => own < others,
        }
    }

    /// Returns the load as a part of the warm slots, in thousandths.
    fn burden(&self) -> u64 {
        let slots = u64::from(self.endpoint.slots).max(1);
        let share = (slots * self.standing.warmth).max(1);
        (self.standing.load + 1) * WHOLE * WHOLE / share
    }
}

/// Returns the one of two different random candidates that is expected to answer first.
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
    Some(if second.is_better(first) {
        *second
    } else {
        *first
    })
}
