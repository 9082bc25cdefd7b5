//! What the check of a daemon's settings does to the addresses that it tries.

use flamingo_daemon::startup::Check;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Returns an address on which nothing listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    listener.local_addr().expect("bound")
}

#[test]
fn an_address_that_is_only_tried_takes_no_connection() {
    let address = free_address();
    let mut check = Check::default();
    check.listener("[listen] inner", address);
    assert!(TcpStream::connect(address).is_err());
    assert!(check.finish(Some(())).is_ok());
}

#[test]
fn an_address_that_is_set_twice_is_a_problem() {
    let address = free_address();
    let any = SocketAddr::new("0.0.0.0".parse().expect("an address"), address.port());
    for second in [address, any] {
        let mut check = Check::default();
        check.listener("[listen] inner", address);
        check.listener("[listen] http", second);
        let problems = check.finish(Some(())).expect_err("a problem").to_string();
        assert!(problems.contains("[listen] http"), "{problems}");
    }
}

#[test]
fn an_address_on_which_another_process_listens_is_a_problem() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut check = Check::default();
    check.listener("[listen] http", taken.local_addr().expect("bound"));
    assert!(check.finish(Some(())).is_err());
}
