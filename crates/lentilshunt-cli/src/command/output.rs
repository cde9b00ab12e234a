//! Output of command results.

use std::io::{self, ErrorKind, Write};

/// Prints text and a line break; a closed pipe is not an error.
pub(super) fn print(text: &impl ToString) -> io::Result<()> {
    let text = text.to_string();
    let mut output = io::stdout().lock();
    match writeln!(output, "{}", text.trim_end()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written,
    }
}
