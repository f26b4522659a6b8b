//! Counters of the peer links of an instance.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! refusals {
    ($($(#[$doc:meta])* $item:ident = $text:literal,)+) => {
        /// Why a hello was refused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum HelloRefusal {
            $($(#[$doc])* $item,)+
        }

        impl HelloRefusal {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$item,)+];

            /// The stable text of the reason.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$item => $text,)+
                }
            }
        }
    };
}

refusals! {
    /// The connection ended or went silent before the hellos were exchanged.
    Incomplete = "incomplete",
    /// The first frame is not a valid hello.
    Malformed = "malformed",
    /// The two instances have no protocol version in common.
    Version = "version",
    /// The shared secret is wrong.
    Secret = "wrong_secret",
    /// The instance belongs to another cluster.
    Cluster = "wrong_cluster",
    /// The peer has the name of this instance.
    OwnName = "own_name",
    /// Another instance than the one that was dialled answered.
    UnexpectedInstance = "unexpected_instance",
    /// A later run of the same instance has a link.
    OldIncarnation = "old_incarnation",
    /// Another connection between the two instances is kept.
    Duplicate = "duplicate",
    /// There are too many links or connections without a hello.
    Busy = "busy",
    /// The instance is stopping.
    Stopping = "stopping",
}

impl fmt::Display for HelloRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A number that only grows.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    /// Adds to the number.
    pub(crate) fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counters since the start of the network.
        #[derive(Debug, Default)]
        pub struct PeerCounters {
            $(pub(crate) $name: Counter,)+
            refused_hellos: [Counter; HelloRefusal::ALL.len()],
        }

        impl PeerCounters {
            $(
                $(#[$doc])*
                pub fn $name(&self) -> u64 {
                    self.$name.get()
                }
            )+
        }
    };
}

counters! {
    /// Frames received.
    frames_in,
    /// Frames written.
    frames_out,
    /// Bytes received, with length prefixes.
    bytes_in,
    /// Bytes written, with length prefixes.
    bytes_out,
    /// Links that came up.
    links_up,
    /// Links that came up again after one to the same peer had been lost.
    reconnects,
    /// Own hellos that a peer refused.
    dials_refused,
    /// Own calls whose open message was written.
    streams_opened,
    /// Own calls that were cancelled after they had been written.
    streams_cancelled,
    /// Own calls that were written and ended because their link was lost.
    streams_lost,
    /// Own calls that were refused because too many were open.
    streams_refused,
    /// Calls of peers that were passed to the handler.
    calls_served,
    /// Calls of peers that the peer cancelled.
    calls_cancelled,
    /// Calls of peers that were refused before they ran.
    calls_refused,
    /// Control messages that were dropped.
    control_dropped,
}

impl PeerCounters {
    /// Hellos of peers that were refused for a reason.
    pub fn refused_hellos(&self, reason: HelloRefusal) -> u64 {
        self.refused_hellos[reason as usize].get()
    }

    /// Counts a hello that was refused.
    pub(crate) fn add_refused_hello(&self, reason: HelloRefusal) {
        self.refused_hellos[reason as usize].add(1);
    }
}
