//! The ids of prompt sections as they appear in log lines.

use std::fmt;

/// Number of ids that a log line names.
const MAX_SHOWN: usize = 8;

/// Ids of prompt sections, shown in hexadecimal; a count stands for those beyond the first eight.
///
/// ```
/// use cornelhitch_node::section_ids::SectionIds;
///
/// assert_eq!(SectionIds::from(&[0x5c1e, 7][..]).to_string(), "5c1e,7");
/// assert_eq!(SectionIds::from(&[1; 10][..]).to_string(), "1,1,1,1,1,1,1,1,+2");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SectionIds {
    shown: Vec<u64>,
    left_out: usize,
}

impl From<&[u64]> for SectionIds {
    fn from(ids: &[u64]) -> Self {
        Self {
            shown: ids.iter().copied().take(MAX_SHOWN).collect(),
            left_out: ids.len().saturating_sub(MAX_SHOWN),
        }
    }
}

impl fmt::Display for SectionIds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, id) in self.shown.iter().enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{id:x}")?;
        }
        if self.left_out > 0 {
            write!(f, ",+{}", self.left_out)?;
        }
        Ok(())
    }
}
