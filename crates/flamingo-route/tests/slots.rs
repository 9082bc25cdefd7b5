//! Several entries share one engine whose load reports lag: together they must not exceed
//! its slots.

use flamingo_route::target::Target;
use flamingo_test_support::cases;
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load};
use std::collections::VecDeque;

/// Maximum number of requests in flight at the engine, over all entries.
const CAPACITY: u32 = 32;
/// Steps between two load reports.
const REPORT_INTERVAL: usize = 5;
/// Steps by which a report lags behind the state that it shows.
const REPORT_LAG: usize = 3;
/// Steps that one request takes at the engine.
const REQUEST_STEPS: usize = 12;
const STEPS: usize = 200;

fn announcement(sequence: usize, running: u32) -> Announcement {
    Announcement {
        target: "engine-1".into(),
        incarnation: 1,
        sequence: sequence as u64,
        zone: "zone-a".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        availability: Availability::Serving,
        load: Load {
            running,
            ..Load::default()
        },
        kind: Kind::Engine(Engine {
            memory: 1,
            fenced: true,
            resident: Vec::new(),
            loading: Vec::new(),
            ended: Vec::new(),
        }),
    }
}

/// From one step on, all entries have more requests than they may send; that step is varied
/// over the whole interval between two reports.
fn a_rush_does_not_overfill_the_engine(entries: usize) {
    for start in 0..REPORT_INTERVAL {
        rush(entries, start);
    }
}

fn rush(entries: usize, start: usize) {
    let mut targets: Vec<_> = (0..entries)
        .map(|_| Target::new(announcement(0, 0), false))
        .collect();
    let mut running: Vec<VecDeque<_>> = (0..entries).map(|_| VecDeque::new()).collect();
    let mut counts = VecDeque::from(vec![0; REPORT_LAG]);
    for step in 1..STEPS {
        let total: usize = running.iter().map(VecDeque::len).sum();
        let total = u32::try_from(total).unwrap();
        assert!(
            total <= CAPACITY,
            "{total} requests at step {step} with {entries} entries"
        );
        counts.push_back(total);
        let lagged = counts.pop_front().unwrap();
        for (target, running) in targets.iter_mut().zip(&mut running) {
            while running
                .front()
                .is_some_and(|(since, _)| since + REQUEST_STEPS <= step)
            {
                let (_, slot) = running.pop_front().unwrap();
                target.release_slot(slot);
            }
            if step % REPORT_INTERVAL == 0 {
                target.update(announcement(step, lagged));
            }
            while step > start && target.own_requests() < target.allowance(CAPACITY, entries) {
                running.push_back((step, target.take_slot()));
            }
        }
    }
}

cases! { a_rush_does_not_overfill_the_engine:
    one_entry(1);
    two_entries(2);
    four_entries(4);
    eight_entries(8);
}
