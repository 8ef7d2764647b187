//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A parsed request or response head with its body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. Fails when the connection ends before the message is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let mut message = Message { first_line: first_line.trim_end().to_string(), headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(message)
}
