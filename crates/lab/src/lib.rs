//! Fleet on one machine, load, fault injection, simulation and reports.
