//! Answers the statements of one request.

use std::sync::Arc;

use medlarrill_core::change::committer::Outcome;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Generation;
use medlarrill_core::operator::answer::{self, Answer, Finding, Request, StatementResult, Verdict};
use medlarrill_core::operator::{ParsedStatement, Statement, parse};
use medlarrill_net::now::now;

use super::change::commit_changes;
use super::show::show;
use super::wait::{in_force_everywhere, in_force_here};
use crate::context::Context;

/// Maximum time for a request.
const MAX_TIMEOUT: Millis = Millis::from_secs(300);
/// Maximum wait for a change to be in force here before `show` statements are answered.
const MAX_LOCAL_WAIT: Millis = Millis::from_secs(2);

/// Answers an operator's request and counts its statements by verdict.
pub async fn run(context: Arc<Context>, request: Request) -> Answer {
    let answer = answer(&context, &request).await;
    for result in &answer.results {
        context.metrics.record_statement(result.verdict);
    }
    answer
}

async fn answer(context: &Arc<Context>, request: &Request) -> Answer {
    let deadline = now() + request.timeout.min(MAX_TIMEOUT);
    let statements = match parse(&request.statements) {
        Ok(statements) => statements,
        Err(errors) => {
            return Answer {
                results: answer::syntax_results(&request.statements, &errors),
                generation: generation(context),
                ..Answer::default()
            };
        }
    };
    let outcome = change(context, request, &statements, deadline).await;
    let accepted = match &outcome {
        Outcome::Accepted(accepted) => accepted.generation,
        _ => Generation::default(),
    };
    in_force_here(context, accepted, deadline.min(now() + MAX_LOCAL_WAIT)).await;
    let mut lagging = Vec::new();
    if request.wait && accepted > Generation::default() {
        lagging = in_force_everywhere(context, accepted, deadline).await;
    }
    let mut results = answer::results(&request.statements, &statements, &outcome);
    for (index, (result, parsed)) in results.iter_mut().zip(&statements).enumerate() {
        fill(context, index, parsed, result).await;
    }
    Answer {
        results,
        lagging,
        generation: generation(context).max(accepted),
    }
}

/// Commits the changes among the statements; without any, the returned outcome is meaningless.
async fn change(
    context: &Context,
    request: &Request,
    statements: &[ParsedStatement],
    deadline: Millis,
) -> Outcome {
    let changes = statements.iter().filter_map(ParsedStatement::change);
    let changes: Vec<_> = changes.cloned().collect();
    if changes.is_empty() {
        return Outcome::Unknown;
    }
    let outcome = commit_changes(context, request, changes, deadline).await;
    let change = request.change;
    match &outcome {
        Outcome::Accepted(accepted) => {
            let generation = accepted.generation;
            log::info!(target: "operators", "operators: change {change} is in generation {generation}");
        }
        _ => log::info!(target: "operators", "operators: change {change} wasn't accepted"),
    }
    outcome
}

/// Fills in the result of a statement that isn't a change.
async fn fill(
    context: &Arc<Context>,
    index: usize,
    parsed: &ParsedStatement,
    result: &mut StatementResult,
) {
    let message = match &parsed.statement {
        Statement::Change(_) => return,
        Statement::Show(query) => match show(context, query).await {
            Ok(table) => {
                result.table = Some(table);
                return;
            }
            Err(message) => message,
        },
        Statement::Order(_) => {
            "orders to engines aren't carried out by this version; nothing was sent".into()
        }
    };
    let place = format!("statement {}", index + 1);
    let finding = Finding::new(place, message).with_span(parsed.span);
    result.verdict = Verdict::Refused;
    result.findings.push(finding);
}

fn generation(context: &Context) -> Generation {
    context.config.borrow().config.generation
}
