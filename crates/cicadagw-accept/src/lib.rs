//! Acceptance of changes of configuration: check, write parts, move the head.
