//! A loopback TCP relay that a test owns, to cut, slow or silence links.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time between two looks of a pump at the relay's state.
const STEP: Duration = Duration::from_millis(10);
/// Bytes that a pump moves at once.
const CHUNK: usize = 16 * 1024;

/// What all pumps of one relay share.
#[derive(Debug, Default)]
struct State {
    /// Nothing passes, on old and new connections.
    held: AtomicBool,
    /// The relay is gone.
    ended: AtomicBool,
    /// Delay of each chunk, in milliseconds.
    delay: AtomicU64,
    /// Bytes passed or about to be, both ways.
    bytes: AtomicU64,
    /// Connections accepted.
    accepted: AtomicU64,
    /// Connections that are not closed by the test.
    open: Mutex<Vec<Arc<Connection>>>,
}

/// One relayed connection.
#[derive(Debug)]
struct Connection {
    /// Passes nothing for good, and stays open at both ends.
    silent: AtomicBool,
    /// Closed by the test.
    closed: AtomicBool,
    near: TcpStream,
    far: TcpStream,
}

impl Connection {
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = self.near.shutdown(Shutdown::Both);
        let _ = self.far.shutdown(Shutdown::Both);
    }
}

/// A relay to one address; it ends with the test.
///
/// ```
/// use flamingo_test_support::relay::Relay;
/// use std::io::{Read, Write};
/// use std::net::{TcpListener, TcpStream};
///
/// let server = TcpListener::bind("127.0.0.1:0").unwrap();
/// let relay = Relay::start(server.local_addr().unwrap());
/// let mut near = TcpStream::connect(relay.address()).unwrap();
/// let (mut far, _) = server.accept().unwrap();
/// near.write_all(b"hello").unwrap();
/// let mut seen = [0; 5];
/// far.read_exact(&mut seen).unwrap();
/// assert_eq!(&seen, b"hello");
/// ```
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// Starts a relay to `to` on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics where no port can be listened on.
    #[must_use]
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a listener has an address");
        listener.set_nonblocking(true).expect("a listener can poll");
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::spawn(move || accept(&listener, to, &shared));
        Self { address, state }
    }

    /// Returns where the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections that are open now; new ones work.
    pub fn drop_all(&self) {
        for connection in self.open().drain(..) {
            connection.close();
        }
    }

    /// Silences all connections that are open now, for good; new ones work.
    ///
    /// Both ends see neither data nor an end, as where something between them
    /// has lost track of the connection.
    pub fn silence(&self) {
        for connection in self.open().iter() {
            connection.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Holds everything, on old and new connections, until [`Relay::heal`].
    pub fn hold(&self) {
        self.state.held.store(true, Ordering::SeqCst);
    }

    /// Ends [`Relay::hold`]; what was held goes on.
    pub fn heal(&self) {
        self.state.held.store(false, Ordering::SeqCst);
    }

    /// Delays each chunk of data by `delay`.
    pub fn delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.state.delay.store(millis, Ordering::SeqCst);
    }

    /// Returns the bytes passed so far or about to be, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::SeqCst)
    }

    fn open(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Connection>>> {
        let open = self.state.open.lock();
        open.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::SeqCst);
        self.drop_all();
    }
}

fn accept(listener: &TcpListener, to: SocketAddr, state: &Arc<State>) {
    while !state.ended.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((near, _)) => connect(near, to, state),
            Err(_) => thread::sleep(STEP),
        }
    }
}

/// Joins a new connection to the far end; one that can't be reached is closed.
fn connect(near: TcpStream, to: SocketAddr, state: &Arc<State>) {
    state.accepted.fetch_add(1, Ordering::SeqCst);
    let state = state.clone();
    thread::spawn(move || {
        wait_while_held(&state);
        let Ok(far) = TcpStream::connect(to) else {
            return;
        };
        let _ = near.set_nonblocking(false);
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(STEP));
        }
        let connection = Connection {
            silent: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            near,
            far,
        };
        let connection = Arc::new(connection);
        let mut open = state.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.push(connection.clone());
        drop(open);
        let back = (connection.clone(), state.clone());
        thread::spawn(move || pump(&back.0.far, &back.0.near, &back.0, &back.1));
        pump(&connection.near, &connection.far, &connection, &state);
    });
}

fn wait_while_held(state: &State) {
    while state.held.load(Ordering::SeqCst) && !state.ended.load(Ordering::SeqCst) {
        thread::sleep(STEP);
    }
}

/// Moves bytes one way until an end closes or the relay ends.
fn pump(mut from: &TcpStream, mut to: &TcpStream, connection: &Connection, state: &State) {
    let mut chunk = vec![0; CHUNK];
    loop {
        wait_while_held(state);
        if state.ended.load(Ordering::SeqCst) || connection.closed.load(Ordering::SeqCst) {
            return;
        }
        if connection.silent.load(Ordering::SeqCst) {
            thread::sleep(STEP);
            continue;
        }
        let read = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => break,
        };
        thread::sleep(Duration::from_millis(state.delay.load(Ordering::SeqCst)));
        wait_while_held(state);
        if connection.silent.load(Ordering::SeqCst) {
            continue;
        }
        // Counted first, so that whoever has read a byte finds it counted.
        state.bytes.fetch_add(read as u64, Ordering::SeqCst);
        if to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    connection.close();
    let mut open = state.open.lock().unwrap_or_else(PoisonError::into_inner);
    open.retain(|other| !other.closed.load(Ordering::SeqCst));
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
