//! Settings: every finding at once, each with its place; the page and the sample hold.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use googletest::prelude::*;
use medlarrilld::settings::{Finding, KEYS, Settings, check};

const SECRET: &str = "a secret long enough";

fn good() -> String {
    format!(
        r#"{{
    "fleet": "test",
    "daemon": "d1",
    "data-centre": "dc1",
    "region": "r1",
    "listen": {{ "callers": "127.0.0.1:8080", "peers": "127.0.0.1:7101" }},
    "keys": {{ "fleet": "{SECRET}" }},
    "platform": "127.0.0.1:2379",
    "limits": {{ "body": "1MiB" }}, // A comment.
}}"#
    )
}

fn docs(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name)
}

fn run_check(file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarrilld"))
        .arg("check")
        .arg(file)
        .output()
        .unwrap()
}

fn shown(findings: &[Finding]) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

/// The findings in the good settings with one thing changed.
fn with(old: &str, new: &str) -> Vec<String> {
    let text = good();
    assert!(text.contains(old), "{old}");
    shown(&check(&text.replacen(old, new, 1)))
}

#[gtest]
fn good_settings_have_no_finding() {
    expect_that!(check(&good()), is_empty());
    let settings = Settings::parse(&good()).unwrap();
    expect_that!(settings.limits.body.0, eq(1 << 20));
    expect_that!(settings.limits.chats, eq(100_000));
}

#[gtest]
fn each_kind_of_fault_is_found_at_its_place() {
    let cases = [
        ("\"region\": \"r1\",", "", "1:1: region: the key is missing"),
        (
            "\"region\"",
            "\"regoin\"",
            "5:5: regoin: no such key; did you mean `region`?",
        ),
        (
            "\"body\"",
            "\"bdoy\"",
            "9:17: limits.bdoy: no such key; did you mean `limits.body`?",
        ),
        (
            "\"body\"",
            "\"zzzzzzzz\"",
            "9:17: limits.zzzzzzzz: no such key",
        ),
        (
            "\"r1\"",
            "7",
            "5:15: region: wrong type: wanted name, found a number",
        ),
        (
            "\"r1\"",
            "\"r 1\"",
            "5:15: region: ` ` can't stand in a name",
        ),
        (
            "\"1MiB\"",
            "\"1GiB\"",
            "9:25: limits.body: 1GiB is out of bounds: 1KiB to 7MiB",
        ),
        (
            "\"1MiB\"",
            "5",
            "9:25: limits.body: wrong type: wanted size, as `4MiB`, found a number",
        ),
        (
            "\"1MiB\"",
            "\"1 mega\"",
            "9:25: limits.body: `1 mega` is not a size",
        ),
        (
            "\"body\": \"1MiB\"",
            "\"chats\": 0",
            "9:26: limits.chats: 0 is out of bounds: 1 to 10000000",
        ),
        (
            "\"body\": \"1MiB\"",
            "\"chats\": 1.5",
            "9:26: limits.chats: `1.5` is not a whole number",
        ),
        (
            "\"body\": \"1MiB\"",
            "\"stop\": \"1ms\"",
            "9:25: limits.stop: 1ms is out of bounds: 1s to 1d",
        ),
        (
            "{ \"body\": \"1MiB\" }",
            "[]",
            "9:15: limits: wrong type: wanted object, found a list",
        ),
        (
            "\"region\"",
            "\"fleet\"",
            "5:5: fleet: the key stands here twice",
        ),
        (
            "127.0.0.1:7101",
            "127.0.0.1:8080",
            "6:55: listen.peers: the same address as `listen.callers`",
        ),
        (
            "127.0.0.1:7101",
            "0.0.0.0:8080",
            "6:55: listen.peers: the same address as `listen.callers`",
        ),
        (
            "127.0.0.1:7101",
            "0.0.0.0:7101",
            "6:55: listen.peers: a wildcard, which peers can't reach; set `listen.advertise`",
        ),
        (
            "127.0.0.1:7101",
            "here",
            "6:55: listen.peers: `here` is not an IP address and port",
        ),
        (
            "127.0.0.1:2379",
            "127.0.0.1:8080",
            "8:17: platform: the daemon listens there itself",
        ),
        (
            SECRET,
            "short",
            "7:24: keys.fleet: a weak secret: 5 bytes, of at least 16",
        ),
        (
            SECRET,
            "aaaaaaaaaaaaaaaaaaaaaaaa",
            "7:24: keys.fleet: a weak secret: 1 different bytes, of at least 6",
        ),
        (
            SECRET,
            "",
            "7:24: keys.fleet: a weak secret: 0 bytes, of at least 16",
        ),
        (
            "\"fleet\": \"a secret long enough\"",
            "",
            "7:13: keys.fleet: the key is missing, and so is `keys.fleet-file`",
        ),
        (
            "{ \"fleet\": ",
            "{ \"fleet-file\": \"f\", \"fleet\": ",
            "7:15: keys.fleet-file: stands beside `keys.fleet`",
        ),
        (
            "{ \"fleet\": ",
            "{ \"operators\": [\"ab\"], \"fleet\": ",
            "7:29: keys.operators: not a hash of 64 hexadecimal digits",
        ),
    ];
    for (old, new, wanted) in cases {
        let found = with(old, new);
        expect_that!(found, contains(starts_with(wanted)), "{old} -> {new}");
    }
}

#[gtest]
fn all_findings_are_reported_in_one_go() {
    let text = good()
        .replace("\"r1\"", "7")
        .replace("\"1MiB\"", "\"9GiB\"")
        .replace("\"daemon\"", "\"deamon\"")
        .replace(SECRET, "weak");
    let found = shown(&check(&text));
    expect_that!(
        found,
        elements_are![
            starts_with("1:1: daemon: the key is missing"),
            starts_with("3:5: deamon: no such key; did you mean `daemon`?"),
            starts_with("5:15: region: wrong type"),
            starts_with("7:24: keys.fleet: a weak secret"),
            starts_with("9:25: limits.body: 9GiB is out of bounds"),
        ]
    );
}

#[gtest]
fn bad_syntax_is_found_at_its_place() {
    let cases = [
        ("\"region\": \"r1\",", "\"region\": ,", "5:"),
        ("\"region\": \"r1\",", "\"region\": \"r1\"", "5:19: "),
        ("\"region\"", "region", "5:5: "),
        ("\"r1\"", "'r1'", "5:15: "),
        ("// A comment.", "/* A comment.", "9:"),
    ];
    for (old, new, place) in cases {
        let found = with(old, new);
        expect_that!(found, elements_are![starts_with(place)], "{old} -> {new}");
    }
    expect_that!(
        shown(&check("")),
        elements_are![starts_with("1:1: the settings must be")]
    );
    expect_that!(
        shown(&check("[]")),
        elements_are![starts_with("1:1: the settings must be")]
    );
}

#[gtest]
fn no_rubbish_breaks_the_check() {
    let text = good();
    for end in (0..text.len()).filter(|end| text.is_char_boundary(*end)) {
        check(&text[..end]);
        let mut rubbish = text.clone();
        rubbish.insert(end, '\u{1F980}');
        check(&rubbish);
    }
    check(&"[".repeat(100_000));
}

#[gtest]
fn the_program_reports_findings_with_the_file_and_ends_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.jsonc");
    std::fs::write(&file, good()).unwrap();
    expect_that!(run_check(&file).status.code(), some(eq(0)));
    let bad = good()
        .replace("\"r1\"", "7")
        .replace("\"1MiB\"", "\"9GiB\"");
    std::fs::write(&file, bad).unwrap();
    for arguments in [&["check"][..], &["run", "--settings"]] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_medlarrilld"));
        let output = command.args(arguments).arg(&file).output().unwrap();
        expect_that!(output.status.code(), some(eq(2)));
        let text = String::from_utf8(output.stderr).unwrap();
        let place = |at: &str| format!("{}:{at}", file.display());
        expect_that!(text, contains_substring(place("5:15: region: ")));
        expect_that!(text, contains_substring(place("9:25: limits.body: ")));
    }
    std::fs::write(&file, b"{\n \"fleet\": \"\xff\"").unwrap();
    let output = run_check(&file);
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8(output.stderr).unwrap();
    expect_that!(text, contains_substring(":2:12: the text is not UTF-8"));
}

#[gtest]
fn the_secret_can_stand_in_a_file_of_its_own() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.jsonc");
    let inner = format!("\"fleet\": \"{SECRET}\"");
    std::fs::write(&file, good().replace(&inner, "\"fleet-file\": \"secret\"")).unwrap();
    let missing = Settings::read(&file).unwrap_err().to_string();
    expect_that!(missing, contains_substring(":7:15: keys.fleet-file: "));
    std::fs::write(folder.path().join("secret"), "weak").unwrap();
    let weak = Settings::read(&file).unwrap_err().to_string();
    expect_that!(weak, contains_substring("a weak secret"));
    std::fs::write(folder.path().join("secret"), format!("{SECRET}\n")).unwrap();
    expect_that!(Settings::read(&file).unwrap().keys.fleet, eq(SECRET));
}

#[gtest]
fn logs_can_be_json_lines() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.jsonc");
    let text = good().replace(":8080", ":0").replace(":7101", ":0");
    std::fs::write(&file, text).unwrap();
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_medlarrilld"))
        .args(["run", "--log-format", "json", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut started = String::new();
    let mut output = BufReader::new(daemon.stdout.take().unwrap());
    output.read_line(&mut started).unwrap();
    let pid = nix::unistd::Pid::from_raw(daemon.id().cast_signed());
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).unwrap();
    let output = daemon.wait_with_output().unwrap();
    let lines = String::from_utf8(output.stderr).unwrap();
    expect_that!(lines.lines().count(), gt(0));
    for line in lines.lines() {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        expect_that!(line["message"].as_str(), some(anything()));
    }
    expect_that!(output.status.code(), some(eq(0)));
}

#[gtest]
fn a_wildcard_is_advertised_with_the_bound_port() {
    let text = good().replace(
        "\"peers\": \"127.0.0.1:7101\"",
        "\"peers\": \"0.0.0.0:0\", \"advertise\": \"10.0.0.1:0\"",
    );
    let settings = Settings::parse(&text).unwrap();
    let reachable = settings.listen.reachable("0.0.0.0:4711".parse().unwrap());
    expect_that!(reachable.to_string(), eq("10.0.0.1:4711"));
}

#[gtest]
fn the_page_lists_every_key_as_the_code_has_it() {
    let page = std::fs::read_to_string(docs("SETTINGS.md")).unwrap();
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let wanted: Vec<String> = KEYS.iter().map(|key| key.row()).collect();
    expect_that!(
        rows,
        eq(&wanted),
        "the rows should be:\n{}",
        wanted.join("\n")
    );
}

#[gtest]
fn the_sample_passes_the_check() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("medlarrilld.jsonc");
    std::fs::copy(docs("medlarrilld.sample.jsonc"), &file).unwrap();
    let sample = std::fs::read_to_string(&file).unwrap();
    for key in KEYS.iter().filter(|key| key.path != "keys.fleet") {
        let name = key.path.rsplit('.').next().unwrap();
        expect_that!(sample, contains_substring(format!("\"{name}\": ")));
    }
    std::fs::write(folder.path().join("fleet-secret"), SECRET).unwrap();
    let output = run_check(&file);
    expect_that!(output.status.code(), some(eq(0)), "{output:?}");
}
