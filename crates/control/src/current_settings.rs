//! The settings in force, and the requests of operators to change them.

use std::collections::VecDeque;
use std::sync::Arc;

use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_types::id::{Name, Version};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{Error, SettingsSnafu};
use crate::mutation::{self, Mutation};

/// The maximum number of answers to operators that are kept for resends.
pub const MAX_KEPT_ANSWERS: usize = 4_096;

/// The longest settings text, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// The longest operator name and request id, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// An operator's request to bring a settings text into force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The name of the operator.
    pub operator: Name,
    /// The operator's id of the request; a resend has the same one.
    pub request: Name,
    /// The version that the text was based on.
    pub base: Version,
    /// The settings as YAML.
    pub text: Name,
}

/// The result of a request to apply settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyResult {
    /// The text was accepted.
    Accepted {
        /// Its version.
        version: Version,
    },
    /// The text was based on another version than the one in force.
    Conflict {
        /// The version in force.
        version: Version,
    },
    /// The text is not valid.
    Faulty {
        /// The faults, one on each line with line and column.
        faults: Name,
    },
    /// The request id was used before with another text or base.
    Reused,
}

/// An answer that is repeated to a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct KeptAnswer {
    operator: Name,
    request: Name,
    digest: [u8; 32],
    answer: ApplyResult,
}

/// The settings in force, none before the first accepted text, and the answers kept for resends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CurrentSettings {
    version: Version,
    text: Name,
    fleet: Arc<FleetSettings>,
    kept: VecDeque<KeptAnswer>,
}

/// The settings in force as stored in a snapshot.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Image {
    version: Version,
    text: Name,
    kept: VecDeque<KeptAnswer>,
}

impl CurrentSettings {
    /// Returns the version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the text in force, as the operator wrote it.
    #[must_use]
    pub fn text(&self) -> &Name {
        &self.text
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn fleet(&self) -> &Arc<FleetSettings> {
        &self.fleet
    }

    /// Answers a request; brings its text into force if it is valid and based on the current
    /// version.
    pub(crate) fn apply(&mut self, apply: Apply) -> ApplyResult {
        let digest = digest(&apply);
        let same =
            |kept: &&KeptAnswer| kept.operator == apply.operator && kept.request == apply.request;
        if let Some(kept) = self.kept.iter().find(same) {
            if kept.digest != digest {
                return ApplyResult::Reused;
            }
            return kept.answer.clone();
        }
        let answer = self.decide(&apply);
        self.keep(KeptAnswer {
            operator: apply.operator,
            request: apply.request,
            digest,
            answer: answer.clone(),
        });
        answer
    }

    /// Answers a request that was not seen before.
    fn decide(&mut self, apply: &Apply) -> ApplyResult {
        if let Some(faults) = size_fault(apply) {
            return ApplyResult::Faulty { faults };
        }
        if apply.base != self.version && !mutation::is(Mutation::NoBaseCheck) {
            return ApplyResult::Conflict {
                version: self.version,
            };
        }
        match apply.text.parse::<FleetSettings>() {
            Ok(fleet) => {
                self.version += 1;
                self.text = apply.text.clone();
                self.fleet = Arc::new(fleet);
                ApplyResult::Accepted {
                    version: self.version,
                }
            }
            Err(error) => ApplyResult::Faulty {
                faults: error.to_string().into(),
            },
        }
    }

    /// Keeps an answer, and drops the oldest above the limit.
    fn keep(&mut self, mut kept: KeptAnswer) {
        kept.operator = truncate_name(&kept.operator);
        kept.request = truncate_name(&kept.request);
        self.kept.push_back(kept);
        if self.kept.len() > MAX_KEPT_ANSWERS {
            self.kept.pop_front();
        }
    }

    /// Returns the form that is stored in a snapshot.
    pub(crate) fn image(&self) -> Image {
        Image {
            version: self.version,
            text: self.text.clone(),
            kept: self.kept.clone(),
        }
    }

    /// Restores the settings in force from a snapshot.
    pub(crate) fn from_image(image: Image) -> Result<Self, Error> {
        let fleet = match image.version {
            0 => FleetSettings::default(),
            _ => image.text.parse().context(SettingsSnafu)?,
        };
        Ok(Self {
            version: image.version,
            text: image.text,
            fleet: Arc::new(fleet),
            kept: image.kept,
        })
    }
}

/// Returns the digest that two requests under the same id must share.
fn digest(apply: &Apply) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&apply.base.to_le_bytes());
    hasher.update(apply.text.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Returns the fault if the text or a name is too long.
fn size_fault(apply: &Apply) -> Option<Name> {
    if apply.text.len() > MAX_TEXT_BYTES {
        let found = apply.text.len();
        return Some(
            format!("1:1: the text has {found} bytes, at most {MAX_TEXT_BYTES} are allowed").into(),
        );
    }
    let name = apply.operator.len().max(apply.request.len());
    (name > MAX_NAME_BYTES).then(|| {
        format!(
            "1:1: the operator or request id has {name} bytes, at most {MAX_NAME_BYTES} are allowed"
        )
        .into()
    })
}

/// Truncates a name that is too long; a request with such a name is never accepted.
fn truncate_name(name: &Name) -> Name {
    if name.len() <= MAX_NAME_BYTES {
        return name.clone();
    }
    name.chars()
        .take(MAX_NAME_BYTES / 4)
        .collect::<String>()
        .into()
}
