//! Readers of JSON values.

use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;

use cicadagw_finding::{Finding, Findings, Location};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::Object;

/// The state shared by all readers of one document: its text and the findings so far.
pub(crate) struct Context<'t> {
    source: &'t str,
    text: &'t str,
    findings: RefCell<Findings>,
}

impl<'t> Context<'t> {
    pub(crate) fn new(source: &'t str, text: &'t str) -> Self {
        Self {
            source,
            text,
            findings: RefCell::default(),
        }
    }

    pub(crate) fn report(&self, offset: usize, message: String, help: Option<String>) {
        self.findings.borrow_mut().push(Finding {
            location: self.location(offset),
            message,
            help,
        });
    }

    pub(crate) fn location(&self, offset: usize) -> Location {
        Location::of(self.source, self.text, offset)
    }

    pub(crate) fn into_findings(self) -> Findings {
        self.findings.into_inner()
    }
}

/// A reader of one value of a document.
///
/// The methods that convert the value report a finding and return `None` if it has another type.
#[derive(Clone, Copy)]
pub struct Reader<'d, 't> {
    pub(crate) context: &'d Context<'t>,
    value: &'d Value<'t>,
}

impl<'d, 't> Reader<'d, 't> {
    pub(crate) fn new(context: &'d Context<'t>, value: &'d Value<'t>) -> Self {
        Self { context, value }
    }

    /// Returns the location of the value.
    pub fn location(&self) -> Location {
        self.context.location(self.value.start())
    }

    /// Reports a finding at the location of the value.
    pub fn report(&self, message: impl Into<String>) {
        self.context
            .report(self.value.start(), message.into(), None);
    }

    /// Reports a finding at the location of the value, with advice on how to resolve it.
    pub fn report_with_help(&self, message: impl Into<String>, help: impl Into<String>) {
        self.context
            .report(self.value.start(), message.into(), Some(help.into()));
    }

    /// Reads a string and parses it as a `T`.
    pub fn parse<T>(&self) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.string()?;
        text.parse()
            .map_err(|error: T::Err| self.report(error.to_string()))
            .ok()
    }

    /// Reads a string.
    pub fn string(&self) -> Option<&'d str> {
        match self.value {
            Value::StringLit(literal) => Some(&literal.value),
            _ => self.mismatch("a string"),
        }
    }

    /// Reads a boolean.
    pub fn boolean(&self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.mismatch("true or false"),
        }
    }

    /// Reads a whole number from `low` to `high`, both inclusive.
    pub fn number(&self, low: u64, high: u64) -> Option<u64> {
        let Value::NumberLit(literal) = self.value else {
            return self.mismatch("a whole number");
        };
        let number = literal.value.parse().ok();
        match number {
            Some(number) if (low..=high).contains(&number) => Some(number),
            _ => {
                self.report(format!(
                    "`{}` is not a whole number from {low} to {high}",
                    literal.value
                ));
                None
            }
        }
    }

    /// Reads a number, rounded down to a whole one, from `low` to `high`, both inclusive.
    pub fn rounded(&self, low: u64, high: u64) -> Option<u64> {
        let Value::NumberLit(literal) = self.value else {
            return self.mismatch("a number");
        };
        let is_in_range = |number: f64| number >= 0.0 && number < high as f64 + 1.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range is checked"
        )]
        let whole = literal
            .value
            .parse()
            .ok()
            .filter(|&number| is_in_range(number))
            .map(|number| number as u64);
        match whole {
            Some(number) if number >= low => Some(number),
            _ => {
                self.report(format!(
                    "`{}` is not a number from {low} to {high}",
                    literal.value
                ));
                None
            }
        }
    }

    /// Reads an array and converts each element with `convert`; elements for which it returns `None`
    /// are omitted.
    pub fn array<T>(
        &self,
        mut convert: impl FnMut(&Reader<'d, 't>) -> Option<T>,
    ) -> Option<Vec<T>> {
        match self.value {
            Value::Array(array) => Some(
                array
                    .elements
                    .iter()
                    .filter_map(|element| convert(&Reader::new(self.context, element)))
                    .collect(),
            ),
            _ => self.mismatch("an array"),
        }
    }

    /// Reads an object.
    pub fn object(&self) -> Option<Object<'d, 't>> {
        match self.value {
            Value::Object(object) => Some(Object::new(self.context, object)),
            _ => self.mismatch("an object"),
        }
    }

    /// Reports that the value has another type than `expected`.
    fn mismatch<T>(&self, expected: &str) -> Option<T> {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        self.report(format!("expected {expected}, found {found}"));
        None
    }
}
