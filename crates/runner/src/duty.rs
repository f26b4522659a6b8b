//! The promotion duty: a lock in the store, whose holder alone may order promotions.
//!
//! The lock is a key with a lease. Its fencing token is the revision at which the key was created,
//! so it increases from holder to holder. A holder counts the validity from before its request for
//! the lease, on a clock that includes time of system suspend, and reads the key again right before
//! each order, as the store may have dropped it.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use heatherhollow_gateway::DutyRefusal;
use heatherhollow_gateway::DutyToken;
use heatherhollow_gateway::OrderReply;
use heatherhollow_ports::LeaseId;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::SwapReply;

use crate::clock;
use crate::formats::PromotionPort;

/// Path of the lock's key.
const DUTY_PATH: &str = "heatherhollow/promotion-duty";

/// Time between the expiry of a token and the end of its lease; allows for differences between
/// clocks.
const VALIDITY_MARGIN: Duration = Duration::from_millis(200);

/// Access of this instance to the promotion duty.
pub struct PromotionDuty {
    store: Arc<dyn StorePort>,
    /// Name in the key's value; differs between instances and between their restarts.
    holder: String,
    lease_span: Duration,
    lease: tokio::sync::Mutex<Option<LeaseId>>,
}

impl PromotionDuty {
    /// Creates a duty that is not held.
    pub fn new(store: Arc<dyn StorePort>, holder: String, lease_span: Duration) -> Self {
        Self {
            store,
            holder,
            lease_span,
            lease: tokio::sync::Mutex::new(None),
        }
    }

    /// Acquires the duty, or returns why it cannot be acquired now.
    pub async fn acquire(&self) -> Result<DutyToken, DutyRefusal> {
        let requested_at = clock::now();
        match self.try_acquire().await {
            Ok(Some((lease, number))) => {
                *self.lease.lock().await = Some(lease);
                Ok(DutyToken {
                    number,
                    valid_until: requested_at + (self.lease_span - VALIDITY_MARGIN),
                })
            }
            Ok(None) => Err(DutyRefusal::Taken),
            Err(error) => {
                info!("duty_unavailable error={:?}", error.to_string());
                Err(DutyRefusal::Unavailable)
            }
        }
    }

    /// Returns the lease and the token's number, or `None` if the duty is held.
    async fn try_acquire(&self) -> Result<Option<(LeaseId, u64)>, StoreError> {
        let lease = self.store.grant_lease(self.lease_span).await?;
        let value = format!("{} lease {}", self.holder, lease.number).into_bytes();
        let swapped = self
            .store
            .compare_and_swap(DUTY_PATH, None, value.clone(), Some(lease))
            .await;
        let number = match swapped {
            Ok(SwapReply::Swapped(revision)) => Some(revision.0),
            Ok(SwapReply::Conflict(_)) => None,
            // The key may have been written although the reply is lost.
            Err(StoreError::ReplyLost(_)) => {
                let entry = self.store.get(DUTY_PATH).await?;
                entry
                    .filter(|entry| entry.value == value)
                    .map(|entry| entry.revision.0)
            }
            Err(error) => return Err(error),
        };
        if number.is_none() {
            self.end_lease(lease).await;
        }
        Ok(number.map(|number| (lease, number)))
    }

    /// Releases the duty if it is held.
    pub async fn release(&self) {
        let lease = self.lease.lock().await.take();
        if let Some(lease) = lease {
            self.end_lease(lease).await;
        }
    }

    async fn end_lease(&self, lease: LeaseId) {
        if let Err(error) = self.store.end_lease(lease).await {
            // The lease expires by itself.
            info!("duty_lease_not_ended error={:?}", error.to_string());
        }
    }

    /// Orders a promotion if the duty is still held under `token`.
    pub async fn order(
        &self,
        port: &dyn PromotionPort,
        group: &str,
        target: &str,
        token: DutyToken,
    ) -> OrderReply {
        match self.store.get(DUTY_PATH).await {
            Ok(Some(entry)) if entry.revision.0 == token.number => {}
            Ok(_) => {
                info!("duty_lost token={}", token.number);
                return OrderReply::NotSent;
            }
            Err(error) => {
                info!("duty_unconfirmed error={:?}", error.to_string());
                return OrderReply::NotSent;
            }
        }
        if clock::now() >= token.valid_until {
            info!("duty_lapsed token={}", token.number);
            return OrderReply::NotSent;
        }
        port.promote(group, target, token.number).await
    }
}
