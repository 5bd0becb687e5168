//! Identifiers as newtypes, each with `Display` and `FromStr`.
//!
//! Names given by people are short checked texts; identifiers drawn by the
//! fleet are numbers shown in hexadecimal.

mod number;
mod text;

pub use number::{AttemptId, ChangeId, ChatHash, Generation, Incarnation, NumberError, RequestId};
pub use text::{
    AccountId, DaemonId, DataCentreId, EndpointId, IdError, InstitutionId, ModelId, PoolId,
    RegionId, VmId,
};
