//! Histories of concurrent operators, checked for linearizable
//! compare-and-set.

use flamingo_wire::id;
use std::cell::RefCell;
use std::rc::Rc;
use todc_utils::{Action, History, Specification, WGLChecker};

/// One operation on the configuration, with its result.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Operation {
    /// A change of a base version, and the version that it created if it was accepted.
    Apply(id::Version, Option<id::Version>),
    /// A read, and the version that it returned.
    Read(id::Version),
    /// An operation without a result yet.
    Pending,
}

/// The configuration as one register with compare-and-set.
#[derive(Debug)]
pub struct Register;

impl Specification for Register {
    type State = id::Version;
    type Operation = Operation;

    fn init() -> Self::State {
        0
    }

    fn apply(operation: &Operation, state: &id::Version) -> (bool, id::Version) {
        match operation {
            Operation::Apply(base, Some(made)) if base == state && *made == base + 1 => {
                (true, *made)
            }
            Operation::Apply(base, None) => (base != state, *state),
            Operation::Read(version) => (version == state, *state),
            Operation::Apply(..) | Operation::Pending => (false, *state),
        }
    }
}

/// An action with the process that performed it.
type Step = (usize, Action<Operation>);

/// Records calls and results in order; clones share the record.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    actions: Rc<RefCell<Vec<Step>>>,
}

impl Recorder {
    /// Records that a process starts an operation.
    pub fn call(&self, process: usize) {
        let action = Action::Call(Operation::Pending);
        self.actions.borrow_mut().push((process, action));
    }

    /// Records the result of the operation that a process started.
    pub fn answer(&self, process: usize, operation: Operation) {
        let action = Action::Response(operation);
        self.actions.borrow_mut().push((process, action));
    }

    /// Drops the pending operation of a process, which had no effect.
    pub fn discard(&self, process: usize) {
        let mut actions = self.actions.borrow_mut();
        let open = |(owner, action): &Step| *owner == process && matches!(action, Action::Call(_));
        if let Some(at) = actions.iter().rposition(open) {
            actions.remove(at);
        }
    }

    /// Returns the number of completed operations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.actions.borrow().len() / 2
    }

    /// Returns whether nothing was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.actions.borrow().is_empty()
    }

    /// Returns whether the history is linearizable.
    #[must_use]
    pub fn is_linearizable(&self) -> bool {
        let actions = with_results(&self.actions.borrow());
        WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
    }
}

/// Copies the result of each operation into its call, as the checker requires.
fn with_results(actions: &[Step]) -> Vec<Step> {
    let mut actions_with_results = actions.to_vec();
    for n in 0..actions_with_results.len() {
        let process = actions_with_results[n].0;
        if let Action::Call(_) = actions_with_results[n].1 {
            let mut later = actions[n..].iter();
            let answer = later.find_map(|(owner, action)| match action {
                Action::Response(operation) if *owner == process => Some(operation.clone()),
                _ => None,
            });
            if let Some(operation) = answer {
                actions_with_results[n].1 = Action::Call(operation);
            }
        }
    }
    actions_with_results
}
