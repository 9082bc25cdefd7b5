//! An entry's links to the other entries and to the control instances.
//!
//! The entry gets news as [`flamingo_wire::event::Event`]s and asks through
//! a [`Link`].

pub mod control;

pub use control::Link;
