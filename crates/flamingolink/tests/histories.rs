//! Histories of concurrent callers against real processes that are killed,
//! frozen and stopped, compared with what the targets truly ran.

mod history;

use flamingo_test_support::wait;
use history::{Fault, History, System};

/// Callers at once.
const CALLERS: usize = 12;
/// Requests of each caller.
const REQUESTS: usize = 40;

/// Runs a history under `faults`, one after every hundredth request.
fn holds(faults: &'static [Fault]) {
    actix_rt::System::new().block_on(async move {
        let mut system = System::start().await;
        let history = History::default();
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let run = history.clone().call(system.entries(), caller, REQUESTS);
                actix_rt::spawn(run)
            })
            .collect();
        let step = CALLERS * REQUESTS / (faults.len() + 1);
        for (number, fault) in faults.iter().enumerate() {
            let enough = (number + 1) * step;
            let ended = || async { (history.ended() >= enough).then_some(()) };
            wait::until("enough requests to end", ended).await;
            system.strike(*fault).await;
        }
        for caller in callers {
            caller.await.unwrap();
        }
        system.thaw();
        let ran = system.ran().await;
        history.check(&ran, CALLERS * REQUESTS);
    });
}

flamingo_test_support::cases! { holds:
    calm(&[]);
    targets_killed(&[Fault::KillService, Fault::KillEngine, Fault::KillService]);
    targets_frozen(&[Fault::FreezeService, Fault::FreezeEngine, Fault::Thaw, Fault::FreezeService]);
    targets_leaving(&[Fault::LeaveService, Fault::LeaveEngine]);
    an_entry_killed(&[Fault::KillEntry, Fault::KillEntry]);
    an_entry_stopped(&[Fault::StopEntry]);
    control_killed(&[Fault::KillControl]);
    everything_at_once(&[
        Fault::FreezeService, Fault::KillEntry, Fault::KillEngine, Fault::Thaw,
        Fault::LeaveService, Fault::KillControl, Fault::KillService,
    ]);
}
