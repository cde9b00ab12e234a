//! Reads the inventory and the rules that operators write.

mod compiler;
mod item;

pub use compiler::compile;

/// One file of an inventory or of rules.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name by which problems refer to the file.
    pub name: &'a str,
    /// Content of the file.
    pub bytes: &'a [u8],
}
