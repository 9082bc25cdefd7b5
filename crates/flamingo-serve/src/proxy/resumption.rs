//! Finds the software version at which a stream began that a caller goes on with.
//!
//! Targets do not check the version, so a stream goes on only where its origin is known: from this
//! entry's own memory, from a control instance, or because the leader's committed state holds one
//! version of the service only. The targets that a process has heard of prove nothing: it may have
//! started, connected or gone on a moment ago.
//!
//! Where the configuration has workspaces, a stream goes on only for the one that began it. A stream that
//! is known, but not under the caller's workspace, is another one's.

use super::Proxy;
use super::job::Job;
use crate::wire::RequestHead;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::id;
use flamingo_wire::route::Route;
use flamingo_wire::stream::{self, Knowledge, Origin, Scope};
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

/// Source in the log where a stream is another workspace's.
const FOREIGN: &str = "other_workspace";

/// What the leader's committed state says of the origin of any stream of a route.
enum Versions {
    /// All streams begin here.
    One(Origin),
    /// Streams can begin at several places.
    Several,
    /// No leader has answered.
    Unanswered,
}

/// The stream that a request names.
#[derive(Clone, Copy, Debug)]
struct Stream {
    /// Its key if the caller's workspace began it.
    own: stream::Key,
    /// Its key whoever began it; `None` where there are no workspaces.
    any: Option<stream::Key>,
}

impl Stream {
    fn new(scope: Scope<'_>, resumed: &str) -> Self {
        Self {
            own: stream::key(scope, resumed),
            any: (scope != Scope::Open).then(|| stream::key(Scope::Any, resumed)),
        }
    }
}

impl Proxy {
    /// Returns where the stream began that a request goes on with. Returns `None` if the origin is
    /// not known by `deadline`.
    pub(super) async fn find_origin(
        &self,
        route: &Route,
        request: &RequestHead,
        scope: Scope<'_>,
        deadline: Instant,
    ) -> Option<Origin> {
        let stream = request.resumes.as_deref();
        let stream = stream.map(|resumed| Stream::new(scope, resumed));
        let (knowledge, source) = match stream.and_then(|stream| self.find_own(stream)) {
            Some(found) => found,
            None => self.ask_for_origin(route, stream, deadline).await,
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
    pub(super) fn is_origin_uncertain(&self, job: &Job) -> bool {
        let attempt_id = job.request.attempt_id.as_deref();
        attempt_id.is_some_and(|attempt_id| {
            let origins = self.topology.origins.borrow();
            origins.find(stream::key(job.scope(), attempt_id)) == Knowledge::Uncertain
        })
    }

    /// Returns what this entry itself knows of a stream, and the name of the source; `None` if nothing.
    fn find_own(&self, stream: Stream) -> Option<(Knowledge, &'static str)> {
        let origins = self.topology.origins.borrow();
        let known = origins.find(stream.own);
        if known != Knowledge::Unknown {
            return Some((known, "own"));
        }
        let any = stream
            .any
            .map_or(Knowledge::Unknown, |any| origins.find(any));
        (any != Knowledge::Unknown).then_some((Knowledge::Unknown, FOREIGN))
    }

    /// Asks all connected control instances for the origin of a stream, and the leader for the versions
    /// at which it can have begun, until it is known or [`REPORT_WAIT`] has passed; [`CONTROL_RETURN_WAIT`]
    /// where not all answer. A caller that does not name its stream has `None`. Returns what is known,
    /// and the name of the source.
    async fn ask_for_origin(
        &self,
        route: &Route,
        stream: Option<Stream>,
        deadline: Instant,
    ) -> (Knowledge, &'static str) {
        let asked_at = Instant::now();
        let own = stream.map(|stream| stream.own);
        let any = stream.and_then(|stream| stream.any);
        let mut was_foreign = false;
        loop {
            let controls = self.topology.peers.borrow().connected();
            let (answers, answers_for_any, versions) = join!(
                self.ask_all(&controls, own),
                self.ask_all(&controls, any),
                self.ask_for_versions(route, &controls)
            );
            let all_answered = self.topology.peers.borrow().are_all(answers.len());
            let joined = answers
                .into_iter()
                .fold(Knowledge::Unknown, Knowledge::join);
            if joined != Knowledge::Unknown {
                return (joined, "control");
            }
            // A report may arrive between the two questions, so the answer must come twice.
            let is_foreign = answers_for_any.iter().any(|any| *any != Knowledge::Unknown);
            if is_foreign && was_foreign {
                return (Knowledge::Unknown, FOREIGN);
            }
            was_foreign = is_foreign;
            let waited_for = |wait| Instant::now() >= deadline.min(asked_at + wait);
            let wait = match versions {
                // Another workspace's stream may be about to be reported.
                Versions::One(origin)
                    if !is_foreign && (any.is_none() || waited_for(REPORT_WAIT)) =>
                {
                    return (Knowledge::Known(origin), "only_version");
                }
                Versions::Several if stream.is_none() => Duration::ZERO,
                Versions::Several if all_answered => REPORT_WAIT,
                Versions::One(_) | Versions::Several | Versions::Unanswered => CONTROL_RETURN_WAIT,
            };
            if waited_for(wait) {
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
