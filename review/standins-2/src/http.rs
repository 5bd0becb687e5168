//! HTTP/1.1 over blocking sockets: heads, bodies with a length or in chunks.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

pub fn bad(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text)
}

/// Reads a head; none if the peer closed the connection before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(bad("the head ended early")),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; empty at the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(bad("the chunks ended early"));
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| bad("no chunk"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok(data)
}

/// Reads the body of a request.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    body.resize(head.length().unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a message with a body of known length.
pub fn write_message(
    stream: &mut TcpStream,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<()> {
    let mut out = format!("{line}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
