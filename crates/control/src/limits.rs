//! What a leader may keep, in proportion to the memory of its host.

/// The limits on what a leader keeps for as long as it leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Targets that may be registered.
    pub targets: usize,
    /// Published changes that are kept for entry hosts which missed them.
    pub kept_changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            targets: usize::MAX,
            kept_changes: 20_000,
        }
    }
}
