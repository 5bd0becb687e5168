//! The processes that this program started. None of them outlives it.

use std::process::{Child, Command};
use std::sync::Mutex;
use std::time::Duration;

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

pub fn started(child: &Child) {
    STARTED.lock().unwrap().push(child.id());
}

/// Kills a process that this program started, and waits for its end.
pub fn end(child: &mut Child) {
    let mut started = STARTED.lock().unwrap();
    child.kill().ok();
    child.wait().ok();
    started.retain(|pid| *pid != child.id());
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status()
        .ok();
}

/// Ends all of them and this program if the case takes too long.
pub fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        for pid in STARTED.lock().unwrap().iter() {
            signal(*pid, "KILL");
        }
        println!("the case took too long");
        std::process::exit(2);
    });
}
