//! Stand-ins of the platform, its replicas and clients, and the drivers of the cases 6 to 10.
//! Only the standard library is used.

mod case_ends;
mod case_memory;
mod case_order;
mod case_slow;
mod case_twice;
mod client;
mod fleet;
mod http;
mod json;
mod narrow;
mod operator;
mod processes;
mod record;
mod replica;
mod store;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let word = arguments.first().map(String::as_str);
    if word == Some("replica") {
        return replica::run(&arguments[1..]);
    }
    processes::limit_time();
    let folder = arguments.get(1).map_or(".", String::as_str);
    let verdict = match word {
        Some("order") => case_order::run(Path::new(folder), has_trouble),
        Some("ends") => case_ends::run(Path::new(folder), has_trouble),
        Some("memory") => case_memory::run(Path::new(folder), has_trouble),
        Some("slow") => case_slow::run(Path::new(folder), has_trouble),
        Some("twice") => case_twice::run(Path::new(folder), has_trouble),
        _ => Verdict::CouldNotRun,
    };
    println!("{verdict:?}");
    std::process::exit(verdict as i32);
}

/// The exit status of a case.
#[derive(Clone, Copy, Debug)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}
