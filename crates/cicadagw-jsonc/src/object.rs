//! Tables of named values.

use std::cell::RefCell;
use std::collections::BTreeSet;

use jsonc_parser::ast::{self, ObjectProp};
use jsonc_parser::common::Ranged;

use crate::Reader;
use crate::reader::Context;

/// A table whose names are read one by one; names that nobody asked for are findings.
pub struct Object<'d, 't> {
    context: &'d Context<'t>,
    object: &'d ast::Object<'t>,
    known: RefCell<Vec<&'static str>>,
}

impl<'d, 't> Object<'d, 't> {
    pub(crate) fn new(context: &'d Context<'t>, object: &'d ast::Object<'t>) -> Self {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !seen.insert(name.to_owned()) {
                context.report(property.start(), format!("`{name}` stands twice"), None);
            }
        }
        Self {
            context,
            object,
            known: RefCell::default(),
        }
    }

    /// Returns the value of `name`; a missing one is a finding.
    pub fn required(&self, name: &'static str) -> Option<Reader<'d, 't>> {
        let found = self.get(name);
        if found.is_none() {
            self.context
                .report(self.object.start(), format!("`{name}` is missing"), None);
        }
        found
    }

    /// Returns the value of `name`, if there is one.
    pub fn get(&self, name: &'static str) -> Option<Reader<'d, 't>> {
        self.know(name);
        self.object
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)
            .map(|property| Reader::new(self.context, &property.value))
    }

    /// Notes that `name` may stand here.
    fn know(&self, name: &'static str) {
        let mut known = self.known.borrow_mut();
        if !known.contains(&name) {
            known.push(name);
        }
    }

    /// Returns every name with its value, for tables whose names are free.
    pub fn entries(&self) -> impl Iterator<Item = (&'d str, Reader<'d, 't>)> + use<'d, 't> {
        let context = self.context;
        self.object
            .properties
            .iter()
            .map(move |property| (name_of(property), Reader::new(context, &property.value)))
    }

    /// Reports the names that nobody asked for.
    pub fn finish(self) {
        self.report_unknown();
    }

    /// Reports the names that nobody asked for, while the table is still read by reference.
    pub fn report_unknown(&self) {
        let mut known = self.known.borrow().clone();
        known.sort_unstable();
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !known.contains(&name) {
                let help = format!("known here: {}", known.join(", "));
                self.context.report(
                    property.start(),
                    format!("`{name}` is not known"),
                    Some(help),
                );
            }
        }
    }
}

fn name_of<'d>(property: &'d ObjectProp<'_>) -> &'d str {
    property.name.as_str()
}
