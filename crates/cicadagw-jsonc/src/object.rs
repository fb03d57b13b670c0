//! Readers of JSON objects.

use std::cell::RefCell;
use std::collections::BTreeSet;

use jsonc_parser::ast::{self, ObjectProp};
use jsonc_parser::common::Ranged;

use crate::Reader;
use crate::reader::Context;

/// A reader of a JSON object, whose keys are read one by one.
///
/// The known keys are those that [`Object::get`] or [`Object::required`] was called with;
/// [`Object::finish`] reports all others.
pub struct Object<'d, 't> {
    context: &'d Context<'t>,
    node: &'d ast::Object<'t>,
    known: RefCell<Vec<&'static str>>,
}

impl<'d, 't> Object<'d, 't> {
    pub(crate) fn new(context: &'d Context<'t>, node: &'d ast::Object<'t>) -> Self {
        let mut seen = BTreeSet::new();
        for property in &node.properties {
            let name = property.name.as_str();
            if !seen.insert(name.to_owned()) {
                context.report(property.start(), format!("key `{name}` occurs twice"), None);
            }
        }
        Self {
            context,
            node,
            known: RefCell::default(),
        }
    }

    /// Returns the value of the key `name`, and reports a finding if it is missing.
    pub fn required(&self, name: &'static str) -> Option<Reader<'d, 't>> {
        let found = self.get(name);
        if found.is_none() {
            self.context
                .report(self.node.start(), format!("key `{name}` is missing"), None);
        }
        found
    }

    /// Returns the value of the key `name`, if there is one.
    pub fn get(&self, name: &'static str) -> Option<Reader<'d, 't>> {
        self.add_known(name);
        self.node
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)
            .map(|property| Reader::new(self.context, &property.value))
    }

    /// Adds `name` to the known keys.
    fn add_known(&self, name: &'static str) {
        let mut known = self.known.borrow_mut();
        if !known.contains(&name) {
            known.push(name);
        }
    }

    /// Returns all keys with their values, for objects whose keys are not fixed.
    pub fn entries(&self) -> impl Iterator<Item = (&'d str, Reader<'d, 't>)> + use<'d, 't> {
        let context = self.context;
        self.node
            .properties
            .iter()
            .map(move |property| (name_of(property), Reader::new(context, &property.value)))
    }

    /// Reports a finding for each key of the object that is not known.
    pub fn finish(self) {
        self.report_unknown();
    }

    /// Reports the keys that are not known, like [`Object::finish`], without consuming the reader.
    pub fn report_unknown(&self) {
        let mut known = self.known.borrow().clone();
        known.sort_unstable();
        for property in &self.node.properties {
            let name = property.name.as_str();
            if !known.contains(&name) {
                let help = format!("known keys: {}", known.join(", "));
                self.context.report(
                    property.start(),
                    format!("unknown key `{name}`"),
                    Some(help),
                );
            }
        }
    }
}

fn name_of<'d>(property: &'d ObjectProp<'_>) -> &'d str {
    property.name.as_str()
}
