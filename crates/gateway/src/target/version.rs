//! Software versions of the targets that may run a request.

use coord::id::SoftwareVersion;

use crate::adapter::Target;

/// Rule for the software version of a request's next target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Rule {
    #[default]
    Any,
    /// Other versions only if no untried target of this one is left; its origin is stored already.
    Prefer(SoftwareVersion),
    /// No other version: the caller has received events of this one.
    Only(SoftwareVersion),
}

impl Rule {
    /// The rule for a request whose stored origin names a target's version.
    pub fn preferring(target: &Target) -> Rule {
        match &target.version {
            Some(version) => Rule::Prefer(version.clone()),
            None => Rule::Any,
        }
    }

    /// Whether a target may run the request.
    pub fn permits(&self, target: &Target) -> bool {
        match self {
            Rule::Any | Rule::Prefer(_) => true,
            Rule::Only(version) => target.version.as_ref() == Some(version),
        }
    }

    /// Whether a target goes before those of other versions.
    pub fn prefers(&self, target: &Target) -> bool {
        match self {
            Rule::Any => true,
            Rule::Prefer(version) | Rule::Only(version) => target.version.as_ref() == Some(version),
        }
    }
}
