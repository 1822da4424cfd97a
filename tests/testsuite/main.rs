//! Tests of the programs and of the operations behind them.

mod api_page;
mod command;
mod settings;
