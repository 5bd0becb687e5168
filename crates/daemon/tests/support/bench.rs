//! A small fleet with this package's own daemon.

use medlarrill_core::clock::Millis;
use medlarrill_testkit::fleet::{Fleet, Layout, Program};
use tempfile::TempDir;

/// Longest wait for anything; a test that meets it has failed.
pub const GUARD: Millis = Millis::from_secs(60);

/// A fleet and the folder of its settings and logs.
pub struct Bench {
    /// The fleet.
    pub fleet: Fleet,
    _folder: TempDir,
}

/// Starts a fleet and waits until all its daemons are ready.
pub async fn bench(layout: Layout) -> Bench {
    // A failing run can be looked into with its logs kept.
    let keep = std::env::var_os("MEDLARRILL_KEEP").is_some();
    let folder = tempfile::Builder::new()
        .disable_cleanup(keep)
        .tempdir()
        .unwrap();
    let program = Program::new(env!("CARGO_BIN_EXE_medlarrilld"));
    let fleet = Fleet::start(program, folder.path().into(), layout)
        .await
        .unwrap();
    assert!(
        fleet.wait_ready(GUARD).await,
        "the daemons did not get ready"
    );
    Bench {
        fleet,
        _folder: folder,
    }
}
