/// Stream between a simulated process and an emulated engine. Tokens arrive in order; those of one
/// step of the engine arrive together. A cut between the two breaks the stream. The head of a
/// passed-through answer has a header "engine" with the engine's address.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cypresswall/emulation/engine.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/simulation/external_call.h"

namespace cypresswall::simulation {

class SimulatedEngines;

/// Told whether the connection of a stream was established.
using ConnectionReporter = std::function<void(bool established)>;

/// The process's side of the stream; destroying this object closes the connection.
class SimulatedStream final : public engines::Stream {
 public:
  static std::unique_ptr<SimulatedStream> start(const ExternalPath& path, SimulatedEngines& engines,
                                                const common::Address& address,
                                                engines::StreamRequest request,
                                                engines::StreamHandler& handler,
                                                common::AnnouncementReporter announce,
                                                ConnectionReporter report_connection,
                                                common::Duration break_detection_time);
  ~SimulatedStream() override;
  SimulatedStream(const SimulatedStream&) = delete;
  SimulatedStream& operator=(const SimulatedStream&) = delete;
  void pause() override;
  void resume() override;

 private:
  class Connection;
  explicit SimulatedStream(std::shared_ptr<Connection> connection);

  std::shared_ptr<Connection> connection_;
};

}  // namespace cypresswall::simulation
