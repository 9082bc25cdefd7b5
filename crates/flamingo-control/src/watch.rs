//! Serves the configuration to those that follow it.
//!
//! A follower sends its beats; it gets a newer configuration at once, and a
//! beat at least every [`BEAT`] otherwise. The bytes that one follower gets are
//! bounded by [`RATE`], and so is the number of followers that are sent a whole
//! configuration at a time.

use crate::keeper::{Followed, Keeper};
use crate::packet::{BEAT, SILENCE};
use crate::registry::Registry;
use actix::Addr;
use flamingo_wire::config::Snapshot;
use flamingo_wire::control::{Heartbeat, Push};
use flamingo_wire::frame::Seal;
use flamingo_wire::{Frame, id, route};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::Semaphore;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch::Receiver;
use tonic::{Status, Streaming};

/// Bytes of configuration a second for one follower, over a long run.
pub const RATE: u64 = 1024 * 1024;
/// Time for which an instance that does not lead leaves it to the others to send routes, beside
/// the time that one copy takes at [`RATE`], times its turn.
const TURN: Duration = Duration::from_millis(300);
/// Turns over which the instances are spread: both are within the time that routes have to come
/// into force.
const TURNS: u64 = 2;
/// Followers that are sent a whole configuration at a time.
pub const CATCH_UPS: usize = 16;

/// What comes after the targets that a follower was sent.
type News = broadcast::Receiver<Arc<Push>>;

/// The configuration as the keeper publishes it.
pub type Published = Arc<Snapshot>;

/// The routes as the keeper publishes them; none before the first.
pub type Routes = Option<Notice>;

/// Routes for the followers.
#[derive(Clone, Debug)]
pub struct Notice {
    /// The routes, without the operator's text.
    pub set: Arc<route::Set>,
    /// Whether this instance led when they were committed: it sends them at once, the others
    /// only to followers that have not got them a little later. All of them together would
    /// fill a follower's link with copies of a large set.
    pub first: bool,
    /// About how many bytes a copy has.
    pub bytes: u64,
}

impl Notice {
    /// Returns when the instance `own` is to send the routes to a follower that has `held`;
    /// nothing where it has them.
    ///
    /// Answers large sets and followers on slow links, which every instance serves.
    #[must_use]
    pub fn due(
        &self,
        now: Instant,
        held: id::Version,
        follower: &str,
        own: &str,
    ) -> Option<Instant> {
        if self.set.version <= held {
            return None;
        }
        if self.first || held == 0 {
            return Some(now);
        }
        Some(now + self.turn(follower, own))
    }

    /// Returns for how long an instance leaves it to others to send the routes to a follower.
    fn turn(&self, follower: &str, own: &str) -> Duration {
        let mut hasher = DefaultHasher::new();
        (follower, own).hash(&mut hasher);
        let turns = u32::try_from(hasher.finish() % TURNS).unwrap_or(0);
        let copy = Duration::from_millis(self.bytes * 1_000 / RATE);
        (TURN + copy) * (turns + 1)
    }
}

/// What all followers of this instance share.
#[derive(Clone, Debug)]
pub struct Source {
    /// Seals what is sent.
    pub seal: Seal,
    /// Takes the followers' beats.
    pub keeper: Addr<Keeper>,
    /// The newest configuration.
    pub published: Receiver<Published>,
    /// Permits for whole configurations.
    pub permits: Arc<Semaphore>,
    /// The newest routes.
    pub routes: Receiver<Routes>,
    /// The targets.
    pub registry: Arc<Mutex<Registry>>,
}

/// One follower's stream.
#[derive(Debug)]
struct Stream {
    node: id::Node,
    version: id::Version,
    /// When the next whole configuration may be sent.
    due: Instant,
    /// Version of the routes that the follower has; absent where it wants none.
    routes: Option<id::Version>,
    /// When newer routes are to be sent.
    routes_due: Option<Instant>,
    out: Sender<Result<Frame, Status>>,
}

impl Source {
    /// Serves one follower until its stream ends or falls silent.
    pub async fn serve(mut self, mut beats: Streaming<Frame>, out: Sender<Result<Frame, Status>>) {
        let Ok(Some(first)) = beats.message().await else {
            return;
        };
        let Some(beat) = self.beat(&first) else {
            let _ = out.send(Err(Status::unauthenticated("not a beat"))).await;
            return;
        };
        let mut stream = Stream {
            node: beat.node.clone(),
            version: beat.version,
            due: Instant::now(),
            routes: beat.routes,
            routes_due: None,
            out,
        };
        let mut news = self.follow(&stream).await;
        self.schedule(&mut stream);
        self.keeper.do_send(Followed(beat));
        let mut deadline = Instant::now() + SILENCE;
        let mut tick = tokio::time::interval(BEAT);
        loop {
            tokio::select! {
                frame = beats.message() => {
                    let Ok(Some(frame)) = frame else {
                        return;
                    };
                    if let Some(beat) = self.beat(&frame) {
                        deadline = Instant::now() + SILENCE;
                        stream.version = stream.version.max(beat.version);
                        stream.routes = stream.routes.max(beat.routes);
                        self.keeper.do_send(Followed(beat));
                    }
                }
                heard = next(&mut news) => {
                    let told = match heard {
                        Ok(push) => self.tell(&stream, &push).await,
                        Err(RecvError::Lagged(_)) => {
                            news = self.follow(&stream).await;
                            Some(())
                        }
                        Err(RecvError::Closed) => None,
                    };
                    if told.is_none() {
                        return;
                    }
                }
                changed = self.routes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.schedule(&mut stream);
                }
                () = due(stream.routes_due) => {
                    if self.push_routes(&mut stream).await.is_none() {
                        return;
                    }
                }
                changed = self.published.changed() => {
                    if changed.is_err() || self.push(&mut stream, false).await.is_none() {
                        return;
                    }
                }
                _ = tick.tick() => {
                    let silent = Instant::now() >= deadline;
                    if silent || self.push(&mut stream, true).await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    fn beat(&self, frame: &Frame) -> Option<Heartbeat> {
        let beat: Heartbeat = self.seal.open(frame, SystemTime::now()).ok()?;
        (beat.node == frame.from).then_some(beat)
    }

    /// Sends all known targets to a follower that wants them, and returns what comes after.
    async fn follow(&self, stream: &Stream) -> Option<News> {
        stream.routes?;
        let (all, news) = lock(&self.registry).follow();
        self.tell(stream, &Push::Targets(all)).await?;
        Some(news)
    }

    /// Sends one push.
    async fn tell(&self, stream: &Stream, push: &Push) -> Option<()> {
        let frame = self.frame(&stream.node, push)?;
        send(&stream.out, frame).await
    }

    /// Notes when newer routes are to be sent to a follower that wants them.
    fn schedule(&mut self, stream: &mut Stream) {
        let notice = self.routes.borrow_and_update();
        let (Some(notice), Some(held)) = (notice.as_ref(), stream.routes) else {
            return;
        };
        let Some(due) = notice.due(Instant::now(), held, &stream.node, self.seal.node()) else {
            return;
        };
        // One that was to be sent sooner still is, and is the newest then.
        stream.routes_due = Some(stream.routes_due.map_or(due, |known| known.min(due)));
    }

    /// Sends newer routes to a follower that has not got them meanwhile.
    async fn push_routes(&mut self, stream: &mut Stream) -> Option<()> {
        stream.routes_due = None;
        let newest = self
            .routes
            .borrow()
            .as_ref()
            .map(|notice| Arc::clone(&notice.set));
        let (Some(newest), Some(held)) = (newest, stream.routes) else {
            return Some(());
        };
        if newest.version <= held {
            return Some(());
        }
        stream.routes = Some(newest.version);
        self.tell(stream, &Push::Routes(newest)).await
    }

    /// Sends what is newer, or a beat; nothing where the stream has ended.
    async fn push(&mut self, stream: &mut Stream, beat: bool) -> Option<()> {
        let newest = Arc::clone(&self.published.borrow_and_update());
        let now = Instant::now();
        if newest.version > stream.version && now >= stream.due {
            let permit = self.permits.acquire().await.ok()?;
            let push = Push::Config(Snapshot::clone(&newest));
            let frame = self.frame(&stream.node, &push)?;
            let cost = frame.body.len() as u64 * 1_000 / RATE;
            stream.due = now + Duration::from_millis(cost);
            send(&stream.out, frame).await?;
            drop(permit);
            stream.version = newest.version;
            return Some(());
        }
        if beat {
            let push = Push::Heartbeat(stream.version);
            let frame = self.frame(&stream.node, &push)?;
            send(&stream.out, frame).await?;
        }
        Some(())
    }

    fn frame(&self, to: &str, push: &Push) -> Option<Frame> {
        self.seal.seal(to, push, SystemTime::now()).ok()
    }
}

/// Waits until `due`; for ever where nothing is due.
async fn due(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

/// Waits for what is new of targets; for ever where the follower wants none.
async fn next(news: &mut Option<News>) -> Result<Arc<Push>, RecvError> {
    match news {
        Some(news) => news.recv().await,
        None => std::future::pending().await,
    }
}

/// Locks the targets; a panic elsewhere leaves them whole.
pub fn lock(registry: &Mutex<Registry>) -> MutexGuard<'_, Registry> {
    registry.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a frame; a stream that takes none within [`SILENCE`] has ended.
async fn send(out: &Sender<Result<Frame, Status>>, frame: Frame) -> Option<()> {
    let sent = tokio::time::timeout(SILENCE, out.send(Ok(frame))).await;
    sent.ok()?.ok()
}
