//! A client with one kept connection.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Head, read_chunk, read_head};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// An id that no other attempt has.
pub fn new_attempt() -> String {
    format!(
        "{:016x}",
        0x9c41_d07b_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

#[derive(Debug, Default)]
pub struct Answer {
    /// The status; 0 if none came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer ended with its mark.
    pub is_whole: bool,
    /// Why not.
    pub error: String,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends a request and reads its answer, on the kept connection if there is one.
    pub fn send(&mut self, request: &[u8], wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        let mut answer = Answer::default();
        if let Err(error) = self.exchange(request, until, &mut answer) {
            answer.error = error.to_string();
            self.stream = None;
        } else if answer.head.closes() {
            self.stream = None;
        }
        answer
    }

    fn exchange(
        &mut self,
        request: &[u8],
        until: Instant,
        answer: &mut Answer,
    ) -> std::io::Result<()> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut().unwrap();
        let left = || {
            until
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1))
        };
        reader.get_ref().set_read_timeout(Some(left()))?;
        reader.get_mut().write_all(request)?;
        answer.head =
            read_head(reader)?.ok_or_else(|| crate::http::bad("closed without an answer"))?;
        answer.status = answer.head.status();
        if answer.head.is_chunked() {
            loop {
                reader.get_ref().set_read_timeout(Some(left()))?;
                let chunk = read_chunk(reader)?;
                if chunk.is_empty() {
                    break;
                }
                answer.body.extend(chunk);
            }
        } else {
            answer.body.resize(answer.head.length().unwrap_or(0), 0);
            reader.read_exact(&mut answer.body)?;
        }
        answer.is_whole = true;
        Ok(())
    }
}

/// A request, as the pages have it.
pub fn request(path: &str, attempt: &str, deadline_ms: u64, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: chats.example\r\nMedlarrill-Attempt-Id: {attempt}\r\n\
         Medlarrill-Deadline-Ms: {deadline_ms}\r\nMedlarrill-Credential: key-of-tenant-a\r\n{more}\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
