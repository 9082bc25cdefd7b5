//! Tests of an entry over HTTP, with scripted targets on raw TCP sockets.

mod deadly_call;
mod deadly_prompt;
mod endings;
mod endless;
mod harness;
mod input;
mod leaving;
mod statuses;
mod upstream;
