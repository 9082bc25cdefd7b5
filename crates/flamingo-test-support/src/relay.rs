//! A loopback TCP relay that interrupts, delays or silences connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval at which the relay's threads check its state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Largest number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// State that all threads of one relay share.
#[derive(Debug, Default)]
struct State {
    /// Whether nothing is forwarded, on old and new connections.
    held: AtomicBool,
    /// Whether the relay has been dropped.
    ended: AtomicBool,
    /// Delay of each chunk, in milliseconds.
    delay: AtomicU64,
    /// Bytes forwarded or about to be, in both directions.
    bytes: AtomicU64,
    /// Number of accepted connections.
    accepted: AtomicU64,
    /// Connections that are open.
    open: Mutex<Vec<Arc<Connection>>>,
}

/// One relayed connection.
#[derive(Debug)]
struct Connection {
    /// Whether nothing is forwarded any more, while both ends stay open.
    silent: AtomicBool,
    /// Whether the connection is closed.
    closed: AtomicBool,
    client: TcpStream,
    server: TcpStream,
}

impl Connection {
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

/// A relay to one address. It ends on drop.
///
/// ```
/// use flamingo_test_support::relay::Relay;
/// use std::io::{Read, Write};
/// use std::net::{TcpListener, TcpStream};
///
/// let server = TcpListener::bind("127.0.0.1:0").unwrap();
/// let relay = Relay::start(server.local_addr().unwrap());
/// let mut client = TcpStream::connect(relay.address()).unwrap();
/// let (mut server, _) = server.accept().unwrap();
/// client.write_all(b"hello").unwrap();
/// let mut seen = [0; 5];
/// server.read_exact(&mut seen).unwrap();
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
    /// Panics if no port is free.
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

    /// Returns the address on which the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all open connections. New ones can be opened.
    pub fn drop_all(&self) {
        for connection in self.open().drain(..) {
            connection.close();
        }
    }

    /// Forwards nothing on the open connections any more. New ones can be opened.
    ///
    /// Both ends receive neither data nor the end of the connection, as if a device between them
    /// had lost its connection state.
    pub fn silence(&self) {
        for connection in self.open().iter() {
            connection.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Forwards nothing, on old and new connections, until [`Relay::heal`].
    pub fn hold(&self) {
        self.state.held.store(true, Ordering::SeqCst);
    }

    /// Ends [`Relay::hold`]. Bytes that were held back are forwarded.
    pub fn heal(&self) {
        self.state.held.store(false, Ordering::SeqCst);
    }

    /// Delays each chunk of data by `delay`.
    pub fn delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.state.delay.store(millis, Ordering::SeqCst);
    }

    /// Returns the number of bytes forwarded so far or about to be, in both directions.
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
            Ok((client, _)) => connect(client, to, state),
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Connects a new connection to the server, or closes it where the server can't be reached.
fn connect(client: TcpStream, to: SocketAddr, state: &Arc<State>) {
    state.accepted.fetch_add(1, Ordering::SeqCst);
    let state = state.clone();
    thread::spawn(move || {
        wait_while_held(&state);
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        let _ = client.set_nonblocking(false);
        for stream in [&client, &server] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
        }
        let connection = Connection {
            silent: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            client,
            server,
        };
        let connection = Arc::new(connection);
        let mut open = state.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.push(connection.clone());
        drop(open);
        let back = (connection.clone(), state.clone());
        thread::spawn(move || forward(&back.0.server, &back.0.client, &back.0, &back.1));
        forward(&connection.client, &connection.server, &connection, &state);
    });
}

fn wait_while_held(state: &State) {
    while state.held.load(Ordering::SeqCst) && !state.ended.load(Ordering::SeqCst) {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Forwards bytes in one direction until an end closes or the relay is dropped.
fn forward(mut from: &TcpStream, mut to: &TcpStream, connection: &Connection, state: &State) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        wait_while_held(state);
        if state.ended.load(Ordering::SeqCst) || connection.closed.load(Ordering::SeqCst) {
            return;
        }
        if connection.silent.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
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
        // Counted first, so that the count includes every byte that a receiver has read.
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
