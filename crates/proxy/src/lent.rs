//! Connections on loan to requests.

use std::sync::Arc;

use heatherhollow_ports::TargetConnection;
use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;

use crate::lane::TargetLane;

/// A connection that is lent to one request.
///
/// It is closed when it is dropped, unless [`Self::mark_clean`] was called after the end of the last
/// answer was read.
pub struct LentConnection {
    pub(crate) lane: Arc<TargetLane>,
    pub(crate) permit: PermitNumber,
    pub(crate) connection: Option<Box<dyn TargetConnection>>,
    pub(crate) lent_at: MonoTime,
    pub(crate) is_clean: bool,
    pub(crate) is_checking: bool,
}

impl LentConnection {
    /// The connection.
    pub fn connection(&mut self) -> &mut dyn TargetConnection {
        self.connection
            .as_mut()
            .expect("a lent connection is there until it is dropped")
            .as_mut()
    }

    /// The lane that the connection goes back to.
    pub fn lane(&self) -> &Arc<TargetLane> {
        &self.lane
    }

    /// Says whether the whole answer to the last call was read and no transaction is open.
    pub fn mark_clean(&mut self, is_clean: bool) {
        self.is_clean = is_clean;
    }
}

impl Drop for LentConnection {
    fn drop(&mut self) {
        let connection = self.connection.take();
        if self.is_checking {
            // The request left during the check, whose result is unknown.
            self.lane.check_abandoned(self.permit);
        } else {
            self.lane
                .loan_ended(self.permit, connection, self.lent_at, self.is_clean);
        }
    }
}
