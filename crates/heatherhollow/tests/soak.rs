//! A short seeded run of the soak: the real program as separate processes, with faults from outside.
//!
//! Guards against promises that hold in virtual time only: signals, restarts, sockets and the store's
//! calls are real here. Longer runs are made by hand; see CONTRIBUTING.md.

use std::path::PathBuf;
use std::time::Duration;

use heatherhollow_soak::SoakReport;
use heatherhollow_soak::SoakSettings;
use heatherhollow_soak::run;

fn play(seed: u64, max_connections: usize) -> SoakReport {
    let name = format!("heatherhollow-soak-{}-{seed}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).unwrap();
    let settings = SoakSettings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_heatherhollow")),
        seed,
        length: Duration::from_secs(6),
        max_connections,
        directory,
        ..SoakSettings::default()
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(run(settings)).unwrap();
    println!("seed {seed}: {report:?}");
    report
}

/// Instances that serve every group by themselves.
#[test]
fn promises_hold_in_processes() {
    let report = play(102, 30);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.served > 100);
}

/// Instances that forward statements to the home of their group.
#[test]
fn promises_hold_in_processes_with_homes() {
    let report = play(123, 10);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.served > 100);
}
