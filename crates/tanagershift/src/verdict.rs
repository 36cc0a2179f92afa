//! What is known about a request that has ended: may it have run?

use std::fmt;

/// Whether an attempt at a request may have run on its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It did not run, and that is proved.
    NotRun,
    /// It ran, and its whole answer was received.
    Ran,
    /// It was sent, and nobody knows whether it ran.
    MayHaveRun,
}

impl Verdict {
    /// Name of the verdict in answers, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may_have_run",
        }
    }

    /// Number of the verdict in messages between processes.
    pub fn code(self) -> u32 {
        match self {
            Self::NotRun => 1,
            Self::Ran => 2,
            Self::MayHaveRun => 3,
        }
    }

    /// Verdict of a number; a number that nobody knows proves nothing.
    pub fn from_code(code: u32) -> Self {
        match code {
            1 => Self::NotRun,
            2 => Self::Ran,
            _ => Self::MayHaveRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
