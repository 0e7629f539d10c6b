//! The text that stand-in engines generate: a pure function, so that a caller can check it.

use cornelhitch_types::model::Reference;

/// The offset basis of the 64-bit FNV-1a hash.
const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The bits of a hash that a token shows.
const TOKEN: u64 = 0xffff_ffff;

/// The 64-bit FNV-1a hash (Fowler, Noll and Vo) of some bytes.
///
/// ```
/// assert_eq!(cornelhitch_standin::text::digest(b""), 0xcbf2_9ce4_8422_2325);
/// ```
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(BASIS, step)
}

/// The token at an offset of the answer to a body whose digest is given.
///
/// The model's version has no part in it, so that a caller need not know the one in force.
#[must_use]
pub fn token(model: &Reference, digest_of_body: u64, offset: u64) -> String {
    let adapter = model.adapter.as_deref().unwrap_or_default();
    let seed = format!("{}+{adapter}/{digest_of_body}/{offset}", model.model);
    format!(" {:08x}", digest(seed.as_bytes()) & TOKEN)
}

/// The whole answer of so many tokens.
///
/// ```
/// use cornelhitch_standin::text;
/// use cornelhitch_types::model::Reference;
///
/// let model = Reference::base("report");
/// let whole = text::answer(&model, b"{}", 3);
/// let parts: Vec<_> = (0..3).map(|at| text::token(&model, text::digest(b"{}"), at)).collect();
/// assert_eq!(whole, parts.concat());
/// ```
#[must_use]
pub fn answer(model: &Reference, body: &[u8], tokens: u64) -> String {
    let digest = digest(body);
    (0..tokens).map(|at| token(model, digest, at)).collect()
}
