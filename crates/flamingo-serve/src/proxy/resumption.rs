//! Finds the software version at which a stream began that a caller goes on with.
//!
//! Targets do not check the version, so a stream goes on only where its origin is known: from this
//! entry's own memory, from a control instance, or because the leader's committed state holds one
//! version of the service only. The targets that a process has heard of prove nothing: it may have
//! started, connected or gone on a moment ago.

use super::Proxy;
use crate::wire::RequestHead;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::id;
use flamingo_wire::route::Route;
use flamingo_wire::stream::{self, Knowledge, Origin};
use futures_util::future::join_all;
use futures_util::join;
use slog::info;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a request waits until its stream is reported: the interval between two reports
/// of an entry, with time for their way.
const REPORT_WAIT: Duration = Duration::from_millis(300);
/// Time for which a request waits for control instances that are not connected or do not answer:
/// one may be about to return with what it keeps on disk.
const CONTROL_RETURN_WAIT: Duration = Duration::from_secs(1);
/// Interval between two questions about the same stream.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a control instance must answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// What the leader's committed state says of the origin of any stream of a route.
enum Versions {
    /// All streams begin here.
    One(Origin),
    /// Streams can begin at several places.
    Several,
    /// No leader has answered.
    Unanswered,
}

impl Proxy {
    /// Returns where the stream began that a request goes on with. Returns `None` if the origin is
    /// not known by `deadline`.
    pub(super) async fn find_origin(
        &self,
        route: &Route,
        request: &RequestHead,
        deadline: Instant,
    ) -> Option<Origin> {
        let stream = request.resumes.as_deref().map(stream::key);
        let own = stream.map_or(Knowledge::Unknown, |stream| {
            self.topology.origins.borrow().find(stream)
        });
        let (knowledge, source) = match own {
            Knowledge::Unknown => self.ask_for_origin(route, stream, deadline).await,
            known => (known, "own"),
        };
        let origin = match knowledge {
            Knowledge::Known(origin) => Some(origin),
            Knowledge::Unknown | Knowledge::Uncertain => None,
        };
        let software = origin.as_ref().map(|origin| &origin.software);
        info!(self.log, "stream origin"; "request" => &request.attempt_id,
            "resumes" => &request.resumes, "software" => software, "source" => source);
        let origin = origin?;
        let mut services = route.shares.iter().map(|share| &share.service);
        services
            .any(|service| *service == origin.service)
            .then_some(origin)
    }

    /// Returns whether a target's restart has made it uncertain which version began the stream of a
    /// request.
    pub(super) fn is_origin_uncertain(&self, request: &RequestHead) -> bool {
        let attempt_id = request.attempt_id.as_deref();
        attempt_id.is_some_and(|attempt_id| {
            let origins = self.topology.origins.borrow();
            origins.find(stream::key(attempt_id)) == Knowledge::Uncertain
        })
    }

    /// Asks all connected control instances for the origin of a stream, and the leader for the versions
    /// at which it can have begun, until it is known or [`REPORT_WAIT`] has passed; [`CONTROL_RETURN_WAIT`]
    /// where not all answer. A caller that does not name its stream has `None`. Returns what is known,
    /// and the name of the source.
    async fn ask_for_origin(
        &self,
        route: &Route,
        stream: Option<stream::Key>,
        deadline: Instant,
    ) -> (Knowledge, &'static str) {
        let asked_at = Instant::now();
        loop {
            let controls = self.topology.peers.borrow().connected();
            let (answers, versions) = join!(
                self.ask_all(&controls, stream),
                self.ask_for_versions(route, &controls)
            );
            let all_answered = self.topology.peers.borrow().are_all(answers.len());
            let joined = answers
                .into_iter()
                .fold(Knowledge::Unknown, Knowledge::join);
            if joined != Knowledge::Unknown {
                return (joined, "control");
            }
            let wait = match versions {
                Versions::One(origin) => return (Knowledge::Known(origin), "only_version"),
                Versions::Several if stream.is_none() => Duration::ZERO,
                Versions::Several if all_answered => REPORT_WAIT,
                Versions::Several | Versions::Unanswered => CONTROL_RETURN_WAIT,
            };
            if Instant::now() >= deadline.min(asked_at + wait) {
                return (Knowledge::Unknown, "unknown");
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Returns the answers of the instances that answer in time, and none where there is no stream to
    /// ask for.
    async fn ask_all(
        &self,
        controls: &[SocketAddr],
        stream: Option<stream::Key>,
    ) -> Vec<Knowledge> {
        let Some(stream) = stream else {
            return Vec::new();
        };
        let replies = self.ask_each(controls, &Request::Origin(stream)).await;
        let answers = replies.into_iter().filter_map(|reply| match reply {
            Reply::Origin(knowledge) => Some(knowledge),
            _ => None,
        });
        answers.collect()
    }

    /// Asks the leader for the versions of the service to which a route goes: directly, or through all
    /// other control instances where it is not known.
    async fn ask_for_versions(&self, route: &Route, controls: &[SocketAddr]) -> Versions {
        let [share] = route.shares.as_slice() else {
            return Versions::Several;
        };
        let leader = self.topology.peers.borrow().leader;
        let asked = leader.as_ref().map_or(controls, std::slice::from_ref);
        let request = Request::Versions(share.service.clone());
        let mut replies = self.ask_each(asked, &request).await.into_iter();
        let answer = replies.find_map(|reply| match reply {
            Reply::Versions(versions) => Some(versions),
            _ => None,
        });
        let Some(versions) = answer else {
            return Versions::Unanswered;
        };
        match <[id::Software; 1]>::try_from(versions) {
            Ok([software]) => Versions::One(Origin {
                service: share.service.clone(),
                software,
            }),
            Err(_) => Versions::Several,
        }
    }

    /// Sends a request to control instances and returns their replies.
    async fn ask_each(&self, controls: &[SocketAddr], request: &Request) -> Vec<Reply> {
        let deadline = Instant::now() + ASK_TIMEOUT;
        let asked = controls
            .iter()
            .map(|control| self.control_client.ask(*control, request, deadline));
        join_all(asked).await
    }
}
