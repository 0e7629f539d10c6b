//! Commonly used types, for glob imports.

pub use crate::client::{
    ApiFormat, Client, Gate, GenerateRequest, GenerateResponse, KvCache, Part, ServiceRequest,
    ServiceResponse,
};
pub use crate::error::Error;
pub use crate::http::Http;
pub use crate::inbound::{Json, Message, Protocol};
