//! Sizes of what is sent, and classes of links.

use lentilshunt_core::{
    dissemination::{Answer, Link},
    routing::Locality,
};
use lentilshunt_schema::peer::Message;

pub(super) fn class(one: &Locality, other: &Locality) -> Link {
    if one.region != other.region {
        Link::OtherRegion
    } else if one.domain != other.domain {
        Link::OtherDomain
    } else {
        Link::SameDomain
    }
}

pub(super) fn message_size(message: &Message) -> usize {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len())
}

pub(super) fn encoded_size(value: &impl serde::Serialize) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}

pub(super) fn answer_size(answer: &Answer) -> usize {
    match answer {
        Answer::Row(row) => row.as_ref().map_or(0, encoded_size),
        Answer::Rows(rows) => encoded_size(rows),
        Answer::Outcome(outcome) => encoded_size(outcome),
        Answer::Object(content) => content.as_ref().map_or(0, Vec::len),
    }
}
