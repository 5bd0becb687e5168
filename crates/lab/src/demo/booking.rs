//! One booking, sent twice under the same key through different daemons.

use medlarrill_testkit::fleet::Fleet;

use crate::error::{LabError, Result};

const PATH: &str = "/bookings/guesthouse";
const KEY: &str = "friday-two-rooms";
const NOTE: &str = "two rooms, friday";

/// Books, repeats the booking at every other daemon and counts what ran.
pub async fn book(fleet: &Fleet) -> Result<()> {
    let mut answers = Vec::new();
    for at in 0..fleet.daemons.len() {
        let Some(caller) = fleet.caller(at) else {
            continue;
        };
        let answer = caller.call(PATH, Some(KEY), NOTE).await?;
        answers.push(String::from_utf8_lossy(answer.body()).into_owned());
    }
    let runs = fleet.services.iter().flat_map(|service| service.runs());
    let runs = runs.filter(|run| run.key.as_deref() == Some(KEY)).count();
    answers.dedup();
    if runs != 1 || answers.len() != 1 {
        let wrong = format!(
            "the booking ran {runs} times, with {} answers",
            answers.len()
        );
        return Err(LabError::Wrong(wrong));
    }
    println!(
        "booking: sent through {} daemons under one key, ran once, same answer each time",
        fleet.daemons.len()
    );
    Ok(())
}
