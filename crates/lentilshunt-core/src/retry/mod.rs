//! Whether a call may be tried again.
