//! Plots and a page of a suite.
