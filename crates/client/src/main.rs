//! Command-line client for operators; see the library of the same name.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = std::env::args_os();
    medlarrill::run(args, &mut std::io::stdout(), &mut std::io::stderr())
        .await
        .into()
}
