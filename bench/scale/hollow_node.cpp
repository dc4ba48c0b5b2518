#include "bench/scale/hollow_node.h"

#include <utility>

namespace cypresswall::bench {
namespace {

runtime::TransportSettings transportSettings(const common::Address& address) {
  runtime::TransportSettings settings;
  settings.listen_address = address;
  return settings;
}

}  // namespace

HollowNode::HollowNode(const HollowEnvironment& environment, const common::Address& address,
                       const common::ZoneName& zone, node::NodeSettings settings,
                       std::uint32_t models, std::uint64_t seed)
    : zone_(zone),
      address_(address),
      random_(seed),
      scheduler_(environment.context),
      transport_(environment.context, transportSettings(address), random_, environment.log,
                 counters_),
      engines_(scheduler_, random_, models) {
  const common::NodeId self{transport_.listen(), random_.next() | 1U};
  transport_.start(self, dispatcher_);
  const api::ProcessContext context{self,       zone_,      environment.clock,
                                    scheduler_, random_,    environment.log,
                                    counters_,  transport_, dispatcher_};
  node_ = std::make_unique<node::Node>(
      std::move(settings), context,
      node::NodeClients{environment.object_store, environment.machine_list, engines_,
                        environment.services});
}

HollowNode::~HollowNode() { transport_.close(); }

void HollowNode::start() { node_->start(); }

}  // namespace cypresswall::bench
