#include "cypresswall/runtime/event_loop.h"

#include <string>

namespace cypresswall::runtime {

void runEventLoop(asio::io_context& context, common::HandlerGuard& guard) {
  const auto origin = [] { return std::string("unknown"); };
  while (!guard.run(common::EventSource::kEventLoop, origin, [&] { context.run(); })) {
  }
}

}  // namespace cypresswall::runtime
