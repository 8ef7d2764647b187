//! Printing that ends quietly when nobody reads on, as in `sablebay status | head`.

use std::io::{ErrorKind, Write};

/// Prints a text on standard output.
pub fn print(text: &str) {
    let mut output = std::io::stdout().lock();
    let printed = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    if let Err(error) = printed {
        // A reader that is gone is the end of the printing; for anything else there is a word.
        if error.kind() != ErrorKind::BrokenPipe {
            eprintln!("sablebay: the output cannot be written: {error}");
        }
    }
}

/// Prints a text and a line end.
pub fn print_line(text: &str) {
    print(&format!("{text}\n"));
}
