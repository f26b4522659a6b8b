//! Instances of the program as processes on the platform's stand-ins.

#![allow(dead_code)]

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherhollow_soak::PromiseChecker;
use heatherhollow_soak::SoakSettings;
use heatherhollow_soak::SoakWorld;

/// Time after which a wait counts as failed; several times what is expected, as the machine may be busy.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Instances with their stand-ins.
pub struct Cluster {
    pub world: SoakWorld,
    checker: Arc<PromiseChecker>,
}

impl Cluster {
    /// Starts instances; the name has to be unique in the test program.
    pub async fn start(name: &str, instances: usize) -> Self {
        let folder = format!("heatherhollow-cluster-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&directory).unwrap();
        let settings = SoakSettings {
            program: PathBuf::from(env!("CARGO_BIN_EXE_heatherhollow")),
            instances,
            directory,
            ..SoakSettings::default()
        };
        let checker = Arc::new(PromiseChecker::default());
        let world = SoakWorld::start(&settings, checker.clone()).await.unwrap();
        Self { world, checker }
    }

    /// Number of lines with an event in an instance's log.
    pub fn count(&self, instance: usize, event: &str) -> usize {
        let log = self.world.log(instance).unwrap();
        log.matches(&format!("event={event}")).count()
    }

    /// Waits until instances start sessions with a database.
    pub async fn wait_for(&self, instances: &[usize], database: &str) {
        let began_at = Instant::now();
        for instance in instances {
            while !self.world.serves(*instance, database).await {
                assert!(
                    began_at.elapsed() < PATIENCE,
                    "instance {instance} does not serve {database}"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Stops all instances and checks that they end in their grace.
    pub async fn stop(mut self) {
        self.world.stop(&self.checker).await;
        let report = self.checker.finish(&[]);
        assert_eq!(report.violations, Vec::<String>::new());
    }
}

/// Runs a test.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(test);
}
