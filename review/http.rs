//! HTTP/1.1 on plain sockets: heads, bodies with a length or in chunks, and answers.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// A message that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Wire {
    /// The socket.
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Reads more bytes; an error at the end of the connection.
    fn fill(&mut self) -> Result<()> {
        let mut buffer = [0; 16384];
        match self.stream.read(&mut buffer)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.ahead.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> Result<Message> {
        let end = loop {
            let found = self.ahead.windows(4).position(|part| part == b"\r\n\r\n");
            match found {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let rest = self.ahead.split_off(end + 4);
        let head = std::mem::replace(&mut self.ahead, rest);
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers = lines.filter_map(header).collect();
        Ok(Message {
            line,
            headers,
            body: Vec::new(),
        })
    }

    /// Reads so many bytes.
    pub fn exactly(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill()?;
        }
        let rest = self.ahead.split_off(count);
        Ok(std::mem::replace(&mut self.ahead, rest))
    }

    /// Reads a line without its end.
    pub fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line = self.exactly(end + 1)?;
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the next chunk; empty at the last one.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "no chunk"))?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads a message with its whole body.
    pub fn message(&mut self) -> Result<Message> {
        let mut message = self.head()?;
        if message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            loop {
                let data = self.chunk()?;
                if data.is_empty() {
                    return Ok(message);
                }
                message.body.extend(data);
            }
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        message.body = self.exactly(length.unwrap_or(0))?;
        Ok(message)
    }

    /// Writes a whole response.
    pub fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> Result<()> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.stream.write_all(&all)
    }
}

/// The text of a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
