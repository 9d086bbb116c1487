//! Software versions of the targets that may run a request.

use coord::id::SoftwareVersion;

use crate::adapter::Target;

/// Rule for the software version of a request's next target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Rule {
    #[default]
    Any,
    /// This version, which is stored as the stream's origin, while a target of it is left. Another one
    /// must be stored first.
    Prefer(SoftwareVersion),
    /// This version alone, as the caller has received events of it.
    Only(SoftwareVersion),
}

impl Rule {
    /// Prefers a target's version, if it is known.
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
