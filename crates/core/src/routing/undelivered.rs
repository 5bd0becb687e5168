//! Bounds what a peer sends that becomes no message.
//!
//! An HTTP library reads on as long as bytes may still become something: header
//! lines, interim responses, a chunk size with any number of zeros, its
//! extensions. A faulty or hostile peer may send those without end. So the bytes
//! of a connection are counted from one delivery to the next: a head, or a part
//! of a body. A head has to be complete some time after its first byte as well;
//! parts of a body needn't come at any pace, for their absence shows as silence.

use derive_more::{Debug, Display, Error};

use crate::clock::Millis;

/// Result of reading from a peer.
pub type Result<T> = std::result::Result<T, Endless>;

/// Why what a peer sends can't become a message any more.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum Endless {
    /// More bytes than any proper message needs until its next delivery.
    #[display("{_0} bytes without a head or a part of a body")]
    Bytes(#[error(not(source))] usize),
    /// A head that began, and wasn't complete in time.
    #[display("a head that wasn't complete after {_0}")]
    Head(#[error(not(source))] Millis),
    /// More interim responses than any proper one has.
    #[display("{_0} interim responses")]
    Interim(#[error(not(source))] u32),
}

/// What a peer may send without a delivery.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Limits {
    /// Size of a head, in bytes.
    pub head: usize,
    /// Time from the first byte of a head to its last.
    pub head_wait: Millis,
}

/// Bytes of the first read after a delivery, and of each further one.
const READS: [usize; 2] = [16 << 10, 4 << 10];
/// Bytes beyond those of a head or of a first read that may be read before a delivery is noticed: two
/// further reads, of a part of a body that wasn't taken yet and of the one behind it, and their framing.
const READ_AHEAD: usize = 3 * READS[1];
/// Maximum number of interim responses to one request.
const INTERIM_MAX: u32 = 16;

impl Limits {
    /// Limits of endpoints' responses. Endpoints write a head at once; a second covers packets of it
    /// that are lost twice.
    pub const RESPONSE: Self = Self {
        head: 16 << 10,
        head_wait: Millis::from_secs(1),
    };

    /// Maximum number of bytes until a delivery.
    fn bytes(&self) -> usize {
        self.head.max(READS[0]).saturating_add(READ_AHEAD)
    }
}

/// What a connection has read since the last delivery.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Undelivered {
    limits: Limits,
    bytes: usize,
    interim: u32,
    awaits_head: bool,
    /// When the first byte of the awaited head arrived.
    head_began: Option<Millis>,
    /// The last bytes that were read.
    tail: [u8; 3],
    /// When they were read.
    read_at: Millis,
}

impl Undelivered {
    /// A connection on which a head is awaited.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            bytes: 0,
            interim: 0,
            awaits_head: true,
            head_began: None,
            tail: [0; 3],
            read_at: Millis::ZERO,
        }
    }

    /// Awaits the head of the next message.
    pub const fn begin_head(&mut self) {
        *self = Self::new(self.limits);
    }

    /// Records that a head or a part of a body was delivered.
    pub const fn record_delivery(&mut self) {
        self.bytes = 0;
        self.interim = 0;
        self.awaits_head = false;
        self.head_began = None;
    }

    /// Records an interim response among the bytes that were read last; the head that follows has its
    /// time again. It has begun if more than the interim response was read.
    pub fn record_interim(&mut self) {
        self.interim += 1;
        self.head_began = (!self.ends_head()).then_some(self.read_at);
    }

    /// Whether what was read ends with the empty line that ends a head.
    fn ends_head(&self) -> bool {
        self.tail.ends_with(b"\n\n") || self.tail == *b"\n\r\n"
    }

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// When they can't become a message any more.
    pub fn record_read(&mut self, bytes: &[u8], now: Millis) -> Result<()> {
        self.bytes += bytes.len();
        self.read_at = now;
        for byte in &bytes[bytes.len().saturating_sub(self.tail.len())..] {
            self.tail.rotate_left(1);
            self.tail[2] = *byte;
        }
        if self.awaits_head && self.head_began.is_none() {
            self.head_began = Some(now);
        }
        if self.interim > INTERIM_MAX {
            return Err(Endless::Interim(self.interim));
        }
        match self.bytes > self.limits.bytes() {
            true => Err(Endless::Bytes(self.bytes)),
            false => Ok(()),
        }
    }

    /// How many bytes to read at most.
    pub const fn read_size(&self) -> usize {
        READS[(self.bytes > 0) as usize]
    }

    /// When a head that has begun has to be complete.
    pub fn head_due(&self) -> Option<Millis> {
        self.head_began.map(|began| began + self.limits.head_wait)
    }

    /// Checks the time of a head while nothing arrives.
    ///
    /// # Errors
    ///
    /// When it has taken too long.
    pub fn check_head(&self, now: Millis) -> Result<()> {
        match self.head_due() {
            Some(due) if now >= due => Err(Endless::Head(self.limits.head_wait)),
            _ => Ok(()),
        }
    }
}
