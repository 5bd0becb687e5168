//! A replica as a process of its own: writes its entry, runs requests, prints what it runs.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, bad, read_body, read_head, write_message};
use crate::json::{Json, number, object, text};
use crate::processes;
use crate::record::Record;
use crate::store::HEARTBEAT;

/// What each event of a stream says besides: the sheets' pieces have 60 bytes in the mean and 360 at most.
const PIECE: &str = "a sentence of the answer that goes on for some hundred bytes, as a piece of a chat may do in the end";

/// What a replica is and how it behaves.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub slots: u64,
    /// Time until the answer of a plain request, or the first event of a stream.
    pub work_ms: u64,
    /// Events of a stream; 0 for a plain service.
    pub events: u64,
    pub gap_ms: u64,
    /// Each so many answers are followed by a second one, late; 0 for none.
    pub extra_each: u64,
    /// From when to when that is so, in ms since the start of the process.
    pub extra_from_ms: u64,
    pub extra_to_ms: u64,
    /// Whether streams come with neither chunks nor a length, and end with their connection.
    pub ends_by_close: u64,
}

impl Plan {
    fn arguments(&self) -> Vec<String> {
        let Plan {
            id,
            service,
            zone,
            version,
            address,
            store,
            slots,
            work_ms,
            events,
            gap_ms,
            extra_each,
            extra_from_ms,
            extra_to_ms,
            ends_by_close,
        } = self;
        let texts = [id, service, zone, version].map(Clone::clone);
        let numbers = [
            slots,
            work_ms,
            events,
            gap_ms,
            extra_each,
            extra_from_ms,
            extra_to_ms,
            ends_by_close,
        ]
        .map(u64::to_string);
        texts
            .into_iter()
            .chain([address.to_string(), store.to_string()])
            .chain(numbers)
            .collect()
    }

    fn read(arguments: &[String]) -> Self {
        let number = |at: usize| arguments[at].parse().expect("a number");
        Self {
            id: arguments[0].clone(),
            service: arguments[1].clone(),
            zone: arguments[2].clone(),
            version: arguments[3].clone(),
            address: arguments[4].parse().expect("an address"),
            store: arguments[5].parse().expect("an address"),
            slots: number(6),
            work_ms: number(7),
            events: number(8),
            gap_ms: number(9),
            extra_each: number(10),
            extra_from_ms: number(11),
            extra_to_ms: number(12),
            ends_by_close: number(13),
        }
    }
}

/// One line that a replica printed: an attempt, and what became of it.
#[derive(Clone, Debug)]
pub struct Ran {
    pub replica: String,
    pub attempt: String,
}

/// All that replicas began to run.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Ran>>>);

impl Runs {
    pub fn by_attempt(&self) -> HashMap<String, Vec<Ran>> {
        let mut runs: HashMap<String, Vec<Ran>> = HashMap::new();
        for ran in self.0.lock().unwrap().iter() {
            runs.entry(ran.attempt.clone())
                .or_default()
                .push(ran.clone());
        }
        runs
    }
}

/// A replica that this program started.
pub struct Replica {
    pub plan: Plan,
    child: Child,
}

impl Replica {
    pub fn start(plan: Plan, runs: &Runs, record: &Record) -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .arg("replica")
            .args(plan.arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a replica doesn't start");
        processes::started(&child);
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let (runs, record, started) = (runs.clone(), record.clone(), plan.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!(
                    "replica {} ({}): {line}",
                    started.id, started.version
                ));
                if let Some(attempt) = line.strip_prefix("runs ") {
                    let attempt = attempt.split(' ').next().unwrap_or_default().to_owned();
                    runs.0.lock().unwrap().push(Ran {
                        replica: started.id.clone(),
                        attempt,
                    });
                }
            }
        });
        Self { plan, child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        processes::end(&mut self.child);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Server {
    plan: Plan,
    born: u64,
    running: AtomicU64,
    answers: AtomicU64,
}

/// The process itself.
pub fn run(arguments: &[String]) {
    let plan = Plan::read(arguments);
    let listener = TcpListener::bind(plan.address).expect("the replica can't listen");
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let server = Arc::new(Server {
        plan,
        born,
        running: AtomicU64::new(0),
        answers: AtomicU64::new(0),
    });
    std::thread::spawn(|| {
        // The driver holds the other end, and has ended once it is closed.
        std::io::copy(&mut std::io::stdin(), &mut std::io::sink()).ok();
        std::process::exit(0);
    });
    let beating = Arc::clone(&server);
    std::thread::spawn(move || beating.beat());
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        std::thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    /// Writes its entry at once and at each heartbeat.
    fn beat(&self) {
        let plan = &self.plan;
        for seq in 1.. {
            let entry = object(vec![
                ("service", text(&plan.service)),
                ("address", text(plan.address)),
                ("zone", text(&plan.zone)),
                ("version", text(&plan.version)),
                ("slots", number(plan.slots)),
                ("state", text("ready")),
                ("cold_remaining_ms", number(0)),
                ("seq", number(seq)),
                ("born", number(self.born)),
            ]);
            let written = TcpStream::connect_timeout(&plan.store, Duration::from_millis(300))
                .and_then(|mut stream| {
                    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
                    let line = format!("PUT /objects/servers/{}?beat=1 HTTP/1.1", plan.id);
                    let headers = [
                        ("Host", plan.store.to_string()),
                        ("Connection", "close".to_owned()),
                    ];
                    write_message(&mut stream, &line, &headers, entry.write().as_bytes())?;
                    read_head(&mut BufReader::new(stream)).map(|head| head.is_some())
                });
            if seq == 1 || !written.as_ref().is_ok_and(|written| *written) {
                println!(
                    "entry {seq} written: {}",
                    written.is_ok_and(|written| written)
                );
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn spoils_now(&self) -> bool {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        (self.plan.extra_from_ms..self.plan.extra_to_ms).contains(&(now - self.born))
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        format!("{running},0,{}", self.plan.slots)
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut owes_extra = false;
        while let Ok(Some(head)) = read_head(&mut reader) {
            if owes_extra {
                println!("sends additional bytes after its answer before, late");
                let line = "HTTP/1.1 503 Service Unavailable";
                let headers = [("Medlarrill-Not-Executed", "1".to_owned())];
                write_message(&mut stream, line, &headers, b"").ok();
                owes_extra = false;
            }
            let Ok(body) = read_body(&mut reader, &head) else {
                return;
            };
            let kept = match head.target() {
                "/health" => self.answer_plain(&mut stream, &[], b"ok"),
                "/report" => self.answer_plain(&mut stream, &[], self.report().write().as_bytes()),
                _ => {
                    let kept = self.handle(&mut stream, &head, &body);
                    let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
                    owes_extra = self.plan.extra_each > 0
                        && count % self.plan.extra_each == 0
                        && self.spoils_now();
                    kept
                }
            };
            if kept.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> Json {
        object(vec![
            ("stage", text("both")),
            ("born", number(self.born)),
            ("busy", Json::Bool(false)),
        ])
    }

    fn answer_plain(
        &self,
        stream: &mut TcpStream,
        more: &[(&str, String)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut headers = vec![
            ("Medlarrill-Replica-Id", self.plan.id.clone()),
            ("Medlarrill-Replica-Load", self.load()),
        ];
        headers.extend_from_slice(more);
        write_message(stream, "HTTP/1.1 200 OK", &headers, body)
    }

    fn handle(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let attempt = head
            .get("medlarrill-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let expected = head.get("medlarrill-expect-instance");
        if expected.is_some_and(|id| id != self.plan.id) {
            let headers = [
                ("Medlarrill-Replica-Id", self.plan.id.clone()),
                ("Medlarrill-Attempt-Id", attempt),
            ];
            return write_message(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if self.running.load(Ordering::Relaxed) >= self.plan.slots {
            let headers = [
                ("Medlarrill-Not-Executed", "1".to_owned()),
                ("Medlarrill-Attempt-Id", attempt),
            ];
            return write_message(stream, "HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let result = match self.plan.events {
            0 => self.run_plain(stream, &attempt, body.len()),
            _ => self.run_stream(stream, head, &attempt, body.len()),
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn seal(&self, attempt: &str) -> (&'static str, String) {
        (
            "Medlarrill-Response-Seal",
            format!("{}.{attempt}", self.plan.id),
        )
    }

    fn run_plain(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        length: usize,
    ) -> std::io::Result<()> {
        println!("runs {attempt} ({length} bytes)");
        std::thread::sleep(Duration::from_millis(self.plan.work_ms));
        let body = format!("{{\"attempt\":\"{attempt}\",\"by\":\"{}\"}}", self.plan.id);
        let headers = [
            ("Medlarrill-Attempt-Id", attempt.to_owned()),
            self.seal(attempt),
        ];
        self.answer_plain(stream, &headers, body.as_bytes())
    }

    fn run_stream(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        attempt: &str,
        length: usize,
    ) -> std::io::Result<()> {
        let last: u64 = head
            .get("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        std::thread::sleep(Duration::from_millis(self.plan.work_ms));
        println!("runs {attempt} from event {} ({length} bytes)", last + 1);
        let (seal, value) = self.seal(attempt);
        let ends_by_close = self.plan.ends_by_close == 1;
        let framing = match ends_by_close {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             Medlarrill-Attempt-Id: {attempt}\r\n{seal}: {value}\r\nMedlarrill-Replica-Load: {}\r\n\r\n",
            self.load()
        );
        stream.write_all(head.as_bytes())?;
        for event in last + 1..=self.plan.events {
            let text = format!(
                "id: {event}\ndata: {} {} piece {event} {PIECE}\n\n",
                self.plan.version, self.plan.id
            );
            let bytes = match ends_by_close {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            let written = stream.write_all(bytes.as_bytes());
            if let Err(error) = written {
                println!("stops {attempt} at event {event}: {error}");
                return Err(error);
            }
            std::thread::sleep(Duration::from_millis(self.plan.gap_ms));
        }
        println!("ends {attempt}");
        match ends_by_close {
            true => Err(bad("the end of the connection ends the answer")),
            false => stream.write_all(b"0\r\n\r\n"),
        }
    }
}
