//! Keeps the fleet up and prints lines to try.

use medlarrill_testkit::fleet::Fleet;

/// Prints how to use the fleet and waits for an interrupt.
pub async fn stay(fleet: &Fleet) -> std::io::Result<()> {
    println!("\nThe fleet stays up; end it with Ctrl-C. Lines to try:");
    if let Some(daemon) = fleet.daemons.first() {
        let address = daemon.started.callers;
        println!(
            "  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer padkos-leaders-key' -d '{{\"model\":\"m1\",\"chat_id\":\"trip\",\"max_tokens\":16,\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Which stops?\"}}]}}'"
        );
        println!("  curl http://{address}/metrics");
    }
    tokio::signal::ctrl_c().await
}
