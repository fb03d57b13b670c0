//! The admin duty: health, dump and metrics of a node.
