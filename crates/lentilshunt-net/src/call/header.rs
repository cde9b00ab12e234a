//! Names of the headers that lentilshunt reads and writes.

/// Header names of calls, replies and attempts.
#[derive(Debug)]
pub struct Header;

impl Header {
    /// Start of the names of all headers of lentilshunt.
    pub const PREFIX: &'static str = "lentilshunt-";
    /// Caller of a request, as the rules name it.
    pub const CALLER: &'static str = "lentilshunt-caller";
    /// Milliseconds that remain until the deadline of a request.
    pub const DEADLINE: &'static str = "lentilshunt-deadline-ms";
    /// Wall-clock deadline in microseconds since the Unix epoch; between nodes only.
    pub const EXPIRES: &'static str = "lentilshunt-expires-us";
    /// Start of the node that an attempt is sent to; between nodes only.
    pub const INCARNATION: &'static str = "lentilshunt-incarnation";
    /// Key by which a caller marks repeats of a request.
    pub const KEY: &'static str = "idempotency-key";
    /// Whether the request may run more than once; between nodes only.
    pub const IDEMPOTENT: &'static str = "lentilshunt-idempotent";
    /// Why a request was refused.
    pub const REASON: &'static str = "lentilshunt-reason";
    /// Id of a call.
    pub const REQUEST: &'static str = "lentilshunt-request";
    /// Free slots of the executing node; between nodes only.
    pub const FREE_SLOTS: &'static str = "lentilshunt-room";
    /// Marks a request that its caller has sent before without learning its outcome.
    pub const RESEND: &'static str = "lentilshunt-resend";
    /// Service of a request.
    pub const SERVICE: &'static str = "lentilshunt-service";
    /// Whether a request may have run.
    pub const VERDICT: &'static str = "lentilshunt-verdict";
    /// Configuration version of the sender; between nodes only.
    pub const VERSION: &'static str = "lentilshunt-version";
}
