//! Tables of input from outside: settings, operators' files, callers' bodies, frames.

mod admission;
mod completion;
mod event;
mod operator;
mod search;
mod settings;
mod wire;
