//! Answers to entries, operators and other control instances.

use super::waiting::verdict;
use super::{Ask, Keeper};
use actix::{Context, ResponseFuture};
use flamingo_log::raft::Refusal;
use flamingo_state::Command;
use flamingo_wire::admin::{Answer, Follower, Member, Query, Status};
use flamingo_wire::control::{Fetch, Reply, Report, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::gossip::Liveness;
use flamingo_wire::{Fault, Verdict, id};
use std::time::Instant;
use tokio::sync::oneshot;

impl Keeper {
    /// Answers a question, or passes it on.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        ask: Ask,
        ctx: &mut Context<Self>,
    ) -> ResponseFuture<Reply> {
        match &ask.request {
            Request::Fetch(fetch) => return ready(self.fetch(fetch)),
            Request::Admin(Query::Status) => return self.status(&ask.from, now),
            Request::Admin(Query::Snapshot) => {
                return ready(Reply::Admin(Answer::Snapshot(self.snapshot())));
            }
            _ => {}
        }
        if !self.raft.is_leader(now) {
            return self.pass(ask);
        }
        match ask.request {
            Request::Apply(change) => {
                let duties = self.duties.iter();
                let mut objections = duties.filter_map(|duty| duty.objection(&change.set, now));
                match objections.next() {
                    Some(fault) => ready(Reply::Refused(fault)),
                    None => self.commit(now, Command::Apply(change), ctx),
                }
            }
            Request::Begin(call) => self.commit(now, Command::Begin(call), ctx),
            Request::Finish(answer) => self.commit(now, Command::Finish(answer), ctx),
            Request::Admin(Query::Drain(drain)) => self.commit(now, Command::Drain(drain), ctx),
            Request::Admin(query) => ready(self.read(now, &query)),
            Request::Report(report) => ready(self.report(&report, now)),
            Request::Route(set) => self.commit(now, Command::Route(set), ctx),
            Request::Routes if self.raft.has_read_lease(now) => {
                ready(Reply::Routes(self.state.routes.clone()))
            }
            // What is asked of the holder of orders comes here only where there is none.
            Request::Routes | Request::Usage(_) | Request::LoadAdapter(_) => {
                ready(Reply::Refused(leaderless()))
            }
            Request::Fetch(fetch) => ready(self.fetch(&fetch)),
        }
    }

    fn commit(
        &mut self,
        now: Instant,
        command: Command,
        ctx: &mut Context<Self>,
    ) -> ResponseFuture<Reply> {
        let waited = self.await_reply(now, command);
        self.flush_soon(ctx);
        waited
    }

    /// Proposes a command and returns its reply to come.
    pub(super) fn await_reply(&mut self, now: Instant, command: Command) -> ResponseFuture<Reply> {
        if self.stopping {
            let message = "this instance is stopping";
            let fault = Fault::not_run(Reason::Stopping, message, "ask another instance");
            return ready(Reply::Refused(fault.retry_after(1)));
        }
        let verdict = verdict(&command);
        match self.submit(now, command) {
            Ok(slot) => {
                let (reply, waited) = oneshot::channel();
                self.waiting.add(slot, verdict, now, reply);
                Box::pin(async move { waited.await.unwrap_or_else(|_| gone()) })
            }
            Err(refusal) => ready(Reply::Refused(refused(&refusal))),
        }
    }

    /// Passes a question on to the leader, unless it has been passed on before.
    fn pass(&mut self, ask: Ask) -> ResponseFuture<Reply> {
        let leader = self.raft.leader().cloned();
        let passed = self.is_control(&ask.from);
        let leader = leader.filter(|node| node != &self.node);
        let Some(node) = leader else {
            return ready(Reply::Refused(leaderless()));
        };
        let members = self.raft.members().iter();
        let address = members
            .filter(|member| member.node == node)
            .map(|member| member.address)
            .next();
        match address {
            Some(address) if !passed => Box::pin(self.forwarder.ask(&node, address, ask.request)),
            _ => ready(Reply::Refused(redirect(node))),
        }
    }

    fn is_control(&self, node: &str) -> bool {
        let member = self.raft.members().iter().any(|member| member.node == node);
        member || self.raft.seeds().iter().any(|seed| seed.node == node)
    }

    fn fetch(&self, fetch: &Fetch) -> Reply {
        let version = self.state.configuration.version();
        if fetch.version >= version {
            return Reply::Current(version);
        }
        Reply::Config(self.state.configuration.snapshot())
    }

    fn report(&mut self, report: &Report, now: Instant) -> Reply {
        for duty in &mut self.duties {
            duty.report(report, now);
        }
        Reply::Acknowledged
    }

    /// Answers from committed state, while the lease for reads holds.
    fn read(&self, now: Instant, query: &Query) -> Reply {
        if !self.raft.has_read_lease(now) {
            return Reply::Refused(leaderless());
        }
        let configuration = &self.state.configuration;
        match query {
            Query::History => Reply::Admin(Answer::History(configuration.history())),
            Query::Version(0) => version(Some(configuration.snapshot())),
            Query::Version(number) => version(configuration.kept(*number)),
            Query::Moves => Reply::Admin(Answer::Moves(self.state.orders.moves())),
            _ => self.asked_of_duties(query),
        }
    }

    fn asked_of_duties(&self, query: &Query) -> Reply {
        let answers = self.duties.iter();
        let mut answers = answers.filter_map(|duty| duty.answer(query, &self.state));
        answers.next().map_or_else(
            || {
                let message = "no part of this instance answers that";
                let help = "ask for status, history or a version";
                Reply::Refused(Fault::not_run(Reason::Unknown, message, help))
            },
            Reply::Admin,
        )
    }

    /// Answers with what is known here, and the followers of all other members.
    fn status(&mut self, from: &str, now: Instant) -> ResponseFuture<Reply> {
        let mut status = self.own_status(now);
        if self.is_control(from) {
            return ready(Reply::Admin(Answer::Status(status)));
        }
        let members = self.raft.members().to_vec();
        let others = members.iter().filter(|member| member.node != self.node);
        let asked: Vec<_> = others
            .map(|member| {
                let request = Request::Admin(Query::Status);
                let asked = self.forwarder.ask(&member.node, member.address, request);
                tokio::time::timeout(STATUS, asked)
            })
            .collect();
        Box::pin(async move {
            for reply in futures_util::future::join_all(asked).await {
                if let Ok(Reply::Admin(Answer::Status(other))) = reply {
                    merge(&mut status, other);
                }
            }
            Reply::Admin(Answer::Status(status))
        })
    }

    fn own_status(&self, now: Instant) -> Status {
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
        let followers = followers.map(|watched| Follower {
            node: watched.beat.node.clone(),
            zone: watched.beat.zone.clone(),
            version: watched.beat.version,
            liveness: Liveness::Alive,
        });
        followers.collect()
    }
}

/// Time for which another member's status is waited for.
const STATUS: std::time::Duration = std::time::Duration::from_secs(1);

/// Adds what another member knows better.
fn merge(status: &mut Status, other: Status) {
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

fn version(snapshot: Option<flamingo_wire::config::Snapshot>) -> Reply {
    match snapshot {
        Some(snapshot) => Reply::Admin(Answer::Version(Box::new(snapshot))),
        None => Reply::Refused(Fault::not_run(
            Reason::Unknown,
            "that version is not kept",
            "see the history for the versions, of which the newest are kept",
        )),
    }
}

fn ready(reply: Reply) -> ResponseFuture<Reply> {
    Box::pin(std::future::ready(reply))
}

/// Says why a proposal was not taken.
pub(super) fn refused(refusal: &Refusal) -> Fault {
    let message = refusal.to_string();
    match refusal {
        Refusal::Follower(Some(leader)) => redirect(leader.clone()),
        Refusal::Follower(None) => leaderless(),
        Refusal::Busy => Fault::not_run(Reason::Overloaded, message, "ask again").retry_after(1),
        Refusal::Invalid(_) => Fault::not_run(Reason::Invalid, message, "see the member list"),
        Refusal::Disk => Fault::not_run(Reason::Storage, message, "free or replace the disk"),
    }
}

fn redirect(leader: id::Node) -> Fault {
    let message = format!("{leader} leads");
    let mut fault = Fault::not_run(Reason::Redirect, message, "ask the leader");
    fault.leader = Some(leader);
    fault.retry_after(1)
}

fn leaderless() -> Fault {
    let message = "no majority of the control instances is in reach of this one";
    Fault::not_run(Reason::Leaderless, message, "come back later").retry_after(1)
}

/// The wait ended with the keeper.
fn gone() -> Reply {
    let message = "this instance stopped before the wish was accepted";
    let help = "send it again under the same identity";
    let fault = Fault::not_run(Reason::Stopping, message, help);
    Reply::Refused(fault.verdict(Verdict::MayHaveRun).retry_after(1))
}
