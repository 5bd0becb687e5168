//! The project's daemons as processes, with the command of the deploy file.

use std::fs::File;
use std::io::{Result, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Wire;
use crate::record::Record;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/medlarrilld";

/// A daemon, running or not.
#[derive(Debug)]
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Its address on loopback.
    pub ip: IpAddr,
    ports: Ports,
    platform: SocketAddr,
    seeds: Vec<SocketAddr>,
    grace_s: u64,
    child: Option<Child>,
    folder: PathBuf,
    record: Record,
}

/// Ports that all daemons share.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    first: u16,
    last: u16,
}

impl Ports {
    /// Ports that are free on all of these addresses.
    pub fn free(ips: &[IpAddr]) -> Result<Self> {
        let mut found = Vec::new();
        while found.len() < 5 {
            let port = TcpListener::bind((ips[0], 0))?.local_addr()?.port();
            let is_free = |ip: &IpAddr| TcpListener::bind((*ip, port)).is_ok();
            if ips.iter().all(is_free) && !found.contains(&port) {
                found.push(port);
            }
        }
        Ok(Self {
            front: found[0],
            ready: found[1],
            control: found[2],
            first: found[3],
            last: found[4],
        })
    }
}

impl Daemon {
    /// A daemon that isn't started yet.
    pub fn new(
        number: usize,
        ips: &[IpAddr],
        ports: Ports,
        platform: SocketAddr,
        folder: &std::path::Path,
        record: &Record,
    ) -> Self {
        let seeds = ips
            .iter()
            .take(3)
            .map(|ip| SocketAddr::new(*ip, ports.control))
            .collect();
        Self {
            name: format!("front-{}", number + 1),
            ip: ips[number],
            ports,
            platform,
            seeds,
            grace_s: 8,
            child: None,
            folder: folder.to_owned(),
            record: record.clone(),
        }
    }

    /// Where clients reach it.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.front)
    }

    /// The settings file, as the platform fills in the template of the deploy file.
    fn settings(&self, is_first: bool) -> String {
        let (ip, ports) = (self.ip, self.ports);
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let first = if is_first {
            "\"first-start\": true,"
        } else {
            ""
        };
        format!(
            "{{\"daemon\":\"{}\",\"data-centre\":\"zone-a\",\"listen\":{{\"callers\":\"{ip}:{}\",\
             \"ready\":\"{ip}:{}\",\"metrics\":\"{ip}:{}\",\"peers\":\"{ip}:{}\"}},\"seeds\":[{}],\
             \"platform\":\"{}\",{first}\"link\":\"1000.0Mbit/s\",\"files\":4100,\"drains\":false,\
             \"grace\":\"{}s\",\"repeats\":{{\"ratio\":0.2,\"window\":\"10s\",\"slack\":58}}}}\n",
            self.name,
            ports.front,
            ports.ready,
            ports.last,
            ports.first,
            seeds.join(","),
            self.platform,
            self.grace_s
        )
    }

    /// Starts the process.
    pub fn start(&mut self, is_first: bool) -> Result<()> {
        let path = self.folder.join(format!("{}.conf", self.name));
        File::create(&path)?.write_all(self.settings(is_first).as_bytes())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(PROGRAM)
            .args(["route", "--settings"])
            .arg(&path)
            .env("MEDLARRILL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(&format!(
            "{} starts at {}, process {}",
            self.name,
            self.front(),
            child.id()
        ));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            self.record.note(&format!("{} killed", self.name));
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let line = format!("kill -{name} {}", child.id());
            let sent = Command::new("sh").args(["-c", &line]).status();
            let is_sent = sent.is_ok_and(|status| status.success());
            self.record
                .note(&format!("{} gets SIG{name}: {is_sent}", self.name));
        }
    }

    /// The answer to a readiness check; 0 if there is none.
    pub fn ready(&self) -> u16 {
        let address = SocketAddr::new(self.ip, self.ports.ready);
        let wait = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, wait) else {
            return 0;
        };
        stream.set_read_timeout(Some(wait)).ok();
        if stream
            .write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            .is_err()
        {
            return 0;
        }
        Wire::new(stream)
            .head()
            .map(|head| head.status())
            .unwrap_or_default()
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while Instant::now() < until {
            if self.ready() == 200 {
                self.record.note(&format!("{} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}
