//! Counters by client account, for a bounded number of accounts.

use super::write_metric;
use crate::serve::forward::QuotaOutcome;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of accounts with counters of their own, about 10 KB. Further accounts share one.
const MAX_ACCOUNTS: usize = 128;

/// Label of the accounts without counters of their own.
const OTHERS: &str = "other";

/// Answers to one account's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Answers {
    served: u64,
    /// Refused as not run.
    refused: u64,
    failed: u64,
}

/// Counters by account, and of refused keys.
#[derive(Debug, Default)]
pub(crate) struct AccountCounters {
    answers: BTreeMap<Rc<str>, Answers>,
    /// Needs for tokens of quotas, by account and outcome.
    quotas: BTreeMap<Rc<str>, BTreeMap<QuotaOutcome, u64>>,
    /// Requests that were refused for their keys, by reason.
    key_refusals: BTreeMap<&'static str, u64>,
}

impl AccountCounters {
    /// Counts the answer to an account's request.
    pub(crate) fn record_answer(&mut self, account: &Rc<str>, status: u16) {
        let is_full = self.answers.len() >= MAX_ACCOUNTS;
        let name = match is_full && !self.answers.contains_key(account) {
            true => OTHERS.into(),
            false => account.clone(),
        };
        let answers = self.answers.entry(name).or_default();
        match status {
            200..=399 => answers.served += 1,
            400..=499 | 503 => answers.refused += 1,
            _ => answers.failed += 1,
        }
    }

    /// Counts what became of an attempt's need for a token of its account's quota.
    pub(crate) fn record_quota(&mut self, account: &Rc<str>, outcome: QuotaOutcome) {
        if let Some(counts) = self.quotas.get_mut(account) {
            *counts.entry(outcome).or_default() += 1;
            return;
        }
        let name = match self.quotas.len() >= MAX_ACCOUNTS {
            true => OTHERS.into(),
            false => account.clone(),
        };
        let counts = self.quotas.entry(name).or_default();
        *counts.entry(outcome).or_default() += 1;
    }

    /// Counts a request that was refused for its key.
    pub(crate) fn record_key_refusal(&mut self, reason: &'static str) {
        *self.key_refusals.entry(reason).or_default() += 1;
    }

    pub(super) fn render(&self, text: &mut String) {
        for (account, answers) in &self.answers {
            let account = escaped(account);
            for (outcome, count) in [
                ("served", answers.served),
                ("refused", answers.refused),
                ("failed", answers.failed),
            ] {
                let labels = format!("account=\"{account}\",outcome=\"{outcome}\"");
                write_metric(text, "account_answers_total", &labels, count);
            }
        }
        for (account, counts) in &self.quotas {
            let account = escaped(account);
            for (outcome, count) in counts {
                let labels = format!("account=\"{account}\",outcome=\"{outcome}\"");
                write_metric(text, "quota_requests_total", &labels, *count);
            }
        }
        for (reason, count) in &self.key_refusals {
            let labels = format!("reason=\"{reason}\"");
            write_metric(text, "key_refusals_total", &labels, *count);
        }
    }
}

fn escaped(account: &str) -> String {
    account.replace('\\', "\\\\").replace('"', "\\\"")
}
