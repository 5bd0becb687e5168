//! The binary against stub daemons: what it sends, its output and its exit code.

#[path = "client/stub.rs"]
mod stub;

use std::io::Write;
use std::process::{Command, Stdio};

use googletest::prelude::*;
use serde_json::{Value, json};

use stub::{Reply, Stub};

/// Result of a run of the binary.
struct RunResult {
    code: i32,
    out: String,
    err: String,
}

fn run(stubs: &[&Stub], args: &[&str]) -> RunResult {
    run_with(stubs, args, "")
}

fn run_with(stubs: &[&Stub], args: &[&str], input: &str) -> RunResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarrill"));
    command.env("MEDLARRILL_KEY", "secret").args(args);
    for stub in stubs {
        command.args(["--server", &stub.url()]);
    }
    finish(command, input)
}

fn finish(mut command: Command, input: &str) -> RunResult {
    let mut child = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The child may exit without reading its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    RunResult {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn verdict(verdict: &str) -> Value {
    let result = json!({"statement": "drain endpoint e1", "verdict": verdict, "generation": 7});
    json!({"results": [result], "generation": 7})
}

fn answer(name: &str) -> Reply {
    Reply::Status(200, verdict(name))
}

/// URL of a server that refuses connections.
fn closed() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

#[gtest]
fn a_change_is_sent_with_key_and_identifier() {
    let stub = Stub::new([answer("accepted")]);
    let args = ["--wait", "--timeout", "7s", "run", "drain endpoint e1"];
    let result = run(&[&stub], &args);
    expect_that!(result.code, eq(0));
    expect_that!(
        result.out,
        eq("accepted: drain endpoint e1 (generation 7)\n")
    );
    let received = &stub.received()[0];
    expect_that!(received.path, eq("/v1/operator"));
    expect_that!(received.bearer, eq("Bearer secret"));
    expect_that!(received.body["statements"], eq(&json!("drain endpoint e1")));
    expect_that!(received.body["wait"], eq(&json!(true)));
    expect_that!(received.body["repeat"], eq(&json!(false)));
    expect_that!(
        received.body["change"].as_str().unwrap(),
        matches_regex("[0-9a-f]{32}")
    );
}

#[gtest]
fn tables_are_printed_as_text_and_as_json() {
    let table = json!({"columns": ["pool", "slots"], "rows": [["chat", "16"], ["notes", "8"]]});
    let result = json!({"statement": "show pools", "verdict": "done", "table": table});
    let reply = Reply::Status(200, json!({"results": [result], "generation": 7}));
    let stub = Stub::new([reply.clone(), reply]);
    let text = run(&[&stub], &["show", "pools"]);
    expect_that!(text.out, eq("pool   slots\nchat   16\nnotes  8\n"));
    let text = run(&[&stub], &["--output", "json", "show", "pools"]);
    let printed: Value = serde_json::from_str(&text.out).unwrap();
    expect_that!(printed["results"][0]["table"], eq(&table));
    expect_that!(printed["change"].as_str().unwrap(), char_count(eq(32)));
}

#[gtest]
fn a_finding_is_printed_with_its_position() {
    let finding =
        json!({"place": "statement 2, word 3", "span": [24, 26], "message": "it doesn't exist"});
    let result =
        json!({"statement": "drain endpoint e9", "verdict": "refused", "findings": [finding]});
    let stub = Stub::new([Reply::Status(200, json!({"results": [result]}))]);
    let result = run_with(&[&stub], &["run"], "show pools\ndrain endpoint e9\n");
    expect_that!(result.code, eq(1));
    let wanted = "refused: drain endpoint e9
  statement 2, word 3: it doesn't exist
    drain endpoint e9
                 ^^
";
    expect_that!(result.err, eq(wanted));
}

#[gtest]
fn the_next_daemon_is_tried_if_one_cant_be_reached() {
    let stub = Stub::new([answer("accepted")]);
    let result = run(
        &[&stub],
        &["--server", &closed(), "drain", "endpoint", "e1"],
    );
    expect_that!(result.code, eq(0));
    expect_that!(stub.received()[0].body["repeat"], eq(&json!(false)));
}

#[gtest]
fn a_change_with_a_lost_response_is_retried_with_the_same_identifier() {
    let first = Stub::new([Reply::Cut]);
    let second = Stub::new([Reply::Status(500, json!({"title": "Oh."}))]);
    let third = Stub::new([answer("accepted")]);
    let result = run(&[&first, &second, &third], &["drain", "endpoint", "e1"]);
    expect_that!(result.code, eq(0));
    let change = |stub: &Stub| stub.received()[0].body["change"].clone();
    expect_that!(change(&first), eq(&change(&second)));
    expect_that!(change(&first), eq(&change(&third)));
    expect_that!(third.received()[0].body["repeat"], eq(&json!(true)));
}

#[gtest]
fn a_change_that_may_have_been_accepted_is_unknown() {
    let stub = Stub::new([]);
    let result = run(&[&stub], &["--timeout", "1s", "drain", "endpoint", "e1"]);
    expect_that!(result.code, eq(4));
    let change = stub.received()[0].body["change"]
        .as_str()
        .unwrap()
        .to_owned();
    expect_that!(result.err, contains_substring(format!("--change {change}")));
    // A query has no effect, so its outcome is never unknown.
    let result = run(&[&stub], &["--timeout", "1s", "show", "pools"]);
    expect_that!(result.code, eq(3));
    // That the second daemon did nothing says nothing about the first one.
    let stub = Stub::new([Reply::Cut, answer("unavailable")]);
    let result = run(&[&stub], &["drain", "endpoint", "e1"]);
    expect_that!(result.code, eq(4));
}

#[gtest]
fn a_change_with_unknown_outcome_can_be_retried() {
    let stub = Stub::new([answer("unknown"), answer("accepted")]);
    let change = "0000000000000000000000000000002a";
    let result = run(&[&stub], &["--change", change, "drain", "endpoint", "e1"]);
    expect_that!(result.code, eq(0));
    for received in stub.received() {
        expect_that!(received.body["change"], eq(&json!(change)));
        expect_that!(received.body["repeat"], eq(&json!(true)));
    }
}

#[gtest]
fn each_verdict_has_its_exit_code() {
    for (name, code) in [("conflict", 1), ("unavailable", 3), ("done", 0)] {
        let stub = Stub::new([answer(name)]);
        let result = run(&[&stub], &["drain", "endpoint", "e1"]);
        expect_that!(result.code, eq(code), "{name}");
    }
    let stub = Stub::new([answer("unknown")]);
    let result = run(&[&stub], &["--timeout", "1s", "drain", "endpoint", "e1"]);
    expect_that!(result.code, eq(4));
    expect_that!(result.err, contains_substring("Ask again with --change"));
}

#[gtest]
fn lagging_daemons_are_named() {
    let mut lagging = verdict("accepted");
    lagging["lagging"] = json!(["d3", "d5"]);
    let reply = Reply::Status(200, lagging);
    let stub = Stub::new([reply.clone(), reply]);
    let result = run(&[&stub], &["--wait", "drain", "endpoint", "e1"]);
    expect_that!(result.code, eq(5));
    expect_that!(
        result.err,
        eq("Generation 7 is not yet in force on d3, d5.\n")
    );
    expect_that!(run(&[&stub], &["drain", "endpoint", "e1"]).code, eq(0));
}

#[gtest]
fn a_wrong_key_is_refused() {
    let problem = json!({"title": "The key is missing or not known."});
    let stub = Stub::new([Reply::Status(401, problem)]);
    let result = run(&[&stub], &["show", "pools"]);
    expect_that!(result.code, eq(1));
    expect_that!(
        result.err,
        contains_substring("The key is missing or not known.")
    );
    expect_that!(stub.received(), len(eq(1)));
}

#[gtest]
fn a_retry_after_a_daemon_that_did_nothing_is_not_marked() {
    let problem = json!({"title": "This daemon is stopping.", "ran": "not-run"});
    let stub = Stub::new([Reply::Status(503, problem), answer("accepted")]);
    expect_that!(run(&[&stub], &["drain", "endpoint", "e1"]).code, eq(0));
    expect_that!(stub.received()[1].body["repeat"], eq(&json!(false)));
}

#[gtest]
fn a_wrong_command_line_sends_nothing() {
    let stub = Stub::new([]);
    for args in [
        &["--timeout", "soon", "show", "pools"][..],
        &["--timeout", "1h", "show", "pools"],
        &["--key-file", "/nowhere/at/all", "show", "pools"],
        &["run", "--file", "/nowhere/at/all"],
        &["fetch"],
    ] {
        let result = run(&[&stub], args);
        expect_that!(result.code, eq(2), "{args:?}");
        expect_that!(result.err, not(eq("")), "{args:?}");
    }
    let args = ["--server", "https://127.0.0.1:1", "show", "pools"];
    let result = run(&[], &args);
    expect_that!(result.code, eq(2));
    expect_that!(result.err, contains_substring("write http://host:port"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarrill"));
    command.env_remove("MEDLARRILL_KEY").args(["show", "pools"]);
    expect_that!(finish(command, "").err, contains_substring("no key"));
    expect_that!(stub.received(), is_empty());
}

#[gtest]
fn statements_come_from_files_and_keys_too() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("statements");
    let key = directory.path().join("key");
    std::fs::write(&file, "show pools\nshow rules\n").unwrap();
    std::fs::write(&key, "other\n").unwrap();
    let stub = Stub::new([Reply::Status(200, json!({"results": []}))]);
    let (file, key) = (file.to_str().unwrap(), key.to_str().unwrap());
    let result = run(&[&stub], &["--key-file", key, "run", "--file", file]);
    expect_that!(result.code, eq(0));
    expect_that!(stub.received()[0].bearer, eq("Bearer other"));
    let sent = &stub.received()[0].body["statements"];
    expect_that!(sent, eq(&json!("show pools\nshow rules\n")));
}

#[gtest]
fn words_of_a_statement_keep_their_quotes() {
    let stub = Stub::new([Reply::Status(200, json!({"results": []}))]);
    let words = ["show", "load", "where", "state", "!=", "not \"yet\""];
    run(&[&stub], &words);
    let sent = &stub.received()[0].body["statements"];
    expect_that!(
        sent,
        eq(&json!(r#"show load where state != "not \"yet\"""#))
    );
}

#[gtest]
fn a_key_is_hashed_without_its_line_break() {
    let result = run_with(&[], &["key-hash"], "abc\n");
    let hash = "6437b3ac38465133ffb63b75273a8db548c558465d79db03fd359c6cd5bd9d85";
    expect_that!(result.out.trim_end(), eq(hash));
    expect_that!(run_with(&[], &["key-hash"], "\n").code, eq(2));
}

#[gtest]
fn completions_name_the_verbs() {
    for shell in ["bash", "zsh", "fish"] {
        let result = run(&[], &["completions", shell]);
        expect_that!(result.code, eq(0));
        expect_that!(result.out, contains_substring("key-hash"), "{shell}");
    }
}

#[gtest]
fn a_file_is_checked_without_a_daemon() {
    let directory = tempfile::tempdir().unwrap();
    let export = directory.path().join("export");
    std::fs::write(&export, "create pool chat kind model model m1").unwrap();
    let export = export.to_str().unwrap();
    let args = ["check", "-", "--against", export];
    expect_that!(run_with(&[], &args, "alter pool chat slots 8").code, eq(0));
    let result = run_with(&[], &args, "alter pool chat slots 0; drop pool no");
    expect_that!(result.code, eq(1));
    expect_that!(
        result.err,
        all![
            contains_substring("pool chat, slots: must be at least 1"),
            contains_substring("pool no: doesn't exist"),
            contains_substring("\n                          ^\n"),
        ]
    );
    expect_that!(run_with(&[], &["check", "-"], "shw pools").code, eq(1));
}
