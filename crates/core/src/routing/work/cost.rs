//! What a request costs its endpoint.

use derive_more::Debug;

use crate::routing::request::RequestHead;
use crate::units::Tokens;

/// Longest prompt that is believed: several times what an engine's memory holds.
const MAX_TOKENS: u64 = 1 << 22;

/// The tokens of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct PromptSize {
    /// Those of the parts that other requests may have too.
    shared: Tokens,
    /// The others.
    own: Tokens,
}

impl PromptSize {
    /// The size of a request's prompt, by its parts or else by the caller's count.
    pub fn of(head: &RequestHead) -> Self {
        let limit = |tokens: u64| Tokens(tokens.min(MAX_TOKENS));
        let sum = |all: &mut dyn Iterator<Item = Tokens>| {
            limit(all.fold(Tokens::ZERO, Tokens::saturating_add).0)
        };
        let shared = sum(&mut head.shared_parts().iter().map(|part| part.tokens));
        let own = match head.parts.last() {
            Some(part) => limit(part.tokens.0),
            None => limit(head.prompt_tokens.unwrap_or_default().0),
        };
        Self { shared, own }
    }

    /// What has to be read of it where its shared parts are cached, or may not be.
    pub const fn cost(self, is_cached: bool) -> ReadingCost {
        ReadingCost {
            shared: if is_cached { Tokens::ZERO } else { self.shared },
            own: self.own,
        }
    }
}

/// The tokens of a prompt that have to be read.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct ReadingCost {
    /// Those that may be cached nevertheless, by a request of another daemon.
    pub shared: Tokens,
    /// Those that aren't cached anywhere.
    pub own: Tokens,
}

impl ReadingCost {
    /// All of them.
    pub const fn tokens(self) -> Tokens {
        Tokens(self.shared.0 + self.own.0)
    }
}
