//! The data-plane daemon: callers' HTTP, dispatch and stream relay.
