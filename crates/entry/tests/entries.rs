//! The choice of entry hosts for a caller to connect to.

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_entry::entries::{CallerLocation, answer};
use cornelhitch_types::entry::Host;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MAX_AGE: Duration = Duration::from_secs(10);

fn address(host: u64) -> SocketAddr {
    SocketAddr::new(
        [10, 0, 0, 1].into(),
        8_000 + u16::try_from(host).unwrap_or_default(),
    )
}

/// Returns a host in one of three regions with two zones each.
fn host(host: u64, load: u32, draining: bool) -> Host {
    let (region, zone) = (host % 3, host % 6);
    Host {
        host,
        incarnation: 1,
        address: address(host),
        region: format!("r{region}").into(),
        zone: format!("z{zone}").into(),
        load,
        draining,
        settings: 1,
    }
}

fn location() -> CallerLocation {
    CallerLocation {
        region: "r0".into(),
        zone: "z0".into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn answers_name_open_hosts_once_and_near_ones_first(
        hosts in proptest::collection::vec((0_u32..500, any::<bool>()), 0..12),
        seed in any::<u64>(),
    ) {
        let hosts: Vec<Host> = (0..).zip(hosts).map(|(id, (load, draining))| host(id, load, draining)).collect();
        let known: Vec<&Host> = hosts.iter().collect();
        let answer = answer(&known, &location(), MAX_AGE, &mut SmallRng::seed_from_u64(seed));
        let open = hosts.iter().filter(|host| !host.draining).count();
        prop_assert_eq!(answer.addresses.len(), open.min(4));
        prop_assert!(answer.max_age <= MAX_AGE && answer.max_age >= MAX_AGE.mul_f64(0.7));
        let named: Vec<&Host> = answer
            .addresses
            .iter()
            .filter_map(|address| hosts.iter().find(|host| host.address == *address))
            .collect();
        prop_assert!(named.iter().all(|host| !host.draining));
        let near = named.iter().map(|host| &*host.region == "r0");
        prop_assert!(near.is_sorted_by_key(|near| !near));
        let mut once = answer.addresses.clone();
        once.sort_unstable();
        once.dedup();
        prop_assert_eq!(once.len(), answer.addresses.len());
    }
}

#[test]
fn callers_are_spread_and_a_busy_host_never_leads() {
    let hosts: Vec<Host> = (0..9)
        .map(|id| host(id, if id == 3 { 500 } else { 10 }, false))
        .collect();
    let known: Vec<&Host> = hosts.iter().collect();
    let mut random = SmallRng::seed_from_u64(1);
    let mut leads = [0_u32; 9];
    for _ in 0..900 {
        let first = answer(&known, &location(), MAX_AGE, &mut random).addresses[0];
        let index = hosts.iter().position(|host| host.address == first);
        leads[index.expect("a known host")] += 1;
    }
    // Each answer picks the less busy of two out of three hosts in the region, so the busy one
    // never leads.
    assert_eq!(leads[3], 0, "{leads:?}");
    assert!(leads[0] > 200 && leads[6] > 200, "{leads:?}");
}
