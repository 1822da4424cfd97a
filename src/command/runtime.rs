use error_stack::ResultExt;

use crate::error;
use crate::error::Code;
use crate::error::Error;

/// Runs a command's future to completion on a new multi-threaded runtime.
///
/// # Errors
///
/// Fails when the runtime cannot start or the command fails.
pub fn block_on<T>(future: impl Future<Output = error::Result<T>>) -> error::Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| Error::new(Code::Failed, "cannot start the runtime"))?;
    runtime.block_on(future)
}
