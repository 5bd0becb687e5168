//! Plays one case of the review: `review-standin CASE FOLDER`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 in the
//! environment it does the same without the disruption.

#[path = "1/case.rs"]
mod case1;
#[path = "2/case.rs"]
mod case2;
#[path = "3/case.rs"]
mod case3;
#[path = "4/case.rs"]
mod case4;
#[path = "5/case.rs"]
mod case5;
mod client;
mod fleet;
mod http;
mod json;
mod record;
mod replica;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;
use world::{Outcome, World};

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    match play(&name, &PathBuf::from(folder), has_trouble) {
        Ok(true) => {
            println!("{name}: the rule held (trouble: {has_trouble})");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{name}: the rule was broken (trouble: {has_trouble})");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("{name}: couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(name: &str, folder: &std::path::Path, has_trouble: bool) -> Outcome {
    let record = Record::new(&folder.join("record.txt")).map_err(|error| error.to_string())?;
    let scratch = std::env::temp_dir().join(format!("review-{}-{}", name, std::process::id()));
    std::fs::create_dir_all(&scratch).map_err(|error| error.to_string())?;
    let outcome = (|| {
        let mut world = World::new(
            if name == "case2" { case2::DAEMONS } else { 3 },
            record,
            &scratch,
        )?;
        match name {
            "case1" => case1::run(&mut world, has_trouble),
            "case2" => case2::run(&mut world, has_trouble),
            "case3" => case3::run(&mut world, has_trouble),
            "case4" => case4::run(&mut world, has_trouble),
            "case5" => case5::run(&mut world, has_trouble),
            _ => Err(format!("no case is called {name}")),
        }
    })();
    if std::env::var("KEEP").is_ok() {
        println!("logs are in {}", scratch.display());
    } else {
        std::fs::remove_dir_all(&scratch).ok();
    }
    outcome
}
