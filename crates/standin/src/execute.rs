//! How a target runs calls.
//!
//! Single writes and commits take effect at the end of their time, reads see the state at the
//! beginning of theirs. A transaction reads from the snapshot at its begin and keeps its writes to
//! itself; a commit fails as rolled back if another transaction has changed one of the same keys
//! since then (first committer wins). A statement that fails inside a transaction has no effect and
//! leaves the transaction open.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;
use tokio::time::sleep;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::TargetCall;
use heatherhollow_ports::TargetError;
use heatherhollow_types::FailureReason;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::RequestId;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::TermNumber;

use crate::connection::PartSender;
use crate::fault::LostCall;
use crate::fault::ReplyLoss;
use crate::state::TargetState;
use crate::statement::ParsedStatement;
use crate::storage::LogRecord;
use crate::storage::RecordedRequest;
use crate::storage::RowChange;
use crate::target::TargetCell;

/// The open transaction of a connection.
#[derive(Debug)]
pub(crate) struct OpenTransaction {
    term: TermNumber,
    is_read_only: bool,
    snapshot: GroupPosition,
    /// Sorted by key.
    changes: Vec<RowChange>,
}

/// A whole answer, before it is sent.
#[derive(Debug)]
struct CallAnswer {
    head: GroupPosition,
    rows: Vec<Bytes>,
    row_delay: Duration,
    end: AnswerEnd,
    loss: Option<ReplyLoss>,
}

impl CallAnswer {
    fn done(head: GroupPosition, rows: Vec<Bytes>) -> Self {
        let mut end = AnswerEnd::of(RequestOutcome::Done);
        end.rows = rows.len() as u64;
        Self {
            head,
            rows,
            row_delay: Duration::ZERO,
            end,
            loss: None,
        }
    }

    fn failed(head: GroupPosition, reason: FailureReason, detail: String) -> Self {
        let mut answer = Self::done(head, Vec::new());
        answer.end.outcome = RequestOutcome::Failed(reason);
        answer.end.detail = detail;
        answer
    }

    fn recorded(head: GroupPosition, record: RecordedRequest) -> Self {
        let mut answer = Self::done(head, record.rows);
        answer.end.position = Some(record.position);
        answer.end.is_recorded = true;
        answer
    }
}

/// Runs one call and sends its answer. `has_slot` is set as soon as the call holds a slot.
pub(crate) async fn run_call(
    target: &TargetCell,
    epoch: u64,
    call: &TargetCall,
    transaction: &mut Option<OpenTransaction>,
    out: &PartSender<'_>,
    has_slot: &AtomicBool,
) {
    let run = CallRun {
        target,
        epoch,
        call,
        has_slot,
    };
    // The slot is held until the last row has found room on the connection.
    let mut slot = None;
    let answer = match call.step {
        CallStep::Single => run.single(&mut slot).await,
        CallStep::Begin => run.begin(transaction),
        CallStep::Within => run.within(transaction, &mut slot).await,
        CallStep::Commit => run.commit(transaction, &mut slot).await,
        CallStep::Rollback => run.rollback(transaction),
    };
    match answer {
        Ok(answer) => send_answer(answer, out).await,
        Err(error) => {
            out.send(Err(error)).await;
        }
    }
}

async fn send_answer(answer: CallAnswer, out: &PartSender<'_>) {
    match answer.loss {
        Some(ReplyLoss::Hang) => return out.silence(),
        Some(ReplyLoss::Reset) => return out.reset(),
        None => {}
    }
    if !out.send(Ok(AnswerPart::Head(answer.head))).await {
        return;
    }
    for (i, row) in answer.rows.into_iter().enumerate() {
        if i > 0 && !answer.row_delay.is_zero() {
            sleep(answer.row_delay).await;
        }
        if !out.send(Ok(AnswerPart::Row(row))).await {
            return;
        }
    }
    out.send(Ok(AnswerPart::End(answer.end))).await;
}

#[derive(Debug, Clone, Copy)]
struct CallRun<'a> {
    target: &'a TargetCell,
    epoch: u64,
    call: &'a TargetCall,
    has_slot: &'a AtomicBool,
}

impl<'a> CallRun<'a> {
    async fn take_slot(&self) -> Option<SemaphorePermit<'a>> {
        // The semaphore is never closed, so acquiring cannot fail.
        let slot = self.target.slots.acquire().await.ok();
        self.has_slot.store(true, Ordering::SeqCst);
        slot
    }

    fn failed_now(&self, reason: FailureReason, detail: String) -> Result<CallAnswer, TargetError> {
        let state = self.target.lock_alive(self.epoch)?;
        let head = state.storage.applied(Instant::now());
        Ok(CallAnswer::failed(head, reason, detail))
    }

    async fn single(
        &self,
        slot: &mut Option<SemaphorePermit<'a>>,
    ) -> Result<CallAnswer, TargetError> {
        let call = self.call;
        if let (true, Some(request)) = (call.is_read_only, &call.request)
            && (call.statement.is_empty() || is_write_text(&call.statement))
        {
            return self.look_up(request, slot).await;
        }
        let statement = match ParsedStatement::parse(&call.statement) {
            Ok(statement) => statement,
            Err(detail) => return self.failed_now(FailureReason::Statement, detail),
        };
        if !statement.is_write() {
            return self.read(&statement, slot).await;
        }
        if call.is_read_only {
            let detail = "a read-only call cannot change rows".to_string();
            return self.failed_now(FailureReason::Statement, detail);
        }
        self.target.lock_alive(self.epoch)?.check_write(call.term)?;
        let _claim = match &call.request {
            Some(request) => Some(self.target.claim(request, self.epoch).await),
            None => None,
        };
        *slot = self.take_slot().await;
        let span = self.target.statement_time + statement.extra;
        self.target.work(span).await;
        let answer = self.write(&mut *self.target.lock_alive(self.epoch)?, &statement);
        self.target.notify_log();
        answer
    }

    fn write(
        &self,
        state: &mut TargetState,
        statement: &ParsedStatement,
    ) -> Result<CallAnswer, TargetError> {
        let call = self.call;
        state.check_write(call.term)?;
        let end = state.storage.end();
        if let Some(record) = recorded(state, call.request.as_ref()) {
            return Ok(CallAnswer::recorded(end, record));
        }
        let view = state.storage.view(end.position, &[]);
        match statement.evaluate(&view) {
            Ok(result) => Ok(append(state, call, result.changes, result.rows)),
            Err(detail) => Ok(CallAnswer::failed(end, FailureReason::Statement, detail)),
        }
    }

    /// Answers from the record of a request id, without running anything.
    async fn look_up(
        &self,
        request: &RequestId,
        slot: &mut Option<SemaphorePermit<'a>>,
    ) -> Result<CallAnswer, TargetError> {
        self.target
            .lock_alive(self.epoch)?
            .check_term(self.call.term)?;
        let _claim = self.target.claim(request, self.epoch).await;
        *slot = self.take_slot().await;
        self.target.work(self.target.statement_time).await;
        let state = self.target.lock_alive(self.epoch)?;
        state.check_term(self.call.term)?;
        let head = state.storage.end();
        Ok(match recorded(&state, Some(request)) {
            Some(record) => CallAnswer::recorded(head, record),
            None => {
                let detail = format!("request {request} is not recorded");
                CallAnswer::failed(head, FailureReason::Statement, detail)
            }
        })
    }

    async fn read(
        &self,
        statement: &ParsedStatement,
        slot: &mut Option<SemaphorePermit<'a>>,
    ) -> Result<CallAnswer, TargetError> {
        self.target
            .lock_alive(self.epoch)?
            .check_term(self.call.term)?;
        *slot = self.take_slot().await;
        self.target.awake().await;
        let answer = {
            let state = self.target.lock_alive(self.epoch)?;
            state.check_term(self.call.term)?;
            let head = state.storage.applied(Instant::now());
            evaluate_read(&state, statement, head, &[])
        };
        let span = self.target.statement_time + statement.extra;
        self.target.work(span).await;
        Ok(answer)
    }

    fn begin(&self, transaction: &mut Option<OpenTransaction>) -> Result<CallAnswer, TargetError> {
        if transaction.is_some() {
            return Err(rejected("a transaction is already open"));
        }
        let call = self.call;
        let state = self.target.lock_alive(self.epoch)?;
        if call.is_read_only {
            state.check_term(call.term)?;
        } else {
            state.check_write(call.term)?;
        }
        let snapshot = state.storage.applied(Instant::now());
        *transaction = Some(OpenTransaction {
            term: state.promised,
            is_read_only: call.is_read_only,
            snapshot,
            changes: Vec::new(),
        });
        Ok(CallAnswer::done(snapshot, Vec::new()))
    }

    async fn within(
        &self,
        transaction: &mut Option<OpenTransaction>,
        slot: &mut Option<SemaphorePermit<'a>>,
    ) -> Result<CallAnswer, TargetError> {
        if transaction.is_none() {
            return Err(rejected("no transaction is open"));
        }
        let statement = match ParsedStatement::parse(&self.call.statement) {
            Ok(statement) => statement,
            Err(detail) => return self.failed_now(FailureReason::Statement, detail),
        };
        *slot = self.take_slot().await;
        let span = self.target.statement_time + statement.extra;
        self.target.work(span).await;
        let state = self.target.lock_alive(self.epoch)?;
        let Some(mut open) = transaction.take() else {
            return Err(rejected("no transaction is open"));
        };
        // From here on an early return leaves the transaction rolled back.
        state.check_term(self.call.term)?;
        if !open.is_read_only {
            state.check_write(Some(open.term))?;
        }
        let snapshot = open.snapshot;
        if !state.storage.history().contains(snapshot) {
            let head = state.storage.applied(Instant::now());
            let detail = "the transaction's snapshot was lost in a promotion".to_string();
            return Ok(CallAnswer::failed(head, FailureReason::RolledBack, detail));
        }
        let answer = if !statement.is_write() {
            evaluate_read(&state, &statement, snapshot, &open.changes)
        } else if open.is_read_only || self.call.is_read_only {
            let detail = "a read-only call cannot change rows".to_string();
            CallAnswer::failed(snapshot, FailureReason::Statement, detail)
        } else {
            let view = state.storage.view(snapshot.position, &open.changes);
            match statement.evaluate(&view) {
                Ok(result) => {
                    merge_changes(&mut open.changes, result.changes);
                    CallAnswer::done(snapshot, result.rows)
                }
                Err(detail) => CallAnswer::failed(snapshot, FailureReason::Statement, detail),
            }
        };
        *transaction = Some(open);
        Ok(answer)
    }

    async fn commit(
        &self,
        transaction: &mut Option<OpenTransaction>,
        slot: &mut Option<SemaphorePermit<'a>>,
    ) -> Result<CallAnswer, TargetError> {
        let call = self.call;
        let _claim = match &call.request {
            Some(request) => Some(self.target.claim(request, self.epoch).await),
            None => None,
        };
        *slot = self.take_slot().await;
        self.target.work(self.target.statement_time).await;
        let mut state = self.target.lock_alive(self.epoch)?;
        let open = transaction.take();
        let head = state.storage.applied(Instant::now());
        if let Some(record) = recorded(&state, call.request.as_ref()) {
            state.check_write(call.term)?;
            return Ok(CallAnswer::recorded(head, record));
        }
        let Some(open) = open else {
            return Err(rejected("no transaction is open"));
        };
        state.check_term(call.term)?;
        if open.is_read_only || (open.changes.is_empty() && call.request.is_none()) {
            return Ok(CallAnswer::done(head, Vec::new()));
        }
        state.check_write(Some(open.term))?;
        let start = open.snapshot.position;
        let conflict = open
            .changes
            .iter()
            .find(|change| state.storage.is_changed_after(&change.key, start));
        if let Some(change) = conflict {
            let detail = format!("another transaction has changed key {:?}", change.key);
            return Ok(CallAnswer::failed(head, FailureReason::RolledBack, detail));
        }
        let answer = append(&mut state, call, open.changes, Vec::new());
        drop(state);
        self.target.notify_log();
        Ok(answer)
    }

    fn rollback(
        &self,
        transaction: &mut Option<OpenTransaction>,
    ) -> Result<CallAnswer, TargetError> {
        if transaction.take().is_none() {
            return Err(rejected("no transaction is open"));
        }
        let state = self.target.lock_alive(self.epoch)?;
        let head = state.storage.applied(Instant::now());
        Ok(CallAnswer::done(head, Vec::new()))
    }
}

fn rejected(detail: &str) -> TargetError {
    TargetError::Rejected(detail.to_string())
}

fn is_write_text(text: &str) -> bool {
    ParsedStatement::parse(text).is_ok_and(|statement| statement.is_write())
}

fn recorded(state: &TargetState, request: Option<&RequestId>) -> Option<RecordedRequest> {
    request.and_then(|request| state.storage.recorded(request))
}

fn evaluate_read(
    state: &TargetState,
    statement: &ParsedStatement,
    snapshot: GroupPosition,
    changes: &[RowChange],
) -> CallAnswer {
    let view = state.storage.view(snapshot.position, changes);
    match statement.evaluate(&view) {
        Ok(result) => CallAnswer {
            row_delay: result.row_delay,
            ..CallAnswer::done(snapshot, result.rows)
        },
        Err(detail) => CallAnswer::failed(snapshot, FailureReason::Statement, detail),
    }
}

/// Appends a write or a transaction, together with the record of its request id.
fn append(
    state: &mut TargetState,
    call: &TargetCall,
    changes: Vec<RowChange>,
    rows: Vec<Bytes>,
) -> CallAnswer {
    let request = call.request.clone();
    let record = LogRecord {
        term: state.promised,
        changes,
        request: request.map(|request| (request, rows.clone())),
    };
    let position = state.storage.append(Arc::new(record), Instant::now());
    let mut answer = CallAnswer::done(position, rows);
    answer.end.position = Some(position);
    answer.loss = state.take_loss(LostCall::Write);
    answer
}

fn merge_changes(changes: &mut Vec<RowChange>, newer: Vec<RowChange>) {
    for change in newer {
        match changes.binary_search_by(|older| older.key.cmp(&change.key)) {
            Ok(i) => changes[i] = change,
            Err(i) => changes.insert(i, change),
        }
    }
}
