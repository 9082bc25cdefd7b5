//! Handles requests of entries, operators and other control instances.

use super::proposals::verdict;
use super::{HandleRequest, RaftActor, without_text};
use crate::controller;
use actix::{Context, ResponseFuture};
use flamingo_log::raft::Refusal;
use flamingo_settings::set;
use flamingo_state::Command;
use flamingo_wire::admin::{Answer, Follower, Member, Query, Status};
use flamingo_wire::config::Set;
use flamingo_wire::control::{Fetch, Reply, Report, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::gossip::Liveness;
use flamingo_wire::{Fault, Verdict, id};
use slog::info;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::oneshot;

impl RaftActor {
    /// Answers a request, or forwards it to the leader.
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        message: HandleRequest,
        ctx: &mut Context<Self>,
    ) -> ResponseFuture<Reply> {
        match &message.request {
            Request::Fetch(fetch) => return ready(self.fetch(fetch)),
            Request::Admin(Query::Status) => return self.status(&message.from, now),
            Request::Admin(Query::Snapshot) => {
                return ready(Reply::Admin(Answer::Snapshot(self.take_snapshot())));
            }
            _ => {}
        }
        if !self.raft.is_leader(now) {
            return self.forward(message);
        }
        match message.request {
            Request::Apply(change) => {
                if let Some(fault) = invalid_set(&change.set) {
                    return ready(Reply::Refused(fault));
                }
                let leader_tasks = self.leader_tasks.iter();
                let mut objections =
                    leader_tasks.filter_map(|leader_task| leader_task.objection(&change.set, now));
                match objections.next() {
                    Some(fault) => ready(Reply::Refused(fault)),
                    None => self.commit(now, Command::Apply(change), ctx),
                }
            }
            Request::Begin(call) => self.commit(now, Command::Begin(call), ctx),
            Request::Finish(answer) => self.commit(now, Command::Finish(answer), ctx),
            Request::Admin(Query::Drain(drain)) => self.commit(now, Command::Drain(drain), ctx),
            Request::Admin(Query::Workspaces) => self.ask_controller(message),
            Request::Admin(query) => ready(self.read_committed(now, &query)),
            Request::Report(report) => ready(self.report(&report, now)),
            Request::Route(set) => self.commit(now, Command::Route(set), ctx),
            Request::Routes if self.raft.has_read_lease(now) => {
                ready(Reply::Routes(self.state.routes.clone()))
            }
            Request::PushedRoutes if self.raft.has_read_lease(now) => {
                let pushed = self.state.routes.as_deref().map(without_text);
                ready(Reply::Routes(pushed.map(Arc::new)))
            }
            Request::Confirm(origin) => self.commit(now, Command::Confirm(origin), ctx),
            Request::Versions(service) if self.raft.has_read_lease(now) => {
                ready(Reply::Versions(self.state.software.versions(&service)))
            }
            // Requests to the engine controller arrive here only where the instance runs none, and
            // those about streams are answered before.
            Request::Routes
            | Request::PushedRoutes
            | Request::Versions(_)
            | Request::Usage(_)
            | Request::PassUsage(_)
            | Request::Usages(_)
            | Request::Permit(_)
            | Request::Room(_)
            | Request::Rejected(_)
            | Request::Quota(_)
            | Request::LoadAdapter(_)
            | Request::Begun(_)
            | Request::Origin(_) => ready(Reply::Refused(leaderless_fault())),
            Request::Fetch(fetch) => ready(self.fetch(&fetch)),
        }
    }

    /// Proposes a command and queues a flush.
    fn commit(
        &mut self,
        now: Instant,
        command: Command,
        ctx: &mut Context<Self>,
    ) -> ResponseFuture<Reply> {
        let reply = self.propose_for_reply(now, command);
        self.flush_soon(ctx);
        reply
    }

    /// Proposes a command; the returned future resolves to the command's reply.
    pub(super) fn propose_for_reply(
        &mut self,
        now: Instant,
        command: Command,
    ) -> ResponseFuture<Reply> {
        if self.stopping {
            let message = "this instance is stopping";
            let fault = Fault::not_run(Reason::Stopping, message, "ask another control instance");
            return ready(Reply::Refused(fault.retry_after(1)));
        }
        let verdict = verdict(&command);
        match self.propose(now, command) {
            Ok(entry_id) => {
                let (sender, receiver) = oneshot::channel();
                self.proposals.add(entry_id, verdict, now, sender);
                Box::pin(async move { receiver.await.unwrap_or_else(|_| stopped_reply()) })
            }
            Err(refusal) => ready(Reply::Refused(refusal_fault(&refusal))),
        }
    }

    /// Forwards a request to the leader, or redirects the sender if the request has been forwarded
    /// before.
    fn forward(&mut self, message: HandleRequest) -> ResponseFuture<Reply> {
        let leader = self.raft.leader().cloned();
        let forwarded = self.is_control(&message.from);
        let leader = leader.filter(|node| node != &self.node);
        let Some(node) = leader else {
            return ready(Reply::Refused(leaderless_fault()));
        };
        let members = self.raft.members().iter();
        let address = members
            .filter(|member| member.node == node)
            .map(|member| member.address)
            .next();
        match address {
            Some(address) if !forwarded => {
                Box::pin(self.forwarder.send(&node, address, message.request))
            }
            _ => ready(Reply::Refused(redirect_fault(node))),
        }
    }

    /// Returns whether a node is a control instance that this instance knows of.
    pub(super) fn is_control(&self, node: &str) -> bool {
        let member = self.raft.members().iter().any(|member| member.node == node);
        member || self.raft.seeds().iter().any(|seed| seed.node == node)
    }

    /// Returns the configuration if it is newer than the version that the sender has.
    fn fetch(&self, fetch: &Fetch) -> Reply {
        let version = self.state.configuration.version();
        if fetch.version >= version {
            return Reply::Current(version);
        }
        Reply::Config(self.state.configuration.snapshot())
    }

    fn report(&mut self, report: &Report, now: Instant) -> Reply {
        for leader_task in &mut self.leader_tasks {
            leader_task.report(report, now);
        }
        self.evidence.record(&report.node, &report.evidence, now);
        for finding in self.evidence.judge(now) {
            let kind: &str = finding.kind.into();
            info!(self.log, "prompts refused"; "kind" => kind, "model" => &finding.key.service,
                "prefix" => format!("{:x}", finding.key.part), "events" => finding.events,
                "answered" => finding.answered);
        }
        let quarantines = self.evidence.quarantines(now);
        if quarantines.is_empty() {
            return Reply::Acknowledged;
        }
        Reply::Quarantines(quarantines)
    }

    /// Has the engine controller answer a query. Without one, leader tasks are asked.
    fn ask_controller(&self, message: HandleRequest) -> ResponseFuture<Reply> {
        let Some(controller) = self.controller.clone() else {
            return ready(self.answer_from_leader_tasks(&Query::Workspaces));
        };
        Box::pin(async move {
            controller::send_request(&controller, &message.from, message.request).await
        })
    }

    /// Answers a query from committed state, or refuses it where the read lease has expired.
    fn read_committed(&self, now: Instant, query: &Query) -> Reply {
        if !self.raft.has_read_lease(now) {
            return Reply::Refused(leaderless_fault());
        }
        let configuration = &self.state.configuration;
        match query {
            Query::History => Reply::Admin(Answer::History(configuration.history())),
            Query::Version(0) => version_reply(Some(configuration.snapshot())),
            Query::Version(number) => version_reply(configuration.kept(*number)),
            Query::Moves => Reply::Admin(Answer::Moves(self.state.orders.moves())),
            _ => self.answer_from_leader_tasks(query),
        }
    }

    fn answer_from_leader_tasks(&self, query: &Query) -> Reply {
        let answers = self.leader_tasks.iter();
        let mut answers = answers.filter_map(|leader_task| leader_task.answer(query, &self.state));
        answers.next().map_or_else(
            || {
                let message = "this instance does not support the query";
                let help = "ask for status, history or a version";
                Reply::Refused(Fault::not_run(Reason::Unknown, message, help))
            },
            Reply::Admin,
        )
    }

    /// Answers with the status of this instance, merged with the status of all other members
    /// unless another control instance asks.
    fn status(&mut self, from: &str, now: Instant) -> ResponseFuture<Reply> {
        let mut status = self.local_status(now);
        if self.is_control(from) {
            return ready(Reply::Admin(Answer::Status(status)));
        }
        let members = self.raft.members().to_vec();
        let others = members.iter().filter(|member| member.node != self.node);
        let replies: Vec<_> = others
            .map(|member| {
                let request = Request::Admin(Query::Status);
                let reply = self.forwarder.send(&member.node, member.address, request);
                tokio::time::timeout(STATUS_TIMEOUT, reply)
            })
            .collect();
        Box::pin(async move {
            for reply in futures_util::future::join_all(replies).await {
                if let Ok(Reply::Admin(Answer::Status(other))) = reply {
                    merge_status(&mut status, other);
                }
            }
            Reply::Admin(Answer::Status(status))
        })
    }

    fn local_status(&self, now: Instant) -> Status {
        let members = self.raft.members().iter();
        let members = members.map(|member| Member {
            node: member.node.clone(),
            votes: member.votes,
            matched: self.raft.match_index(&member.node),
        });
        let leads = self.raft.is_leader(now);
        let leader = self
            .raft
            .leader()
            .filter(|node| leads || *node != &self.node);
        Status {
            node: self.node.clone(),
            leader: leader.cloned(),
            term: self.raft.term(),
            committed: self.raft.commit_index(),
            version: self.state.configuration.version(),
            members: members.collect(),
            followers: self.followers(),
        }
    }

    fn followers(&self) -> Vec<Follower> {
        let followers = self.followers.values();
        let followers = followers.map(|follower| Follower {
            node: follower.heartbeat.node.clone(),
            zone: follower.heartbeat.zone.clone(),
            version: follower.heartbeat.version,
            liveness: Liveness::Alive,
        });
        followers.collect()
    }
}

/// Time in which another member must answer with its status.
const STATUS_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Adds the followers of another member, and the member list where the other member leads.
fn merge_status(status: &mut Status, other: Status) {
    let leads = other.leader.as_ref() == Some(&other.node);
    if leads && other.term >= status.term {
        status.members = other.members;
    }
    for follower in other.followers {
        let known = status
            .followers
            .iter_mut()
            .find(|known| known.node == follower.node);
        match known {
            Some(known) if known.version < follower.version => *known = follower,
            Some(_) => {}
            None => status.followers.push(follower),
        }
    }
}

fn version_reply(snapshot: Option<flamingo_wire::config::Snapshot>) -> Reply {
    match snapshot {
        Some(snapshot) => Reply::Admin(Answer::Version(Box::new(snapshot))),
        None => Reply::Refused(Fault::not_run(
            Reason::Unknown,
            "that version is not stored any more",
            "see the history for the versions that are stored",
        )),
    }
}

fn ready(reply: Reply) -> ResponseFuture<Reply> {
    Box::pin(std::future::ready(reply))
}

/// Returns the fault for a refused proposal.
pub(super) fn refusal_fault(refusal: &Refusal) -> Fault {
    let message = refusal.to_string();
    match refusal {
        Refusal::Follower(Some(leader)) => redirect_fault(leader.clone()),
        Refusal::Follower(None) => leaderless_fault(),
        Refusal::Busy => {
            Fault::not_run(Reason::Overloaded, message, "retry the request").retry_after(1)
        }
        Refusal::Invalid(_) => Fault::not_run(Reason::Invalid, message, "see the member list"),
        Refusal::Disk => Fault::not_run(Reason::Storage, message, "free or replace the disk"),
    }
}

/// Returns the refusal of a set that no file could hold. `flamingoctl` checks a file before it sends the set;
/// this guards against other clients.
fn invalid_set(set: &Set) -> Option<Fault> {
    let problems = set::problems(set);
    if problems.is_empty() {
        return None;
    }
    let help = "correct the set: flamingoctl config validate FILE";
    Some(Fault::not_run(Reason::Invalid, problems.join("; "), help))
}

fn redirect_fault(leader: id::Node) -> Fault {
    let message = format!("this instance does not lead; the leader is {leader}");
    let mut fault = Fault::not_run(Reason::Redirect, message, "ask the leader");
    fault.leader = Some(leader);
    fault.retry_after(1)
}

fn leaderless_fault() -> Fault {
    let message = "no leader with a majority of the control instances is reachable";
    Fault::not_run(Reason::Leaderless, message, "retry later").retry_after(1)
}

/// Returns the reply to a caller whose proposal was pending when the actor stopped.
fn stopped_reply() -> Reply {
    let message = "this instance stopped before the request was accepted";
    let help = "resend the request with the same identity";
    let fault = Fault::not_run(Reason::Stopping, message, help);
    Reply::Refused(fault.verdict(Verdict::MayHaveRun).retry_after(1))
}
