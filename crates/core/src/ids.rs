//! Newtypes for identifiers, with `Display` and `FromStr` for most.
//!
//! Names chosen by people are short validated strings. Identifiers generated
//! by the fleet are numbers, random ones written in hexadecimal.

mod number;
mod text;

pub use number::{AttemptId, ChangeId, ChatHash, Generation, Incarnation, NumberError, RequestId};
pub use text::{
    AccountId, DaemonId, DataCentreId, EndpointId, IdError, InstitutionId, ModelId, PoolId,
    RegionId, VmId,
};
