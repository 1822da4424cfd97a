//! Tests of the programs and of the operations behind them.

mod command;
mod settings;
