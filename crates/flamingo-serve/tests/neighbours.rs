//! An entry that reaches no target passes requests to entries that were named lately, near ones first.

use flamingo_serve::neighbours::{MAX_KNOWN, MEMORY, Neighbours};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Names each case.
macro_rules! cases {
    ($($name:ident: $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $check(Instant::now());
            }
        )*
    };
}

/// Returns the address of an entry of a zone: both are numbers.
fn address(zone: u8, entry: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, zone, entry], 4_000))
}

fn zone(zone: u8) -> String {
    format!("zone-{zone}")
}

/// Returns neighbours that heard these entries, each given by zone and number, at `now`.
fn hear(entries: &[(u8, u8)], now: Instant) -> Neighbours {
    let mut neighbours = Neighbours::default();
    for (of, entry) in entries {
        neighbours.record(&zone(*of), &[address(*of, *entry)], now);
    }
    neighbours
}

/// Returns all that any of 256 salts draws for an entry of zone 1.
fn draw_all(neighbours: &Neighbours, tried: &[SocketAddr], now: Instant) -> BTreeSet<SocketAddr> {
    let salts = 0..256;
    salts
        .filter_map(|salt| neighbours.choose(&zone(1), None, tried, salt, now))
        .collect()
}

/// Returns the known entries of a zone.
fn known_of(neighbours: &Neighbours, of: u8, now: Instant) -> BTreeSet<SocketAddr> {
    let mut tried = Vec::new();
    while let Some(next) = neighbours.choose(&zone(of), None, &tried, 0, now) {
        tried.push(next);
    }
    let of_zone =
        |address: &SocketAddr| matches!(address, SocketAddr::V4(v4) if v4.ip().octets()[2] == of);
    tried.into_iter().filter(of_zone).collect()
}

cases! {
    nobody_is_chosen_where_nobody_was_named: |now| {
        let neighbours = Neighbours::default();
        assert_eq!(neighbours.choose(&zone(1), None, &[], 0, now), None);
    };
    the_own_zone_goes_first: |now| {
        let neighbours = hear(&[(2, 1), (1, 1), (3, 1), (1, 2)], now);
        let near = BTreeSet::from([address(1, 1), address(1, 2)]);
        assert_eq!(draw_all(&neighbours, &[], now), near);
    };
    other_zones_follow_once_the_own_was_tried: |now| {
        let neighbours = hear(&[(2, 1), (1, 1), (3, 1)], now);
        let far = BTreeSet::from([address(2, 1), address(3, 1)]);
        assert_eq!(draw_all(&neighbours, &[address(1, 1)], now), far);
    };
    nobody_is_left_once_all_were_tried: |now| {
        let neighbours = hear(&[(1, 1), (2, 1)], now);
        let tried = [address(1, 1), address(2, 1)];
        assert_eq!(neighbours.choose(&zone(1), None, &tried, 0, now), None);
    };
    an_entry_does_not_choose_itself: |now| {
        let neighbours = hear(&[(1, 1), (2, 1)], now);
        let own = Some(address(1, 1));
        for salt in 0..256 {
            let chosen = neighbours.choose(&zone(1), own, &[], salt, now);
            assert_eq!(chosen, Some(address(2, 1)));
        }
    };
    salts_spread_over_all_of_a_zone: |now| {
        let entries: Vec<(u8, u8)> = (1..=16).map(|entry| (1, entry)).collect();
        let neighbours = hear(&entries, now);
        let drawn = draw_all(&neighbours, &[], now);
        assert_eq!(drawn.len(), entries.len());
    };
    equal_salts_draw_the_same: |now| {
        let neighbours = hear(&[(1, 1), (1, 2), (1, 3)], now);
        let again = hear(&[(1, 3), (1, 1), (1, 2)], now);
        for salt in 0..256 {
            let chosen = neighbours.choose(&zone(1), None, &[], salt, now);
            assert_eq!(chosen, again.choose(&zone(1), None, &[], salt, now));
        }
    };
    an_entry_is_forgotten_after_its_time: |now: Instant| {
        let neighbours = hear(&[(1, 1)], now);
        let last = now + MEMORY.mul_f64(0.99);
        assert_eq!(neighbours.choose(&zone(1), None, &[], 0, last), Some(address(1, 1)));
        assert_eq!(neighbours.choose(&zone(1), None, &[], 0, now + MEMORY), None);
        assert_eq!(neighbours.count(now + MEMORY), 0);
    };
    an_entry_that_is_named_again_is_kept: |now: Instant| {
        let mut neighbours = hear(&[(1, 1)], now);
        neighbours.record(&zone(1), &[address(1, 1)], now + SECOND);
        let chosen = neighbours.choose(&zone(1), None, &[], 0, now + MEMORY);
        assert_eq!(chosen, Some(address(1, 1)));
        assert_eq!(neighbours.count(now + MEMORY), 1);
    };
    an_entry_that_was_put_aside_is_not_chosen_before_its_time: |now: Instant| {
        let mut neighbours = hear(&[(1, 1), (2, 1)], now);
        let until = now + 2 * SECOND;
        neighbours.put_aside(address(1, 1), until);
        neighbours.record(&zone(1), &[address(1, 1)], now + SECOND);
        let early = neighbours.choose(&zone(1), None, &[], 0, now + SECOND);
        assert_eq!(early, Some(address(2, 1)));
        assert_eq!(neighbours.choose(&zone(1), None, &[], 0, until), Some(address(1, 1)));
    };
    an_earlier_time_does_not_end_a_later_one: |now: Instant| {
        let mut neighbours = hear(&[(1, 1)], now);
        neighbours.put_aside(address(1, 1), now + 2 * SECOND);
        neighbours.put_aside(address(1, 1), now + SECOND);
        assert_eq!(neighbours.choose(&zone(1), None, &[], 0, now + SECOND), None);
    };
    the_number_of_entries_is_bounded: |now| {
        let entries: Vec<(u8, u8)> = (1..=200).map(|entry| (entry % 7, entry)).collect();
        let neighbours = hear(&entries, now);
        assert_eq!(neighbours.count(now), MAX_KNOWN);
    };
    a_large_zone_does_not_push_out_the_small_ones: |now: Instant| {
        let mut neighbours = hear(&[(2, 1), (3, 1)], now);
        for entry in 1..=200 {
            let heard_at = now + SECOND + Duration::from_millis(entry.into());
            neighbours.record(&zone(1), &[address(1, entry)], heard_at);
        }
        let later = now + 2 * SECOND;
        assert_eq!(known_of(&neighbours, 2, later), BTreeSet::from([address(2, 1)]));
        assert_eq!(known_of(&neighbours, 3, later), BTreeSet::from([address(3, 1)]));
    };
    the_most_recent_of_a_zone_are_kept: |now: Instant| {
        let mut neighbours = Neighbours::default();
        let kept = u8::try_from(MAX_KNOWN).unwrap();
        for entry in 1..=100 {
            let heard_at = now + Duration::from_millis(entry.into());
            neighbours.record(&zone(1), &[address(1, entry)], heard_at);
        }
        let newest = (101 - kept..=100).map(|entry| address(1, entry)).collect();
        assert_eq!(known_of(&neighbours, 1, now + SECOND), newest);
    };
    a_long_list_is_bounded_too: |now| {
        let all: Vec<SocketAddr> = (1..=100).map(|entry| address(1, entry)).collect();
        let mut neighbours = Neighbours::default();
        neighbours.record(&zone(1), &all, now);
        assert_eq!(neighbours.count(now), MAX_KNOWN);
    };
}
