//! Replaces the key of a request by the name of its organisation.

use std::sync::Arc;

use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};
use lentilshunt_core::{
    organisation::{Directory, Identity, Key, Organisation},
    traffic::Route,
    verdict::Reason,
};

use super::HeaderNames;

/// Returns the organisation that sends a request, if it has a key, and replaces the key in the
/// headers by the organisation's name.
///
/// A name that the caller has set is removed.
///
/// # Errors
///
/// Returns why a request is refused. One without a key is refused unless its route is public, one
/// with a key that no organisation holds on any route.
pub(super) fn authenticate(
    organisations: &Directory,
    route: &Route,
    names: &HeaderNames,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<Organisation>>, Reason> {
    let has_key = presents_key(headers, names.key_scheme);
    let key = read_key(headers, names.key_scheme);
    remove_credentials(names, headers);
    match organisations.identify(key.as_ref()) {
        Identity::Known(organisation) => {
            let name = HeaderValue::try_from(&*organisation.name);
            let name = name.map_err(|_invalid| Reason::OrganisationOmitted)?;
            headers.insert(&names.organisation, name);
            Ok(Some(organisation))
        }
        Identity::Unknown if route.is_public && !has_key => Ok(None),
        Identity::Unknown => Err(Reason::Unauthenticated),
        Identity::Undecidable => Err(Reason::OrganisationOmitted),
    }
}

/// Removes the key and the name of an organisation that a caller has set.
///
/// The upstream gets neither, also from a version that lists no organisations any more.
pub(super) fn remove_credentials(names: &HeaderNames, headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
    headers.remove(&names.organisation);
}

/// Returns whether a request has credentials of the scheme of keys, also if they are malformed.
///
/// Those of another scheme are not meant for the node.
fn presents_key(headers: &HeaderMap, scheme: &str) -> bool {
    headers.get_all(AUTHORIZATION).iter().any(|value| {
        let mut words = value.as_bytes().split(u8::is_ascii_whitespace);
        let presented = words.find(|word| !word.is_empty());
        presented.is_some_and(|presented| presented.eq_ignore_ascii_case(scheme.as_bytes()))
    })
}

/// Returns the key of a request; `None` if there is none, if it is malformed or if there are
/// several.
fn read_key(headers: &HeaderMap, scheme: &str) -> Option<Key> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    let bytes = value.as_bytes().trim_ascii();
    let (presented, rest) = bytes.split_at_checked(scheme.len())?;
    let is_scheme = presented.eq_ignore_ascii_case(scheme.as_bytes());
    let key = rest.strip_prefix(b" ").filter(|_| is_scheme)?;
    Key::new(key.trim_ascii()).ok()
}
