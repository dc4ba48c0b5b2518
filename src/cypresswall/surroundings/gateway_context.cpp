#include "cypresswall/surroundings/gateway_context.h"

#include <chrono>
#include <cstdint>

namespace cypresswall::surroundings {
namespace {

std::int64_t unixTime() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

}  // namespace

gateway::GatewayContext gatewayContext(const api::ProcessContext& process, node::Node& node) {
  return {node.modelExecutor(), node.serviceExecutor(), node.configurationView(), process.scheduler,
          process.log,          process.counters,       process.random,           unixTime};
}

}  // namespace cypresswall::surroundings
