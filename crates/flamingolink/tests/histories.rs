//! Sends concurrent requests to real processes that are killed, frozen and stopped, and compares
//! the callers' answers with the requests that the targets executed.

mod history;

use flamingo_test_support::wait;
use history::{Fault, History, System};

/// Concurrent callers.
const CALLERS: usize = 12;
/// Requests that each caller sends, one after the other.
const REQUESTS_PER_CALLER: usize = 40;

/// Runs all callers, injects `faults` at equal distances in the number of ended requests, and
/// checks the history.
fn check_history(faults: &'static [Fault]) {
    actix_rt::System::new().block_on(async move {
        let mut system = System::start().await;
        let history = History::default();
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let run = history
                    .clone()
                    .call(system.entries(), caller, REQUESTS_PER_CALLER);
                actix_rt::spawn(run)
            })
            .collect();
        let requests_per_fault = CALLERS * REQUESTS_PER_CALLER / (faults.len() + 1);
        for (number, fault) in faults.iter().enumerate() {
            let threshold = (number + 1) * requests_per_fault;
            let reached = || async { (history.ended() >= threshold).then_some(()) };
            wait::until("enough requests to end", reached).await;
            system.inject(*fault).await;
        }
        for caller in callers {
            caller.await.unwrap();
        }
        system.resume_all();
        let executions = system.executions().await;
        history.check(&executions, CALLERS * REQUESTS_PER_CALLER);
    });
}

flamingo_test_support::cases! { check_history:
    no_faults(&[]);
    targets_killed(&[Fault::KillService, Fault::KillEngine, Fault::KillService]);
    targets_frozen(&[Fault::FreezeService, Fault::FreezeEngine, Fault::Resume, Fault::FreezeService]);
    targets_leaving(&[Fault::LeaveService, Fault::LeaveEngine]);
    an_entry_killed(&[Fault::KillEntry, Fault::KillEntry]);
    an_entry_stopped(&[Fault::StopEntry]);
    control_killed(&[Fault::KillControl]);
    everything_at_once(&[
        Fault::FreezeService, Fault::KillEntry, Fault::KillEngine, Fault::Resume,
        Fault::LeaveService, Fault::KillControl, Fault::KillService,
    ]);
}
