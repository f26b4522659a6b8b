//! The channels of events for the main loop.

use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::channel;
use tokio::sync::mpsc::unbounded_channel;

use crate::clients::RunnerEvent;

/// Maximum number of events received from each channel at once.
pub const MAX_EVENT_BATCH: usize = 64;

/// Number of events of clients that wait for the main loop; further ones wait in their connections.
const CLIENT_EVENT_CAPACITY: usize = 1_024;

/// Receivers of the events of the main loop. Events of clients have a bounded channel of their own,
/// so that clients cannot fill the memory and do not delay the events of targets and links.
pub struct EventReceivers {
    clients: Receiver<RunnerEvent>,
    others: UnboundedReceiver<RunnerEvent>,
}

impl EventReceivers {
    /// Creates the channels; returns the senders of clients and of all others.
    pub fn new() -> (Self, Sender<RunnerEvent>, UnboundedSender<RunnerEvent>) {
        let (client_events, clients) = channel(CLIENT_EVENT_CAPACITY);
        let (events, others) = unbounded_channel();
        (Self { clients, others }, client_events, events)
    }

    /// Returns whether connections of clients may wait to send events.
    pub fn is_full(&self) -> bool {
        self.clients.capacity() == 0
    }

    /// Receives events of both channels, up to [`MAX_EVENT_BATCH`] of each; none if all senders of
    /// one channel have been dropped.
    pub async fn receive(&mut self, batch: &mut Vec<RunnerEvent>) {
        let first = tokio::select! {
            event = self.others.recv() => event,
            event = self.clients.recv() => event,
        };
        if let Some(event) = first {
            batch.push(event);
            self.add_waiting(batch);
        }
    }

    /// Adds the events that wait in both channels, up to a batch of each.
    pub fn add_waiting(&mut self, batch: &mut Vec<RunnerEvent>) {
        let others = std::iter::from_fn(|| self.others.try_recv().ok());
        batch.extend(others.take(MAX_EVENT_BATCH));
        let clients = std::iter::from_fn(|| self.clients.try_recv().ok());
        batch.extend(clients.take(MAX_EVENT_BATCH));
    }
}
