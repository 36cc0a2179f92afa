//! Tables of input from outside: settings, operators' files, callers' bodies, frames.

mod completion;
mod event;
mod operator;
mod search;
mod settings;
mod wire;
