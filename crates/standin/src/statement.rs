//! The statement language of a stand-in target.
//!
//! ```text
//! put KEY VALUE            get KEY             scan PREFIX [DELAY_MS]
//! insert KEY VALUE         delete KEY          count PREFIX
//! add KEY N                slow MS STATEMENT
//! ```
//!
//! A key has no spaces; a value is the rest of the statement. All values are texts; `add` takes an
//! absent value as 0. A write gives one row with the new value, `null` after `delete`; `get` of an
//! absent key gives no row. `insert` fails if the key exists. `scan` waits DELAY_MS before every row
//! but the first. `slow` adds MS to the statement's time.

use std::time::Duration;

use bytes::Bytes;

use crate::storage::RowChange;
use crate::storage::SnapshotView;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StatementBody {
    Put { key: String, value: String },
    Insert { key: String, value: String },
    Delete { key: String },
    Add { key: String, amount: i64 },
    Get { key: String },
    Count { prefix: String },
    Scan { prefix: String, delay: Duration },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ParsedStatement {
    /// Time in addition to the target's statement time.
    pub extra: Duration,
    pub body: StatementBody,
}

/// What a statement changes and answers.
#[derive(Debug, Default)]
pub(crate) struct StatementResult {
    pub changes: Vec<RowChange>,
    pub rows: Vec<Bytes>,
    pub row_delay: Duration,
}

impl ParsedStatement {
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let mut extra = Duration::ZERO;
        let mut rest = text.trim();
        loop {
            let (verb, arguments) = split_word(rest);
            if verb != "slow" {
                let body = parse_body(verb, arguments)?;
                return Ok(Self { extra, body });
            }
            let (millis, statement) = split_word(arguments);
            extra += parse_millis(millis)?;
            rest = statement;
        }
    }

    pub(crate) fn is_write(&self) -> bool {
        !matches!(
            self.body,
            StatementBody::Get { .. } | StatementBody::Count { .. } | StatementBody::Scan { .. }
        )
    }

    /// Runs the statement on a view of the rows, without changing them.
    pub(crate) fn evaluate(&self, view: &SnapshotView<'_>) -> Result<StatementResult, String> {
        match &self.body {
            StatementBody::Put { key, value } => Ok(changed(key, Some(value.clone()))),
            StatementBody::Insert { key, value } => match view.get(key) {
                Some(_) => Err(format!("key {key:?} already exists")),
                None => Ok(changed(key, Some(value.clone()))),
            },
            StatementBody::Delete { key } => Ok(changed(key, None)),
            StatementBody::Add { key, amount } => {
                let old = match view.get(key) {
                    None => 0,
                    Some(value) => value
                        .parse::<i64>()
                        .map_err(|_| format!("value of key {key:?} is not an integer"))?,
                };
                let sum = old
                    .checked_add(*amount)
                    .ok_or_else(|| format!("value of key {key:?} would overflow"))?;
                Ok(changed(key, Some(sum.to_string())))
            }
            StatementBody::Get { key } => {
                let value = view.get(key);
                let row = value.map(|value| row_text(key, Some(value)));
                Ok(StatementResult {
                    rows: row.into_iter().collect(),
                    ..StatementResult::default()
                })
            }
            StatementBody::Count { prefix } => {
                let count = view.scan(prefix).len().to_string();
                Ok(StatementResult {
                    rows: vec![row_text(prefix, Some(&count))],
                    ..StatementResult::default()
                })
            }
            StatementBody::Scan { prefix, delay } => {
                let found = view.scan(prefix);
                let rows = found
                    .iter()
                    .map(|(key, value)| row_text(key, Some(value)))
                    .collect();
                Ok(StatementResult {
                    rows,
                    row_delay: *delay,
                    ..StatementResult::default()
                })
            }
        }
    }
}

fn changed(key: &str, value: Option<String>) -> StatementResult {
    let row = row_text(key, value.as_deref());
    let change = RowChange {
        key: key.to_string(),
        value,
    };
    StatementResult {
        changes: vec![change],
        rows: vec![row],
        row_delay: Duration::ZERO,
    }
}

fn row_text(key: &str, value: Option<&str>) -> Bytes {
    serde_json::json!({ "key": key, "value": value })
        .to_string()
        .into()
}

fn split_word(text: &str) -> (&str, &str) {
    let text = text.trim_start();
    match text.split_once(char::is_whitespace) {
        Some((word, rest)) => (word, rest.trim_start()),
        None => (text, ""),
    }
}

fn parse_millis(text: &str) -> Result<Duration, String> {
    text.parse()
        .map(Duration::from_millis)
        .map_err(|_| format!("{text:?} is not a number of milliseconds"))
}

fn parse_body(verb: &str, arguments: &str) -> Result<StatementBody, String> {
    let (first, rest) = split_word(arguments);
    let key = first.to_string();
    let has_key = !key.is_empty();
    let has_rest = !rest.is_empty();
    let body = match verb {
        "put" if has_rest => StatementBody::Put {
            key,
            value: rest.to_string(),
        },
        "insert" if has_rest => StatementBody::Insert {
            key,
            value: rest.to_string(),
        },
        "delete" if has_key && !has_rest => StatementBody::Delete { key },
        "add" if has_rest => StatementBody::Add {
            key,
            amount: rest
                .parse()
                .map_err(|_| format!("{rest:?} is not an integer"))?,
        },
        "get" if has_key && !has_rest => StatementBody::Get { key },
        "count" if !has_rest => StatementBody::Count { prefix: key },
        "scan" if has_rest => StatementBody::Scan {
            prefix: key,
            delay: parse_millis(rest)?,
        },
        "scan" => StatementBody::Scan {
            prefix: key,
            delay: Duration::ZERO,
        },
        _ => return Err(format!("cannot parse statement {verb:?} {arguments:?}")),
    };
    Ok(body)
}
