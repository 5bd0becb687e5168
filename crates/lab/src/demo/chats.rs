//! Chats that return, each answer checked against the only right one.

use medlarrill_testkit::engine::{Message, expected_answer, messages_text};
use medlarrill_testkit::fleet::{CallError, Caller};

/// Longest opening of a chat, in words.
const OPENING: usize = 200;
/// Tokens asked for in each turn.
const TOKENS: u64 = 24;

/// What a chat came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Right answers.
    pub right: u64,
    /// Wrong ones.
    pub wrong: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens served from a cache.
    pub cached: u64,
    /// Calls repeated because a daemon was lost.
    pub repeated: u64,
}

impl Outcome {
    /// Adds another chat's.
    pub const fn add(&mut self, other: Self) {
        self.right += other.right;
        self.wrong += other.wrong;
        self.prompt += other.prompt;
        self.cached += other.cached;
        self.repeated += other.repeated;
    }
}

/// Holds a chat of some turns, each through another daemon.
pub async fn hold(callers: Vec<Caller>, number: usize, turns: usize) -> Outcome {
    let chat = format!("trip-{number}");
    let mut messages = vec![Message::new("user", &opening(number))];
    let mut outcome = Outcome::default();
    for turn in 0..turns {
        let Some(text) = turn_once(&callers, &chat, &messages, turn + number, &mut outcome).await
        else {
            outcome.wrong += 1;
            return outcome;
        };
        if text == expected_answer(&messages_text(&messages), TOKENS) {
            outcome.right += 1;
        } else {
            outcome.wrong += 1;
        }
        messages.push(Message::new("assistant", &text));
        messages.push(Message::new("user", &format!("and stop {turn}?")));
    }
    outcome
}

/// One turn; a chat is idempotent, so a lost daemon is answered by asking another.
async fn turn_once(
    callers: &[Caller],
    chat: &str,
    messages: &[Message],
    first: usize,
    outcome: &mut Outcome,
) -> Option<String> {
    for step in 0..callers.len() {
        let caller = callers.get((first + step) % callers.len())?;
        match caller.chat(chat, messages, TOKENS).await {
            Ok(answer) => {
                outcome.prompt += answer.prompt;
                outcome.cached += answer.cached;
                return Some(answer.text);
            }
            Err(CallError::Problem(problem)) => eprintln!("demo: {chat}: {problem}"),
            Err(error) => eprintln!("demo: {chat}: {error}"),
        }
        outcome.repeated += 1;
    }
    None
}

fn opening(number: usize) -> String {
    let word = |at: usize| format!("stop-{number}-{at} ");
    (0..OPENING).map(word).collect()
}
