//! Starts daemons as the deploy file says: its command, with settings from its template.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::json::{Json, number, object, text};
use crate::processes;

/// A port that is free on all of these addresses.
fn free_port(addresses: &[Ipv4Addr], taken: &[u16]) -> u16 {
    for _ in 0..200 {
        let any = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = any.local_addr().unwrap().port();
        drop(any);
        let is_free = |ip: &Ipv4Addr| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        if !taken.contains(&port) && addresses.iter().all(is_free) {
            return port;
        }
    }
    panic!("no free port");
}

/// An address on which nobody listens.
pub fn free_address(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, free_port(&[ip], &[])))
}

/// Fills in a template: values, sections and inverted sections, as DEPLOY.md has them.
fn fill(template: &str, fields: &Json) -> String {
    let Some(start) = template.find("{{") else {
        return template.to_owned();
    };
    let (before, rest) = template.split_at(start);
    let end = rest.find("}}").expect("a placeholder without end");
    let (name, after) = (&rest[2..end], &rest[end + 2..]);
    let head = before.to_owned();
    if let Some(section) = name.strip_prefix(['#', '^']) {
        let close = format!("{{{{/{section}}}}}");
        let at = after.find(&close).expect("a section without end");
        let value = fields.at(section);
        let is_there = value.is_some_and(|value| !matches!(value, Json::Null | Json::Bool(false)));
        let inner = if is_there == name.starts_with('#') {
            fill(&after[..at], fields)
        } else {
            String::new()
        };
        return head + &inner + &fill(&after[at + close.len()..], fields);
    }
    let (path, is_json) = match name.split_once('|') {
        Some((path, _)) => (path, true),
        None => (name, false),
    };
    let (base, index) = match path.rsplit_once('.') {
        Some((base, index)) if index.parse::<usize>().is_ok() => {
            (base, index.parse::<usize>().ok())
        }
        _ => (path, None),
    };
    let value = fields.at(base);
    let value = match (value, index) {
        (Some(Json::List(values)), Some(index)) => values.get(index),
        (value, _) => value,
    };
    let shown = match (value, is_json) {
        (None, _) => String::new(),
        (Some(value), true) => value.write(),
        (Some(Json::Text(value)), false) => value.clone(),
        (Some(value), false) => value.write(),
    };
    head + &shown + &fill(after, fields)
}

pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts one daemon in each of so many zones. `net` is the second byte of their addresses.
    pub fn start(count: u8, net: u8, store: SocketAddr, memory_mb: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("no temporary folder");
        let ips: Vec<Ipv4Addr> = (1..=count).map(|n| Ipv4Addr::new(127, net, n, 1)).collect();
        let mut ports = Vec::new();
        for _ in 0..5 {
            ports.push(free_port(&ips, &ports));
        }
        let at = |ip: &Ipv4Addr, port: usize| text(SocketAddr::from((*ip, ports[port])));
        let template = std::fs::read_to_string("deploy/router.jsonc").expect("deploy/router.jsonc");
        let seeds: Vec<Json> = ips.iter().map(|ip| at(ip, 2)).collect();
        let daemons = ips.iter().enumerate().map(|(n, ip)| {
            let zone = format!("zone-{}", (b'a' + n as u8) as char);
            let fields = object(vec![
                ("node_name", text(format!("front-{zone}-1"))),
                ("zone", text(&zone)),
                ("ip", text(ip)),
                (
                    "listen",
                    object(vec![
                        ("front", at(ip, 0)),
                        ("ready_address", at(ip, 1)),
                        ("control", at(ip, 2)),
                    ]),
                ),
                (
                    "internal_ports",
                    Json::List(vec![number(ports[3].into()), number(ports[4].into())]),
                ),
                ("seeds", Json::List(seeds.clone())),
                ("bootstrap", Json::Bool(true)),
                (
                    "limits",
                    object(vec![
                        ("memory_mb", number(memory_mb)),
                        ("max_fds", number(4100)),
                        ("link_mbps", Json::Number(1000.0)),
                    ]),
                ),
                (
                    "bounds",
                    object(vec![
                        ("grace_s", number(8)),
                        ("retry_budget_ratio", Json::Number(0.2)),
                        ("retry_window_s", number(10)),
                        ("retry_budget_slack", number(58)),
                    ]),
                ),
                ("platform", object(vec![("address", text(store))])),
            ]);
            let settings = folder.join(format!("front-{n}.conf"));
            std::fs::write(&settings, fill(&template, &fields)).expect("settings");
            Daemon {
                name: format!("front-{zone}-1"),
                callers: SocketAddr::from((*ip, ports[0])),
                ready: SocketAddr::from((*ip, ports[1])),
                log: folder.join(format!("front-{n}.log")),
                settings,
                child: None,
            }
        });
        let mut fleet = Self {
            daemons: daemons.collect(),
            folder,
        };
        for daemon in &mut fleet.daemons {
            daemon.start();
        }
        fleet
    }

    /// Waits until all daemons say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.daemons.iter().all(Daemon::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Copies the daemons' logs to a folder, for a look after a run.
    pub fn keep_logs(&self) {
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            for daemon in &self.daemons {
                std::fs::copy(
                    &daemon.log,
                    Path::new(&kept).join(format!("{}.log", daemon.name)),
                )
                .ok();
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        self.keep_logs();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

impl Daemon {
    /// `run` of deploy/system.toml, with the path of its own settings.
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new("target/release/medlarrilld")
            .args(["route", "--settings"])
            .arg(&self.settings)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child.expect("target/release/medlarrilld doesn't start");
        processes::started(&child);
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            processes::end(&mut child);
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .ok();
        let request = format!(
            "GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        let mut answer = [0; 12];
        std::io::Write::write_all(&mut stream, request.as_bytes()).is_ok()
            && std::io::Read::read_exact(&mut stream, &mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// Resident memory in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kb: u64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse().ok())
            .unwrap_or(0);
        kb / 1024
    }
}
