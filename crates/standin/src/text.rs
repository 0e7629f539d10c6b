//! The text that fake engines generate: a pure function, so that a caller can verify responses.

use cornelhitch_types::model::Reference;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The bits of a hash that a token's text shows.
const TOKEN_MASK: u64 = 0xffff_ffff;

/// Returns the 64-bit FNV-1a (Fowler–Noll–Vo) hash of some bytes.
///
/// ```
/// assert_eq!(cornelhitch_standin::text::digest(b""), 0xcbf2_9ce4_8422_2325);
/// ```
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(FNV_OFFSET_BASIS, step)
}

/// Returns the token at an offset of the response to a body with the given digest.
///
/// The model's version is not part of it, so a caller need not know which version is in force.
#[must_use]
pub fn token(model: &Reference, digest_of_body: u64, offset: u64) -> String {
    let adapter = model.adapter.as_deref().unwrap_or_default();
    let seed = format!("{}+{adapter}/{digest_of_body}/{offset}", model.model);
    format!(" {:08x}", digest(seed.as_bytes()) & TOKEN_MASK)
}

/// Returns the complete response text with the given number of tokens.
///
/// ```
/// use cornelhitch_standin::text;
/// use cornelhitch_types::model::Reference;
///
/// let model = Reference::base("report");
/// let complete = text::response_text(&model, b"{}", 3);
/// let parts: Vec<_> = (0..3).map(|at| text::token(&model, text::digest(b"{}"), at)).collect();
/// assert_eq!(complete, parts.concat());
/// ```
#[must_use]
pub fn response_text(model: &Reference, body: &[u8], tokens: u64) -> String {
    let digest = digest(body);
    (0..tokens).map(|at| token(model, digest, at)).collect()
}
