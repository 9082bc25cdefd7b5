//! An entry between callers and raw TCP targets.

mod bench;
mod input;
mod upstream;
