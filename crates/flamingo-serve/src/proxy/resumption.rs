//! Finds the software version at which a stream began that a caller goes on with.
//!
//! Targets do not check the version, so a stream goes on only where its origin is known: from this
//! entry's own memory, from a control instance, or because the service has had one version only.

use super::Proxy;
use crate::wire::RequestHead;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::id;
use flamingo_wire::route::Route;
use flamingo_wire::stream::{self, Answer, Origin, Query};
use futures_util::future::join_all;
use slog::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a request waits until its stream is reported: the interval between two reports
/// of an entry, with time for their way.
const REPORT_WAIT: Duration = Duration::from_millis(300);
/// Interval between two questions about the same stream.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a control instance must answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

impl Proxy {
    /// Returns where the stream began that a request goes on with. `service` is the one that the
    /// request would go to if it began a stream. Returns `None` if the origin is not known by
    /// `deadline`.
    pub(super) async fn find_origin(
        &self,
        route: &Route,
        service: &id::Service,
        request: &RequestHead,
        deadline: Instant,
    ) -> Option<Origin> {
        let (origin, source) = match &request.resumes {
            None => (self.only_origin(route, service, &[]), "only_version"),
            Some(resumes) => {
                let stream = stream::key(resumes);
                let own = self.topology.origins.borrow().get(stream).cloned();
                match own {
                    Some(origin) => (Some(origin), "own"),
                    None => self.ask_for_origin(route, service, stream, deadline).await,
                }
            }
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

    /// Asks all connected control instances for the origin of a stream, until one knows it, it
    /// follows from the versions that they know, or [`REPORT_WAIT`] has passed. Returns the origin
    /// with the name of its source.
    async fn ask_for_origin(
        &self,
        route: &Route,
        service: &id::Service,
        stream: stream::Key,
        deadline: Instant,
    ) -> (Option<Origin>, &'static str) {
        let request = Request::Origin(Query {
            stream,
            service: service.clone(),
        });
        let give_up_at = deadline.min(Instant::now() + REPORT_WAIT);
        loop {
            let controls = self.topology.peers.borrow().connected();
            let answers = self.ask_all(&controls, &request).await;
            if let Some(origin) = answers.iter().find_map(|answer| answer.origin.clone()) {
                return (Some(origin), "control");
            }
            let majority = 2 * answers.len() > controls.len();
            if majority && let Some(origin) = self.only_origin(route, service, &answers) {
                return (Some(origin), "only_version");
            }
            if controls.is_empty() || Instant::now() >= give_up_at {
                return (None, "unknown");
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Returns the answers of the instances that answer in time.
    async fn ask_all(&self, controls: &[SocketAddr], request: &Request) -> Vec<Answer> {
        let deadline = Instant::now() + ASK_TIMEOUT;
        let asked = controls
            .iter()
            .map(|control| self.control_client.ask(*control, request, deadline));
        let replies = join_all(asked).await.into_iter();
        replies
            .filter_map(|reply| match reply {
                Reply::Origin(answer) => Some(answer),
                _ => None,
            })
            .collect()
    }

    /// Returns the origin of all streams of a route that goes to one service, if this entry and
    /// the control instances know only one version of its software.
    fn only_origin(
        &self,
        route: &Route,
        service: &id::Service,
        answers: &[Answer],
    ) -> Option<Origin> {
        if route.shares.len() != 1 {
            return None;
        }
        let mut versions: BTreeSet<id::Software> = BTreeSet::new();
        versions.extend(self.topology.table.borrow().software(service));
        versions.extend(
            answers
                .iter()
                .flat_map(|answer| answer.software.iter().cloned()),
        );
        if versions.len() != 1 {
            return None;
        }
        Some(Origin {
            service: service.clone(),
            software: versions.pop_first()?,
        })
    }
}
