//! The little of HTTP/1.1 that the stand-ins and clients need, on blocking sockets.

use std::{
    io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers in their order.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A lost option only delays small messages.
        let _ignored = stream.set_nodelay(true);
        Self { reader: BufReader::new(stream) }
    }

    /// Connects to an address; reads give up after `patience`.
    pub fn open(address: SocketAddr, patience: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self::new(stream))
    }

    /// Returns another handle of the socket.
    pub fn stream(&self) -> Result<TcpStream> {
        self.reader.get_ref().try_clone()
    }

    /// Reads a message; an end before its first byte is an error as well.
    pub fn read(&mut self, is_response: bool) -> Result<Message> {
        let start = self.line()?;
        let mut message = Message { start, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid("chunk"))?;
                let mut chunk = vec![0; size];
                self.reader.read_exact(&mut chunk)?;
                message.body.extend(chunk);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        match message.header("content-length").parse::<usize>() {
            Ok(length) => {
                message.body = vec![0; length];
                self.reader.read_exact(&mut message.body)?;
            }
            Err(_) if is_response => {
                self.reader.read_to_end(&mut message.body)?;
            }
            Err(_) => {}
        }
        Ok(message)
    }

    /// Writes a message whose body has a length.
    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<()> {
        let mut bytes = format!("{start}\r\n");
        for (name, value) in headers {
            bytes += &format!("{name}: {value}\r\n");
        }
        bytes += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = bytes.into_bytes();
        bytes.extend(body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Writes a large message in parts, one each tenth of a second.
    pub fn write_in_parts(
        &mut self,
        start: &str,
        headers: &[(&str, &str)],
        part_bytes: usize,
        parts: usize,
    ) -> Result<()> {
        let mut head = format!("{start}\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", part_bytes * parts);
        self.reader.get_mut().write_all(head.as_bytes())?;
        for _ in 0..parts {
            self.reader.get_mut().write_all(&vec![b'x'; part_bytes])?;
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "closed"));
        }
        Ok(line.trim_end().to_owned())
    }
}

fn invalid(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, what)
}
