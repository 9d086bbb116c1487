//! The newest version of a value that is received from several sources.
//!
//! Versions may arrive late, repeatedly and in any order. The stored version never decreases during
//! the lifetime of a process, and each version replaces the former one as a whole.

/// Newest version received so far, with its value.
#[derive(Debug, Clone)]
pub struct Newest<V, T> {
    current: Option<(V, T)>,
}

impl<V, T> Default for Newest<V, T> {
    fn default() -> Newest<V, T> {
        Newest { current: None }
    }
}

impl<V: Copy + Ord, T> Newest<V, T> {
    /// Stores the value if its version is newer than the current one; returns whether it is.
    pub fn replace_if_newer(&mut self, version: V, value: T) -> bool {
        let newer = self.version().is_none_or(|current| version > current);
        if newer {
            self.current = Some((version, value));
        }
        newer
    }

    /// Current version; none before the first.
    pub fn version(&self) -> Option<V> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Current value.
    pub fn value(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, value)| value)
    }

    /// Current value, if it is newer than `version`.
    pub fn newer_than(&self, version: V) -> Option<&T> {
        let (current, value) = self.current.as_ref()?;
        (*current > version).then_some(value)
    }
}
