/// The event loop of a process.
#pragma once

#include <asio/io_context.hpp>

#include "cypresswall/common/handler_guard.h"

namespace cypresswall::runtime {

/// Runs handlers until `context` is stopped or has no work left. An exception that no inner guard
/// has caught ends only the handler that threw it.
void runEventLoop(asio::io_context& context, common::HandlerGuard& guard);

}  // namespace cypresswall::runtime
