//! The newest version of something that several sources tell, late, twice and in any order.
//!
//! A process offers whatever it is told and uses what it holds; versions never go back while it
//! lives. What it holds is always one version whole.

/// The newest version told so far.
#[derive(Debug, Clone)]
pub struct Newest<V, T> {
    held: Option<(V, T)>,
}

impl<V, T> Default for Newest<V, T> {
    fn default() -> Newest<V, T> {
        Newest { held: None }
    }
}

impl<V: Copy + Ord, T> Newest<V, T> {
    /// Takes a version if it is newer than the one held; returns whether it is.
    pub fn replace_if_newer(&mut self, version: V, value: T) -> bool {
        let newer = self.version().is_none_or(|held| version > held);
        if newer {
            self.held = Some((version, value));
        }
        newer
    }

    /// The version held; none before the first.
    pub fn version(&self) -> Option<V> {
        self.held.as_ref().map(|(version, _)| *version)
    }

    /// What is held.
    pub fn value(&self) -> Option<&T> {
        self.held.as_ref().map(|(_, value)| value)
    }

    /// What is held, if it is newer than a version that another process has.
    pub fn newer_than(&self, version: V) -> Option<&T> {
        let (held, value) = self.held.as_ref()?;
        (*held > version).then_some(value)
    }
}
