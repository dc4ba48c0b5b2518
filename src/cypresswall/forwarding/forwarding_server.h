/// The receiving side of forwarding: executes requests of nodes that reach no server.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_path.h"
#include "cypresswall/execution/model_executor.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/forwarding/forwarding_settings.h"
#include "cypresswall/forwarding/messages.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::forwarding {

/// Executes each request on this node, so that no request is forwarded twice. Admission, limits,
/// retries and the request's fingerprint count here as for callers of this node.
class ForwardingServer {
 public:
  /// \param accepting false while this node leaves
  /// \pre all references outlive this object
  ForwardingServer(const ForwardingSettings& settings, const api::ProcessContext& context,
                   membership::MembershipView& membership, const api::ServerPath& path,
                   execution::ModelExecutor& models, execution::ServiceExecutor& services,
                   std::function<bool()> accepting);
  ~ForwardingServer();
  ForwardingServer(const ForwardingServer&) = delete;
  ForwardingServer& operator=(const ForwardingServer&) = delete;

  /// \return the number of requests of other nodes in progress
  std::size_t running() const { return models_.size() + services_.size(); }

 private:
  class ModelRun;
  /// A request to a plain service.
  struct ServiceRun {
    std::unique_ptr<execution::ServiceExecution> execution;
    common::MonotonicTime checked_at{};
  };
  /// The sender, and the number that it gave the request.
  using Key = std::pair<common::NodeId, std::uint64_t>;

  /// Acknowledges or rejects a request. \return false if it was rejected
  bool admit(const common::NodeId& sender, std::uint64_t number);
  void onModelCall(const common::NodeId& sender, const ForwardedModelCall& message);
  void onServiceCall(const common::NodeId& sender, const ForwardedServiceCall& message);
  void onCancelled(const common::NodeId& sender, const ForwardCancelled& message);
  void onFlow(const common::NodeId& sender, const ForwardFlow& message);
  void onCheck(const common::NodeId& sender, const ForwardCheck& message);
  /// Cancels requests that their senders have given up, at intervals while there are requests.
  void scheduleSweep();
  void sweep();
  /// Ends the requests of nodes that have ended.
  void onMembershipChanged();
  /// Removes a request in the next scheduler callback, since its executor may be on the stack.
  void retireModel(const Key& key);
  void retireService(const Key& key);

  const ForwardingSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const api::ServerPath& path_;
  execution::ModelExecutor& model_executor_;
  execution::ServiceExecutor& service_executor_;
  const std::function<bool()> accepting_;
  std::map<Key, std::unique_ptr<ModelRun>> models_;
  std::map<Key, ServiceRun> services_;
  common::TimerId sweep_timer_ = 0;
  common::Counter& served_;
  common::Counter& rejected_;
};

}  // namespace cypresswall::forwarding
