//! Type aliases for identifiers.

use std::sync::Arc;

/// Name of a caller, as the configuration lists it.
pub type CallerId = String;

/// Name of a failure domain, unique in an inventory.
pub type DomainId = String;

/// Name of an instance, unique in the fleet.
pub type InstanceId = String;

/// Key with which a caller marks repeats of the same request.
pub type IdempotencyKey = String;

/// Id of one operator's attempt to accept a version.
pub type OperationId = String;

/// Name of an organisation, unique in a version of the rules.
pub type OrganisationId = Arc<str>;

/// Name of a region, unique in an inventory.
pub type RegionId = String;

/// Id of a call, assigned by a node or taken from the request; all attempts of the
/// call carry it.
pub type RequestId = String;

/// Name of a service, unique in an inventory.
pub type ServiceId = String;

/// Number of an accepted configuration; starts at 1 and only increases.
pub type VersionId = u64;

/// Hexadecimal BLAKE3 hash of encoded content or of a request.
pub type Digest = String;

/// Start time of a process, in microseconds since the Unix epoch.
pub type Incarnation = u64;
