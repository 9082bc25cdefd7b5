//! Gets room for a request at a target that is brittle, and tells the leader of rejections there.

use super::Proxy;
use super::job::{AttemptError, Job};
use crate::choice::Candidate;
use crate::wire::Cause;
use flamingo_guard::places::{Places, ask_again};
use flamingo_wire::control::{Reply, Request, Room};
use flamingo_wire::fault::Reason;
use slog::info;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which the leader must answer.
const ROOM_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which the leader is not asked after it has not answered.
const SILENT_LEADER_PAUSE: Duration = Duration::from_millis(500);
/// Time for which this entry sends nothing to a brittle target that has rejected its request.
const REJECTION_PAUSE: Duration = Duration::from_millis(500);

impl Proxy {
    /// Takes room for a request at the chosen target, if that is brittle. Without room the request goes to
    /// another target.
    pub(super) async fn take_room(
        &self,
        job: &Job,
        candidate: &Candidate,
    ) -> Result<(), AttemptError> {
        let Some(asked) = self.room_of(candidate) else {
            return Ok(());
        };
        let (taken, source) = match self.ask_for_room(job, &asked).await {
            Some(taken) => (taken, "leader"),
            None => (self.take_own_place(&asked), "own"),
        };
        let Err(until) = taken else {
            self.metrics.rooms.with_label_values(&[source]).inc();
            return Ok(());
        };
        let now = Instant::now();
        info!(self.log, "no room at brittle target"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "source" => source, "running" => asked.running,
            "wait_ms" => until.saturating_duration_since(now).as_millis());
        self.metrics.rooms.with_label_values(&["full"]).inc();
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&candidate.target) {
            target.availability.record_full(until);
        }
        job.exclude(candidate);
        Err(AttemptError::NotRun(Cause::Paused))
    }

    /// Returns what this entry says of the chosen target; `None` if that is not brittle.
    fn room_of(&self, candidate: &Candidate) -> Option<Room> {
        let table = self.topology.table.borrow();
        let target = table.get(&candidate.target)?;
        Some(Room {
            target: candidate.target.clone(),
            incarnation: candidate.incarnation,
            rejections_per_s: table.tolerance(target, Instant::now())?,
            slots: target.slots(),
            running: target.own.running,
        })
    }

    /// Asks the leader for room. Returns `None` if no leader answers.
    async fn ask_for_room(&self, job: &Job, asked: &Room) -> Option<Result<(), Instant>> {
        let leader = self.topology.peers.borrow().leader?;
        let asked_at = Instant::now();
        let pause = self.room_questions_from.get();
        if pause.is_some_and(|until| asked_at < until) {
            return None;
        }
        let deadline = job.deadline.min(asked_at + ROOM_TIMEOUT);
        let request = Request::Room(asked.clone());
        let wait = match self.control_client.ask(leader, &request, deadline).await {
            Reply::Acknowledged => None,
            Reply::NoPermit(wait_ms) => Some(Duration::from_millis(wait_ms)),
            Reply::Refused(fault) if fault.reason == Reason::Leaderless => {
                self.topology.peers.borrow_mut().remove_leader(leader);
                return None;
            }
            _ => {
                let now = Instant::now();
                self.room_questions_from
                    .set(Some(now + SILENT_LEADER_PAUSE));
                return None;
            }
        };
        let now = Instant::now();
        self.with_places(asked, |places| match wait {
            None => places.record_granted(),
            Some(_) => places.record_full(),
        });
        Some(wait.map_or(
            Ok(()),
            |wait| Err(now + wait.max(ask_again(self.entries()))),
        ))
    }

    /// Takes one of this entry's own places.
    fn take_own_place(&self, asked: &Room) -> Result<(), Instant> {
        let entries = self.entries();
        let taken = self.with_places(asked, |places| {
            places.try_take(asked.rejections_per_s, entries, Instant::now())
        });
        // A target that has gone meanwhile is not sent the request in any case.
        taken.unwrap_or(Ok(()))
    }

    fn with_places<T>(&self, asked: &Room, action: impl FnOnce(&mut Places) -> T) -> Option<T> {
        let mut table = self.topology.table.borrow_mut();
        let target = table.get_mut(&asked.target)?;
        let seed = || RandomState::new().hash_one(&asked.target);
        let places = &mut target.places;
        Some(action(
            places.get_or_insert_with(|| Places::new(seed(), Instant::now())),
        ))
    }

    /// Records that a brittle target rejected a request for want of room, and tells the leader.
    pub(super) fn record_rejection_for_room(self: &Rc<Self>, job: &Job, candidate: &Candidate) {
        let Some(rejected) = self.room_of(candidate) else {
            return;
        };
        info!(self.log, "brittle target rejected"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "running" => rejected.running,
            "bears" => rejected.rejections_per_s);
        self.metrics.rooms.with_label_values(&["rejected"]).inc();
        let now = Instant::now();
        if let Some(target) = self.topology.table.borrow_mut().get_mut(&candidate.target) {
            target.availability.record_full(now + REJECTION_PAUSE);
        }
        let Some(leader) = self.topology.peers.borrow().leader else {
            return;
        };
        let proxy = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let request = Request::Rejected(rejected);
            let deadline = now + ROOM_TIMEOUT;
            // Where no leader hears it, each entry learns by its own requests.
            proxy.control_client.ask(leader, &request, deadline).await;
        });
    }
}
