/// A node that shares its process with many others in a scale run: the same modules and real
/// internal messages over loopback, with hollow engines and no HTTP front.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "bench/scale/hollow_engine_client.h"
#include "cypresswall/node/node.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "cypresswall/runtime/tcp_peer_transport.h"

namespace cypresswall::bench {

/// What all hollow nodes of a process share.
struct HollowEnvironment {
  asio::io_context& context;
  common::Clock& clock;
  platform::ObjectStore& object_store;
  platform::MachineList& machine_list;
  services::ServiceClient& services;
  common::LogSink& log;
};

class HollowNode {
 public:
  /// Listens at once. \throws runtime::TransportError
  HollowNode(const HollowEnvironment& environment, const common::Address& address,
             const common::ZoneName& zone, node::NodeSettings settings, std::uint32_t models,
             std::uint64_t seed);
  ~HollowNode();

  void start();
  node::Node& node() { return *node_; }
  const common::CounterRegistry& counters() const { return counters_; }
  const common::ZoneName& zone() const { return zone_; }
  const common::Address& address() const { return address_; }

 private:
  common::ZoneName zone_;
  common::Address address_;
  common::SeededRandom random_;
  common::CounterRegistry counters_;
  api::MessageDispatcher dispatcher_;
  runtime::AsioScheduler scheduler_;
  runtime::TcpPeerTransport transport_;
  HollowEngineClient engines_;
  std::unique_ptr<node::Node> node_;
};

}  // namespace cypresswall::bench
