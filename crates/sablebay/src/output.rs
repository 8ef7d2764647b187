//! Output that tolerates a closed pipe, as in `sablebay status | head`.

use std::io::{ErrorKind, Write};

/// Writes to standard output; ignores a closed pipe.
pub fn print(text: &str) {
    let mut output = std::io::stdout().lock();
    let printed = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    if let Err(error) = printed {
        // A closed pipe is no failure: the reader needs no further output.
        if error.kind() != ErrorKind::BrokenPipe {
            eprintln!("sablebay: cannot write to standard output: {error}");
        }
    }
}

/// Like [`print`], followed by a newline.
pub fn print_line(text: &str) {
    print(&format!("{text}\n"));
}
