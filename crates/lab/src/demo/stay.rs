//! Keeps the fleet up and prints lines to try.

use medlarrill_testkit::fleet::{Fleet, OPERATOR_KEY};

/// Statements to try.
const STATEMENTS: [&str; 4] = [
    "status",
    "show endpoints",
    "show control",
    "--wait drain endpoint e1",
];

/// Prints how to use the fleet and waits for an interrupt.
pub async fn stay(fleet: &Fleet) -> std::io::Result<()> {
    println!("\nThe fleet stays up; end it with Ctrl-C. Lines to try:");
    if let Some(daemon) = fleet.daemons.first() {
        let address = daemon.started.callers;
        println!(
            "  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer padkos-leaders-key' -d '{{\"model\":\"m1\",\"chat_id\":\"trip\",\"max_tokens\":16,\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Which stops?\"}}]}}'"
        );
        println!("  curl http://{address}/metrics");
        println!("  export MEDLARRILL_KEY={OPERATOR_KEY} MEDLARRILL_SERVER=http://{address}");
        for statement in STATEMENTS {
            println!("  cargo run --quiet --release --bin medlarrill -- {statement}");
        }
    }
    tokio::signal::ctrl_c().await
}
