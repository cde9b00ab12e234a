//! Which requests an upstream takes, and in which order.
