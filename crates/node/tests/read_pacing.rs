//! Which addresses are read from no faster than their allowance refills.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use cornelhitch_node::read_pacing::ReadPacing;
use proptest::prelude::*;

const RATE: usize = 256_000;
/// Bytes that an address may send at once.
const ALLOWANCE: usize = 2 * RATE;

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Guards against one address that slows the reads of others.
#[test]
fn an_address_pauses_alone() {
    let mut pacing = ReadPacing::new(RATE);
    pacing.charge(address(1), ALLOWANCE + 1, Duration::ZERO);
    assert!(pacing.pause(address(1), Duration::ZERO).is_some());
    assert_eq!(pacing.pause(address(2), Duration::ZERO), None);
}

/// Guards against pauses of callers whose bytes become requests and bodies.
#[test]
fn bytes_of_requests_cause_no_pause() {
    let mut pacing = ReadPacing::new(RATE);
    for _ in 0..1_000 {
        pacing.charge(address(1), 64 << 10, Duration::ZERO);
        assert_eq!(pacing.pause(address(1), Duration::ZERO), None);
        pacing.refund(address(1), 64 << 10, Duration::ZERO);
    }
}

/// Guards against a table of addresses that grows without a bound.
#[test]
fn addresses_with_a_full_allowance_are_forgotten() {
    let mut pacing = ReadPacing::new(RATE);
    for number in 0..100_000_u32 {
        let address = Ipv4Addr::from_bits(number).into();
        pacing.charge(address, 100, Duration::from_millis(number.into()));
    }
    assert!(pacing.addresses() < 200, "{}", pacing.addresses());
}

proptest! {
    /// Guards against an address that is read from faster than its allowance and its refill allow, by more
    /// than one read of each connection, or that is never read from again.
    #[test]
    fn an_address_is_read_from_at_its_rate(
        reads in prop::collection::vec((1_usize..8_192, 0_u64..50), 1..500),
    ) {
        let mut pacing = ReadPacing::new(RATE);
        let mut now = Duration::ZERO;
        let mut read = 0;
        for (bytes, step) in reads {
            now += Duration::from_millis(step);
            let mut pauses = 0;
            while let Some(pause) = pacing.pause(address(1), now) {
                prop_assert!(pause <= Duration::from_secs(1));
                now += pause;
                pauses += 1;
                prop_assert!(pauses < 10);
            }
            pacing.charge(address(1), bytes, now);
            read += bytes;
            let refilled = now.as_secs_f64() * 256_000.0;
            let most = f64::from(u32::try_from(ALLOWANCE + bytes).expect("few bytes")) + refilled + 1.0;
            prop_assert!(f64::from(u32::try_from(read).expect("few bytes")) <= most);
        }
    }
}
