//! Tells operators who is listed, who votes and how many voters the leader reaches.

use super::RaftActor;
use flamingo_log::Member;
use slog::{Logger, info};
use std::time::{Duration, Instant};

/// Time without a vote after which an instance first says so. Each further line comes after twice the time.
const FIRST_NOTICE: Duration = Duration::from_secs(2);

/// What was last logged of the member list, and when this instance says again that it has no vote.
#[derive(Debug, Default)]
pub(super) struct Observer {
    members: Vec<Member>,
    outside: Option<Outside>,
}

/// Since when this instance has no vote, and when it says so again.
#[derive(Debug)]
struct Outside {
    since: Instant,
    notice_at: Instant,
}

impl Observer {
    /// Logs a member list that differs from the last one.
    fn record_members(&mut self, members: &[Member], log: &Logger) {
        if members == self.members {
            return;
        }
        let names = |votes: bool| {
            let members = members.iter().filter(|member| member.votes == votes);
            let names: Vec<_> = members.map(|member| member.node.as_str()).collect();
            names.join(",")
        };
        info!(log, "members"; "voters" => names(true), "learners" => names(false));
        self.members = members.to_vec();
    }

    /// Records whether this instance votes at `now`. Returns the time without a vote if it is to be logged.
    fn record_vote(&mut self, votes: bool, now: Instant) -> Option<Duration> {
        if votes {
            self.outside = None;
            return None;
        }
        let outside = self.outside.get_or_insert(Outside {
            since: now,
            notice_at: now + FIRST_NOTICE,
        });
        if now < outside.notice_at {
            return None;
        }
        let elapsed = now - outside.since;
        outside.notice_at = now + elapsed;
        Some(elapsed)
    }
}

impl RaftActor {
    /// Logs changes of the member list and a lack of a vote, and sets the gauges.
    pub(super) fn observe_membership(&mut self, now: Instant) {
        let members = self.raft.members();
        let listed_voters = members.iter().filter(|member| member.votes).count();
        self.observer.record_members(members, &self.log);
        let votes = self.raft.is_voter();
        if let Some(elapsed) = self.observer.record_vote(votes, now) {
            let seeds = self.raft.seeds().iter();
            let seeds: Vec<_> = seeds.map(|seed| seed.node.as_str()).collect();
            info!(self.log, "no vote"; "for_ms" => elapsed.as_millis(), "seeds" => seeds.join(","),
                "listed" => !self.raft.members().is_empty());
        }
        let number = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.votes.set(i64::from(votes));
        self.metrics.voters.set(number(listed_voters));
        let reached = self.raft.reached_voters(now);
        self.metrics.voters_reached.set(reached.map_or(-1, number));
    }
}
