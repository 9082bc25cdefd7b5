//! Utilities of integration tests: real processes on loopback, simulated log members, and
//! polling for events.

pub mod address;
pub mod cluster;
pub mod group;
pub mod history;
pub mod operator;
pub mod process;
pub mod refusal;
pub mod registration;
pub mod relay;
pub mod seed;
pub mod wait;

/// Defines a table of test cases: each line becomes a test that calls the named function.
///
/// ```
/// fn doubles(input: u32, output: u32) {
///     assert_eq!(input * 2, output);
/// }
///
/// flamingo_test_support::cases! { doubles:
///     zero(0, 0);
///     one(1, 2);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident($($argument:expr),* $(,)?);)+) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )+
    };
}
