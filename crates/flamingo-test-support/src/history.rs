//! Histories of concurrent operators, checked for linearizable
//! compare-and-set.

use flamingo_wire::id;
use std::cell::RefCell;
use std::rc::Rc;
use todc_utils::{Action, History, Specification, WGLChecker};

/// One operation on the configuration, with what came of it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Operation {
    /// A change made from a version; the version that it made, if it was accepted.
    Apply(id::Version, Option<id::Version>),
    /// A read, and the version that it gave.
    Read(id::Version),
    /// Nothing is known yet; only in calls.
    Open,
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
            Operation::Apply(..) | Operation::Open => (false, *state),
        }
    }
}

/// A process and what it did.
type Step = (usize, Action<Operation>);

/// What was called and answered, in order; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    actions: Rc<RefCell<Vec<Step>>>,
}

impl Recorder {
    /// Notes that a process begins an operation.
    pub fn call(&self, process: usize) {
        let action = Action::Call(Operation::Open);
        self.actions.borrow_mut().push((process, action));
    }

    /// Notes how the operation ended.
    pub fn answer(&self, process: usize, operation: Operation) {
        let action = Action::Response(operation);
        self.actions.borrow_mut().push((process, action));
    }

    /// Drops the operation that a process began: it told nothing and did nothing.
    pub fn forget(&self, process: usize) {
        let mut actions = self.actions.borrow_mut();
        let open = |(owner, action): &Step| *owner == process && matches!(action, Action::Call(_));
        if let Some(at) = actions.iter().rposition(open) {
            actions.remove(at);
        }
    }

    /// Returns how many operations ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.actions.borrow().len() / 2
    }

    /// Returns whether nothing was noted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.actions.borrow().is_empty()
    }

    /// Returns whether some order of the operations explains all answers.
    #[must_use]
    pub fn is_linearizable(&self) -> bool {
        let actions = told(&self.actions.borrow());
        WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
    }
}

/// Writes into each call what its answer told, as the checker wants it.
fn told(actions: &[Step]) -> Vec<Step> {
    let mut told = actions.to_vec();
    for n in 0..told.len() {
        let process = told[n].0;
        if let Action::Call(_) = told[n].1 {
            let mut later = actions[n..].iter();
            let answer = later.find_map(|(owner, action)| match action {
                Action::Response(operation) if *owner == process => Some(operation.clone()),
                _ => None,
            });
            if let Some(operation) = answer {
                told[n].1 = Action::Call(operation);
            }
        }
    }
    told
}
