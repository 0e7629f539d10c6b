//! The settings in force, and the operators' requests to change them.

use std::collections::VecDeque;
use std::sync::Arc;

use cornelhitch_settings::fleet::Fleet;
use cornelhitch_types::id::{Name, Version};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{Error, SettingsSnafu};
use crate::mutation::{self, Mutation};

/// Answers to operators that are kept for resends.
pub const ANSWERS: usize = 4_096;

/// The longest settings text in bytes.
pub const TEXT: usize = 1 << 20;

/// The longest operator name and request id in bytes.
pub const NAME: usize = 256;

/// An operator's request to bring a text in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// Who asks.
    pub operator: Name,
    /// The operator's own id of the request; a resend has the same one.
    pub request: Name,
    /// The version that the text was made from.
    pub base: Version,
    /// The settings as YAML.
    pub text: Name,
}

/// What became of a request to apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The text was accepted.
    Accepted {
        /// Its version.
        version: Version,
    },
    /// The text was made from another version than the one in force.
    Conflict {
        /// The version in force.
        version: Version,
    },
    /// The text is not valid.
    Faulty {
        /// One line a fault, each with line and column.
        faults: Name,
    },
    /// The request id was used before with another text or base.
    Reused,
}

/// An answer that a resend gets again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    operator: Name,
    request: Name,
    digest: [u8; 32],
    answer: Answer,
}

/// The settings in force; before the first accepted text there are none.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    version: Version,
    text: Name,
    fleet: Arc<Fleet>,
    kept: VecDeque<Kept>,
}

/// A catalogue as a snapshot holds it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Image {
    version: Version,
    text: Name,
    kept: VecDeque<Kept>,
}

impl Catalogue {
    /// The version in force; 0 when there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// The text in force, as its operator wrote it.
    #[must_use]
    pub fn text(&self) -> &Name {
        &self.text
    }

    /// The settings in force.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Answers a request, and brings its text in force when it is valid and made from that version.
    pub(crate) fn apply(&mut self, apply: Apply) -> Answer {
        let digest = digest(&apply);
        let same = |kept: &&Kept| kept.operator == apply.operator && kept.request == apply.request;
        if let Some(kept) = self.kept.iter().find(same) {
            if kept.digest != digest {
                return Answer::Reused;
            }
            return kept.answer.clone();
        }
        let answer = self.decide(&apply);
        self.keep(Kept {
            operator: apply.operator,
            request: apply.request,
            digest,
            answer: answer.clone(),
        });
        answer
    }

    /// The answer to a request that was not seen before.
    fn decide(&mut self, apply: &Apply) -> Answer {
        if let Some(faults) = oversized(apply) {
            return Answer::Faulty { faults };
        }
        if apply.base != self.version && !mutation::is(Mutation::NoBaseCheck) {
            return Answer::Conflict {
                version: self.version,
            };
        }
        match apply.text.parse::<Fleet>() {
            Ok(fleet) => {
                self.version += 1;
                self.text = apply.text.clone();
                self.fleet = Arc::new(fleet);
                Answer::Accepted {
                    version: self.version,
                }
            }
            Err(error) => Answer::Faulty {
                faults: error.to_string().into(),
            },
        }
    }

    /// Keeps an answer, and lets the oldest go when there are too many.
    fn keep(&mut self, mut kept: Kept) {
        kept.operator = cut(&kept.operator);
        kept.request = cut(&kept.request);
        self.kept.push_back(kept);
        if self.kept.len() > ANSWERS {
            self.kept.pop_front();
        }
    }

    /// What a snapshot holds.
    pub(crate) fn image(&self) -> Image {
        Image {
            version: self.version,
            text: self.text.clone(),
            kept: self.kept.clone(),
        }
    }

    /// The catalogue of a snapshot.
    pub(crate) fn from_image(image: Image) -> Result<Self, Error> {
        let fleet = match image.version {
            0 => Fleet::default(),
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

/// What makes two requests under one id the same.
fn digest(apply: &Apply) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&apply.base.to_le_bytes());
    hasher.update(apply.text.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Says what is too long, if anything is.
fn oversized(apply: &Apply) -> Option<Name> {
    if apply.text.len() > TEXT {
        let found = apply.text.len();
        return Some(format!("1:1: the text has {found} bytes, at most {TEXT} are allowed").into());
    }
    let name = apply.operator.len().max(apply.request.len());
    (name > NAME).then(|| {
        format!("1:1: the operator or request id has {name} bytes, at most {NAME} are allowed")
            .into()
    })
}

/// The first bytes of a name that is too long; no such request is ever accepted.
fn cut(name: &Name) -> Name {
    if name.len() <= NAME {
        return name.clone();
    }
    name.chars().take(NAME / 4).collect::<String>().into()
}
