//! A replica: runs requests, whole answers or streams of events, and lists itself in the store.

use std::io::{Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Message, Wire};
use crate::record::{Record, unix_ms};
use crate::store::Store;

/// How a replica works.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Events of a stream.
    pub events: u64,
    /// Time between two events, and of a whole answer.
    pub pace: Duration,
    /// Bytes of a whole answer.
    pub bytes: usize,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            events: 40,
            pace: Duration::from_millis(250),
            bytes: 800,
        }
    }
}

/// A replica on a loopback port.
#[derive(Debug, Clone)]
pub struct Replica(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    id: String,
    version: String,
    service: String,
    address: SocketAddr,
    born: u64,
    seq: AtomicU64,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
    work: Mutex<Work>,
    record: Record,
    store: Store,
}

/// The slots in its entry.
const SLOTS: u64 = 64;

impl Replica {
    /// Starts a replica on a port at hand (0: any); it isn't listed yet.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        version: &str,
        service: &str,
        at: SocketAddr,
        work: Work,
        store: &Store,
        record: &Record,
    ) -> Result<Self> {
        let listener = bind(at)?;
        let inner = Inner {
            id: id.into(),
            version: version.into(),
            service: service.into(),
            address: listener.local_addr()?,
            born: unix_ms(),
            seq: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            running: AtomicU64::new(0),
            work: Mutex::new(work),
            record: record.clone(),
            store: store.clone(),
        };
        let replica = Self(Arc::new(inner));
        let served = replica.clone();
        std::thread::spawn(move || served.accept(&listener));
        replica.0.record.note(&format!(
            "replica {id} ({version}) starts at {}",
            replica.0.address
        ));
        Ok(replica)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Writes its entry.
    pub fn list(&self) {
        let seq = self.0.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.0.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\
             \"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{}}}",
            self.0.service, self.0.address, self.0.version, self.0.born
        );
        self.0.store.put("servers", &self.0.id, Some(spec));
    }

    /// Reports that it will leave.
    pub fn drain(&self) {
        self.0.is_draining.store(true, Ordering::SeqCst);
        self.0
            .record
            .note(&format!("replica {} reports draining", self.0.id));
        self.list();
    }

    /// Ends its process: closes the listener and all connections.
    pub fn end(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which closes then.
        TcpStream::connect(self.0.address).ok();
        for connection in self.0.connections.lock().unwrap().drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
        self.0.record.note(&format!(
            "replica {} ({}) has ended",
            self.0.id, self.0.version
        ));
    }

    /// Removes its entry, as the platform does.
    pub fn unlist(&self) {
        self.0.store.put("servers", &self.0.id, None);
        self.0
            .record
            .note(&format!("entry of replica {} removed", self.0.id));
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_ended() {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.0.connections.lock().unwrap().push(copy);
            }
            let replica = self.clone();
            std::thread::spawn(move || replica.serve(stream));
        }
    }

    fn has_ended(&self) -> bool {
        self.0.has_ended.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(request) = wire.message() {
            if self.has_ended() || self.answer(&mut wire, &request).is_err() {
                break;
            }
        }
        wire.stream.shutdown(Shutdown::Both).ok();
    }

    fn headers(&self, attempt: &str) -> Vec<(&'static str, String)> {
        let running = self.0.running.load(Ordering::SeqCst);
        let mut headers = vec![
            ("Medlarrill-Replica-Id", self.0.id.clone()),
            ("Medlarrill-Replica-Load", format!("{running},0,{SLOTS}")),
            ("Keep-Alive", "timeout=5".to_owned()),
        ];
        if !attempt.is_empty() {
            headers.push(("Medlarrill-Attempt-Id", attempt.to_owned()));
        }
        if self.0.is_draining.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        headers
    }

    fn answer(&self, wire: &mut Wire, request: &Message) -> Result<()> {
        let attempt = request
            .header("medlarrill-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let mut headers = self.headers(&attempt);
        if request.target() == "/health" {
            let status = if self.0.is_draining.load(Ordering::SeqCst) {
                503
            } else {
                200
            };
            return wire.answer(status, &headers, b"");
        }
        let expected = request.header("medlarrill-expect-instance");
        let is_other = expected.is_some_and(|expected| expected != self.0.id);
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let after: u64 = after.unwrap_or(0);
        self.0.record.note(&format!(
            "replica {} ({}) {} {attempt} {} after {after}",
            self.0.id,
            self.0.version,
            if is_other { "turns away (421)" } else { "runs" },
            request.target()
        ));
        if is_other {
            return wire.answer(421, &headers, b"");
        }
        headers.push((
            "Medlarrill-Response-Seal",
            format!("seal.{}.{attempt}", self.0.id),
        ));
        self.0.running.fetch_add(1, Ordering::SeqCst);
        let work = *self.0.work.lock().unwrap();
        let done = match request.target().contains("/stream/") {
            true => self.stream(wire, &headers, work, after),
            false => {
                std::thread::sleep(work.pace);
                let body = vec![b'x'; work.bytes];
                wire.answer(200, &headers, &body)
            }
        };
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn stream(
        &self,
        wire: &mut Wire,
        headers: &[(&str, String)],
        work: Work,
        after: u64,
    ) -> Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        wire.stream.write_all(head.as_bytes())?;
        for number in after + 1..=work.events {
            std::thread::sleep(work.pace);
            let event = format!("id: {number}\ndata: {}@{}\n\n", self.0.version, self.0.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            wire.stream.write_all(chunk.as_bytes())?;
        }
        wire.stream.write_all(b"0\r\n\r\n")
    }
}

/// Binds an address that another process may have used just before.
fn bind(at: SocketAddr) -> Result<TcpListener> {
    let mut last = None;
    for _ in 0..50 {
        match TcpListener::bind(at) {
            Ok(listener) => return Ok(listener),
            Err(error) => last = Some(error),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(last.unwrap())
}
