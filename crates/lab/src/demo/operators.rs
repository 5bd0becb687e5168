//! An operator's questions and changes, through the client as a process of its own.

use std::process::Output;

use medlarrill_core::config::KeyHash;
use medlarrill_testkit::engine::{Message, expected_answer, messages_text};
use medlarrill_testkit::fleet::{Caller, Fleet, OPERATOR_KEY, Program};

use crate::error::{LabError, Result};

/// Key of the account that the operator creates.
const NEW_KEY: &str = "harbour-desk-key";
/// Environment variable by which the client takes the operator's key.
const KEY_VARIABLE: &str = "MEDLARRILL_KEY";
/// The endpoint that is drained.
const DRAINED: &str = "e1";
/// Chats sent through each daemon at one step.
const CHATS: usize = 4;
/// Tokens asked for in each.
const TOKENS: u64 = 8;

/// An operator at a fleet.
struct Operator<'a> {
    fleet: &'a Fleet,
    client: &'a Program,
}

/// Shows, changes and drains, and checks each outcome.
///
/// # Errors
///
/// When the client can't run or says something wrong.
pub async fn operate(fleet: &Fleet, client: &Program) -> Result<()> {
    let operator = Operator { fleet, client };
    operator.create().await?;
    operator.drain().await?;
    let daemons = operator.good(0, &["show", "daemons"]).await?;
    println!("operator: show daemons\n{}", indented(&daemons));
    operator.mistake().await
}

impl Operator<'_> {
    /// Makes an institution with an account and a rule, and uses it through every daemon.
    async fn create(&self) -> Result<()> {
        let hash = KeyHash::of(NEW_KEY.as_bytes());
        let text = format!(
            "create institution harbour share 2; \
             create account harbour.desk key-hash {hash} rate 100/s; \
             create rule harbour route /v1/chat/completions pool chat idempotent"
        );
        let said = self.good(0, &["--wait", "run", &text]).await?;
        println!(
            "operator: a new institution, in force everywhere\n{}",
            indented(&said)
        );
        self.chats("harbour").await?;
        println!("operator: the new account's chats are answered through every daemon");
        Ok(())
    }

    /// Drains an endpoint through one daemon and sends chats through all.
    async fn drain(&self) -> Result<()> {
        let words = ["--wait", "drain", "endpoint", DRAINED];
        self.good(self.last(), &words).await?;
        let runs = || self.fleet.engines.first().map(|engine| engine.runs().len());
        let before = runs();
        self.chats("while-drained").await?;
        if runs() != before {
            return Err(wrong(format!("{DRAINED} got new work while drained")));
        }
        let words = ["--wait", "undrain", "endpoint", DRAINED];
        self.good(0, &words).await?;
        println!("operator: {DRAINED} got no new work while it was drained");
        Ok(())
    }

    /// Sends a statement with a wrong word; the error must point at it.
    async fn mistake(&self) -> Result<()> {
        let words = ["run", "show pools; create pool notes knd model"];
        let output = self.run(0, &words).await?;
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        let pointed = said.contains("statement 2, word 4") && said.contains("^^^");
        if output.status.code() != Some(1) || !pointed {
            return Err(wrong(format!("no error that points at the word: {said}")));
        }
        println!("operator: a wrong word is pointed at\n{}", indented(&said));
        Ok(())
    }

    /// Runs the client and takes what it prints; it must end well.
    async fn good(&self, at: usize, words: &[&str]) -> Result<String> {
        let output = self.run(at, words).await?;
        if !output.status.success() {
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(wrong(format!("`{}`: {said}", words.join(" "))));
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    async fn run(&self, at: usize, words: &[&str]) -> Result<Output> {
        let daemon = self.fleet.daemons.get(at);
        let daemon = daemon.ok_or_else(|| wrong("there is no daemon".into()))?;
        let server = format!("http://{}", daemon.started.callers);
        let mut command = self.client.command();
        command.arg("--server").arg(server).args(words);
        command.env(KEY_VARIABLE, OPERATOR_KEY);
        Ok(command.output().await?)
    }

    /// Sends chats of the new account through every daemon.
    async fn chats(&self, name: &str) -> Result<()> {
        for (at, daemon) in self.fleet.daemons.iter().enumerate() {
            let caller = Caller::new(daemon.started.callers, NEW_KEY);
            for number in 0..CHATS {
                let chat = format!("{name}-{at}-{number}");
                let messages = [Message::new("user", &chat)];
                let answer = caller.chat(&chat, &messages, TOKENS).await?;
                if answer.text != expected_answer(&messages_text(&messages), TOKENS) {
                    return Err(wrong(format!("chat {chat} got a wrong answer")));
                }
            }
        }
        Ok(())
    }

    const fn last(&self) -> usize {
        self.fleet.daemons.len() - 1
    }
}

const fn wrong(what: String) -> LabError {
    LabError::Wrong(what)
}

fn indented(text: &str) -> String {
    let lines = text.trim_end().lines();
    let lines: Vec<_> = lines.map(|line| format!("  {line}")).collect();
    lines.join("\n")
}
