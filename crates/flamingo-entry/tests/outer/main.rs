//! Tests of an entry over HTTP, with scripted targets on raw TCP sockets.

mod endings;
mod endless;
mod harness;
mod input;
mod upstream;
