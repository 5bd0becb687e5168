//! Decides where a stream that its caller takes up may go on.

use derive_more::{Debug, Display, Error};

use super::history::{BuildEvidence, RecentBuild};
use super::{Origin, PoolHash};
use crate::ids::PoolId;
use crate::routing::endpoint::Build;

/// Result of looking up a stream.
pub type Result<T> = std::result::Result<T, LookupError>;

/// Why a stream can't go on.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum LookupError {
    /// Nobody knows at which version it began, and it may have been one of several.
    #[display("unknown: {_0}")]
    Unknown(#[error(not(source))] Doubt),
    /// Several versions are recorded for it.
    #[display("ambiguous")]
    Ambiguous,
    /// The version or the pool at which it began doesn't serve its route any more.
    #[display("gone")]
    Gone,
}

/// Why no version is certain for a stream that nobody remembers.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
#[display("{}", self.code())]
pub enum Doubt {
    /// No endpoint of its route is listed.
    Unlisted,
    /// Several versions are listed.
    Several,
    /// Another version served lately, by what the platform kept or other daemons answered.
    Unseen,
    /// Nobody would know of all versions that served lately.
    Incomplete,
    /// The list is older than the request, so that it may lack the version.
    Outdated,
}

/// Who knew the version at which a stream began.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
#[display("{}", self.code())]
pub enum Source {
    /// This daemon passed on an event of it, or was told of it.
    Own,
    /// Another daemon.
    Told,
    /// The platform keeps it.
    Platform,
    /// No one, but only one version has served.
    Single,
}

impl Source {
    /// Stable code, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Told => "told",
            Self::Platform => "platform",
            Self::Single => "single",
        }
    }
}

impl Doubt {
    /// Stable code, for logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::Several => "several",
            Self::Unseen => "unseen",
            Self::Incomplete => "incomplete",
            Self::Outdated => "outdated",
        }
    }
}

impl LookupError {
    /// Why no version is certain, if that is why the stream can't go on.
    pub const fn doubt(self) -> Option<Doubt> {
        match self {
            Self::Unknown(doubt) => Some(doubt),
            Self::Ambiguous | Self::Gone => None,
        }
    }

    /// Stable code, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Unknown(_) => "unknown",
            Self::Ambiguous => "ambiguous",
            Self::Gone => "gone",
        }
    }
}

/// The pool and version at which a stream goes on.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Place {
    /// The pool.
    pub pool: PoolId,
    /// The version.
    pub build: Build,
}

/// What another daemon answers about a stream.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Reply {
    /// The stream began there.
    Known(Origin),
    /// Several origins are recorded for it.
    Ambiguous,
    /// It doesn't know the stream.
    Unknown(BuildEvidence),
}

/// The origin that the replies of other daemons agree on; none if none of them knows the stream.
///
/// # Errors
///
/// If they contradict each other.
pub fn told_origin(replies: &[Reply]) -> Result<Option<Origin>> {
    let mut told = None;
    for reply in replies {
        match reply {
            Reply::Known(origin) if told.is_none_or(|told| told == *origin) => {
                told = Some(*origin);
            }
            Reply::Known(_) | Reply::Ambiguous => return Err(LookupError::Ambiguous),
            Reply::Unknown(_) => {}
        }
    }
    Ok(told)
}

/// All that is known of the versions at which a stream may have begun that nobody remembers.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Knowledge<'a> {
    /// The places of its route by this daemon's list.
    pub places: Vec<Place>,
    /// The pools of its route.
    pub pools: Vec<PoolHash>,
    /// What this daemon saw itself.
    pub own: BuildEvidence,
    /// What the platform kept; none if it isn't known.
    pub archived: Option<BuildEvidence>,
    /// What other daemons answered.
    pub replies: &'a [Reply],
    /// Whether the list has been read since the request came.
    pub is_current: bool,
    /// Whether this daemon has followed the list since before the lists that others call complete
    /// were read.
    pub joins_others: bool,
}

impl Knowledge<'_> {
    /// The only place at which the stream can have begun.
    ///
    /// A version that isn't listed any more counts as long as anyone says that streams may have
    /// begun there.
    ///
    /// # Errors
    ///
    /// If there may be several.
    pub fn single_place(&self) -> std::result::Result<Place, Doubt> {
        let [place] = self.places.as_slice() else {
            return Err(match self.places.is_empty() {
                true => Doubt::Unlisted,
                false => Doubt::Several,
            });
        };
        let origin = Origin::new(&place.pool, &place.build);
        if !self.is_known(origin) {
            return Err(Doubt::Incomplete);
        }
        let seen = self.all().flat_map(|evidence| &evidence.recent);
        let is_possible = |seen: &&RecentBuild| !self.is_elsewhere(seen);
        let mut possible = seen.filter(is_possible);
        if !possible.all(|seen| seen.origin == origin) {
            return Err(Doubt::Unseen);
        }
        // A stream may begin at a version as soon as it is listed, and break off at once.
        match self.is_current {
            true => Ok(place.clone()),
            false => Err(Doubt::Outdated),
        }
    }

    fn replies(&self) -> impl Iterator<Item = &BuildEvidence> {
        self.replies.iter().filter_map(|reply| match reply {
            Reply::Unknown(evidence) => Some(evidence),
            Reply::Known(_) | Reply::Ambiguous => None,
        })
    }

    fn all(&self) -> impl Iterator<Item = &BuildEvidence> {
        let own = std::iter::once(&self.own);
        own.chain(&self.archived).chain(self.replies())
    }

    /// Whether someone would know of each version that may have begun the stream.
    fn is_known(&self, origin: Origin) -> bool {
        // An archive that lacks the version was written before it was listed; others may have
        // served since.
        let archived = self.archived.iter();
        let mut archived = archived.filter(|kept| kept.has(origin));
        self.own.is_complete
            || self.joins_others && self.replies().any(|evidence| evidence.is_complete)
            || archived.any(|kept| kept.is_complete)
    }

    /// Whether a version certainly belongs to a pool of other routes.
    fn is_elsewhere(&self, build: &RecentBuild) -> bool {
        build.pool.is_some_and(|pool| !self.pools.contains(&pool))
    }
}
