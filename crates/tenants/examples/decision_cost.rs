//! Measures the time of the decisions for an operation, and the memory of their state, with 10,000
//! tenants of 3 keys each and 89 or 2,000 instances.
//!
//! `cargo run --locked --release -p heatherhollow-tenants --example decision_cost`

use std::hint::black_box;
use std::time::Instant;

use heatherhollow_tenants::Admission;
use heatherhollow_tenants::HolderTable;
use heatherhollow_tenants::KeyDigest;
use heatherhollow_tenants::OperationRate;
use heatherhollow_tenants::QuotaCache;
use heatherhollow_tenants::QuotaLedger;
use heatherhollow_tenants::QuotaRequest;
use heatherhollow_tenants::QuotaSettings;
use heatherhollow_tenants::RequesterId;
use heatherhollow_tenants::TenantDirectory;
use heatherhollow_tenants::TenantName;
use heatherhollow_tenants::TenantQuota;
use heatherhollow_tenants::TenantRule;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;

const TENANTS: usize = 10_000;
const KEYS: usize = 3;
const CALLS: u64 = 500_000;

/// Returns the resident memory of the process in KiB; 0 where the system does not tell.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Prints the mean time of a decision for random tenants, and the resident memory that it added.
fn measure(label: &str, before: u64, mut decide: impl FnMut(usize, MonoTime)) {
    for i in 0..TENANTS {
        decide(i, MonoTime::ZERO);
    }
    let start = Instant::now();
    for call in 0..CALLS {
        let i = (mix_bits(call) % TENANTS as u64) as usize;
        decide(i, MonoTime::from_micros(call * 10));
    }
    let nanos = start.elapsed().as_nanos() / u128::from(CALLS);
    let added = resident_kib().saturating_sub(before);
    println!("{label:<32} {nanos:>8} {added:>10}");
}

fn main() {
    let rate = OperationRate::new(100.0).expect("a rate");
    let quota = TenantQuota::new(rate, 100.0).expect("a quota");
    let names = (0..TENANTS)
        .map(|i| format!("tenant-{i}").parse().expect("a name"))
        .collect::<Vec<TenantName>>();
    let key = |i: usize, k: usize| KeyDigest::of(&format!("key-{i}-{k}"));
    let keys = (0..TENANTS).map(|i| key(i, i % KEYS)).collect::<Vec<_>>();
    println!("{:<32} {:>8} {:>10}", "decision", "ns", "KiB");

    let before = resident_kib();
    let rules = names.iter().enumerate().map(|(i, name)| TenantRule {
        name: name.clone(),
        keys: (0..KEYS).map(|k| key(i, k)).collect(),
        quota: Some(quota),
    });
    let (directory, _) = TenantDirectory::new(rules.collect());
    measure("tenant and quota of a key", before, |i, _| {
        let tenant = directory.tenant_of(&keys[i]).expect("a tenant");
        black_box(directory.quota_of(tenant));
    });

    let before = resident_kib();
    let mut ledger = QuotaLedger::new(QuotaSettings::default());
    measure("grant", before, |i, now| {
        let request = QuotaRequest {
            wanted: 2,
            waiting: 2,
            number: 1,
            ..QuotaRequest::question(names[i].clone(), 0)
        };
        black_box(ledger.grant(RequesterId(1), &request, quota, now));
    });

    let before = resident_kib();
    let mut cache = QuotaCache::new(QuotaSettings::default());
    let mut own = QuotaLedger::new(QuotaSettings::default());
    measure("admit, request, own grant, admit", before, |i, now| {
        let tenant = &names[i];
        if cache.admit(tenant, 0, now) == Admission::Wait
            && let Some(request) = cache.next_request(tenant, 1, now)
        {
            let grant = own.grant(RequesterId::OWN, &request, quota, now);
            cache.handle_grant(tenant, request.number, grant, now);
            black_box(cache.admit(tenant, 1, now));
        }
        cache.spend(tenant);
        black_box(cache.unanswered(now));
    });

    for instances in [89, 2_000] {
        let before = resident_kib();
        let mut holders = HolderTable::new("instance-0".to_string());
        let listed = (0..instances).map(|i| (format!("instance-{i}"), 1_000));
        holders.replace_instances(listed.collect(), MonoTime::ZERO);
        let label = format!("holder among {instances}");
        measure(&label, before, |i, now| {
            black_box(holders.holder(&names[i], now));
        });
    }
}
