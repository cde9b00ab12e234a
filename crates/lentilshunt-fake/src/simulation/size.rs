//! Encoded sizes of messages, and link classes.

use lentilshunt_core::{
    dissemination::{LinkClass, PlatformResponse},
    routing::Locality,
};
use lentilshunt_schema::peer::Message;

pub(super) fn link_class(from: &Locality, to: &Locality) -> LinkClass {
    if from.region != to.region {
        LinkClass::OtherRegion
    } else if from.domain != to.domain {
        LinkClass::OtherDomain
    } else {
        LinkClass::SameDomain
    }
}

pub(super) fn message_size(message: &Message) -> usize {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len())
}

pub(super) fn encoded_size(value: &impl serde::Serialize) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}

pub(super) fn response_size(response: &PlatformResponse) -> usize {
    match response {
        PlatformResponse::Row(row) => row.as_ref().map_or(0, encoded_size),
        PlatformResponse::Rows(rows) => encoded_size(rows),
        PlatformResponse::Outcome(outcome) => encoded_size(outcome),
        PlatformResponse::Object(content) => content.as_ref().map_or(0, Vec::len),
    }
}
