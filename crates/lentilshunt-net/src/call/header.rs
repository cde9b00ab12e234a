//! Names of the HTTP headers of lentilshunt.

/// Header names of calls, attempts and replies.
#[derive(Debug)]
pub struct Header;

impl Header {
    /// Prefix of all header names of lentilshunt.
    pub const PREFIX: &'static str = "lentilshunt-";
    /// Caller of a request, by its name in the rules.
    pub const CALLER: &'static str = "lentilshunt-caller";
    /// Milliseconds until the deadline of a request.
    pub const DEADLINE: &'static str = "lentilshunt-deadline-ms";
    /// Wall-clock deadline in microseconds since the Unix epoch; sent between nodes only.
    pub const EXPIRES: &'static str = "lentilshunt-expires-us";
    /// Incarnation of the node that an attempt is sent to; sent between nodes only.
    pub const INCARNATION: &'static str = "lentilshunt-incarnation";
    /// Idempotency key, which is the same for every repeat of a request.
    pub const KEY: &'static str = "idempotency-key";
    /// Whether the request may run more than once; sent between nodes only.
    pub const IDEMPOTENT: &'static str = "lentilshunt-idempotent";
    /// Reason why a request was refused or its outcome is unknown.
    pub const REASON: &'static str = "lentilshunt-reason";
    /// Request id of a call.
    pub const REQUEST: &'static str = "lentilshunt-request";
    /// Free slots of the executing node; sent between nodes only.
    pub const FREE_SLOTS: &'static str = "lentilshunt-room";
    /// Marks a request that its caller repeats because the outcome is unknown.
    pub const RESEND: &'static str = "lentilshunt-resend";
    /// Service that a request calls.
    pub const SERVICE: &'static str = "lentilshunt-service";
    /// Verdict on whether a request has run.
    pub const VERDICT: &'static str = "lentilshunt-verdict";
    /// Configuration version of the sender; sent between nodes only.
    pub const VERSION: &'static str = "lentilshunt-version";
}
