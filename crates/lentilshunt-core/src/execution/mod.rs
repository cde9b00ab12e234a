//! What became of each request on the executing node.
