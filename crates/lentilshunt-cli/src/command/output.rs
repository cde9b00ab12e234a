//! Prints what a command found.

use std::io::{self, ErrorKind, Write};

/// Prints text and a line end, unless nobody reads it any more.
pub(super) fn print(text: &impl ToString) -> io::Result<()> {
    let text = text.to_string();
    let mut output = io::stdout().lock();
    match writeln!(output, "{}", text.trim_end()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written,
    }
}
