#include "cypresswall/node/node.h"

#include <utility>

namespace cypresswall::node {
namespace {

/// Admits everything.
class OpenAdmission final : public admission::AdmissionController {
 public:
  std::optional<admission::Refusal> admit(const admission::AdmissionRequest&) override {
    return std::nullopt;
  }
  void released(const admission::AdmissionRequest&) override {}
};

}  // namespace

Node::Node(NodeSettings settings, const api::ProcessContext& context, const NodeClients& clients)
    : settings_(std::move(settings)),
      context_(context),
      membership_(settings_.membership, context_, clients.machine_list),
      gossip_(settings_.membership, context_, membership_),
      authority_(settings_.lease, context_, membership_, clients.object_store),
      configuration_(settings_.configuration, context_, membership_, gossip_, clients.object_store),
      engines_(settings_.directory, context_, clients.engines, configuration_, membership_),
      router_(settings_.router, context_, engines_),
      admission_(std::make_unique<OpenAdmission>()),
      model_executor_(std::make_unique<execution::EngineModelExecutor>(
          context_, configuration_, *admission_, router_, clients.engines, settings_.execution)) {}

Node::~Node() = default;

void Node::start() {
  membership_.start();
  gossip_.start();
  authority_.start();
  configuration_.start();
  engines_.start();
}

}  // namespace cypresswall::node
