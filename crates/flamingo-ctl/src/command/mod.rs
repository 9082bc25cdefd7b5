//! The commands, one to a file.

pub mod config_apply;
pub mod config_show;
