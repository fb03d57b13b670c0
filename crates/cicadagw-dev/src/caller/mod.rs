//! A caller that sends calls at a steady rate and checks every answer.
