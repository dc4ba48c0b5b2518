/// Fake engines with scripted stream faults, and a fake router.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/engines/engine_client.h"
#include "cypresswall/routing/router.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::testing {

/// Script of one stream. Positions count the tokens of that stream; a position beyond its end has
/// no effect.
struct StreamScript {
  enum class Kind {
    kGood,
    kNotSent,
    kRefused,
    kBrokenAt,      ///< the connection breaks at the position
    kSilentAt,      ///< no events from the position on
    kLosesAt,       ///< the token at the position is lost, the following ones are delivered
    kDuplicatesAt,  ///< the token at the position is delivered twice
    kReordersAt,    ///< the token at the position is delivered after the next one
    kMisdirectsAt,  ///< the token at the position is delivered to another open stream
    kEndsAt,        ///< the final event is delivered in place of the token
    kStale,         ///< a kept connection breaks before any event; a fresh one works
    kLateEvents,    ///< the stream breaks at the position and delivers further events afterwards
  };
  Kind kind = Kind::kGood;
  std::uint32_t position = 0;
};

/// \return the token that every engine produces at `index` of the answer to `prompt`
std::string expectedToken(const std::string& prompt, std::uint32_t index);

/// Runs scripted streams: the n-th started stream uses the n-th script, later ones have no faults.
class FakeEngines final : public engines::EngineClient {
 public:
  explicit FakeEngines(simulation::VirtualTime& time) : time_(time) {}

  std::unique_ptr<engines::Stream> startStream(const engines::EngineEndpoint& engine,
                                               engines::StreamRequest request,
                                               engines::StreamHandler& handler) override;
  bool marksPosition(const std::string& token) const override {
    return tokens_without_position.count(token) == 0;
  }
  void sendOrder(const engines::EngineEndpoint&, const engines::EngineOrder&,
                 engines::EngineCallback<engines::OrderReply>) override {}
  void fetchLoad(const engines::EngineEndpoint&,
                 engines::EngineCallback<engines::EngineLoad>) override {}
  void fetchCacheEvents(const engines::EngineEndpoint&, std::uint64_t,
                        engines::EngineCallback<engines::CacheEvents>) override {}

  std::vector<StreamScript> scripts;
  /// Tokens after which an answer cannot be resumed.
  std::set<std::string> tokens_without_position;
  std::uint32_t answer_tokens = 12;
  /// Rate limit announced by every answer.
  std::optional<common::RateLimitNotice> rate_limit;
  common::Duration token_time = std::chrono::milliseconds(20);
  /// Overrides `token_time` for single engines; may be changed while streams run.
  std::map<std::string, common::Duration> token_times;
  /// All started streams, with the name of the engine.
  std::vector<std::pair<std::string, engines::StreamRequest>> started;
  /// Identifiers of streams that an engine ran at least in part.
  std::set<std::string> ran;
  /// Number of streams that were started while another stream of their request was open.
  int overlapping = 0;
  /// Number of faults that occurred, by kind.
  std::map<StreamScript::Kind, int> faults;

 private:
  class FakeStream;
  simulation::VirtualTime& time_;
  std::set<FakeStream*> open_;
};

/// Chooses the first engine that is neither excluded nor leaving.
class FakeRouter final : public routing::Router {
 public:
  routing::RouteChoice choose(const routing::RouteRequest& request) override;
  void place(const routing::RouteRequest& request, const routing::PlacementCallback& done) override;
  void abandonPlacement(const std::string& stream_id) override { pending_.erase(stream_id); }
  bool takesWork(const engines::EngineEndpoint& engine) const override {
    return leaving.count(engine.name) == 0;
  }
  void attemptStarted(const routing::RouteRequest&, const routing::Route&) override { ++open; }
  void promptComputed(const std::string&) override {}
  void firstTokenReceived(const std::string&) override {}
  void outputReceived(const std::string& stream_id, const routing::OutputSample& sample) override {
    samples.emplace_back(stream_id, sample);
  }
  void answerCompleted(const std::string&) override {}
  void attemptFinished(const std::string&) override { --open; }
  void attemptFailed(const std::string&, const common::EngineName&,
                     engines::StreamFailure) override {
    --open;
  }

  std::vector<std::string> names{"engine-1", "engine-2", "engine-3", "engine-4"};
  std::string prefill_name;
  /// Engines that accept no new work; choose() skips them too.
  std::set<std::string> leaving;
  bool refuses = false;
  common::Duration retry_after = std::chrono::seconds(3);
  common::Duration expected_first_token = std::chrono::milliseconds(20);
  /// Expected time between two tokens, by engine; zero for all others.
  std::map<std::string, common::Duration> expected_gaps;
  /// If true, placements are only answered by answerPlacements().
  bool answers_late = false;
  void answerPlacements();
  std::vector<routing::RouteRequest> requests;
  /// All reported output, with the identifier of its stream.
  std::vector<std::pair<std::string, routing::OutputSample>> samples;
  int open = 0;

 private:
  std::map<std::string, std::function<void()>> pending_;
};

}  // namespace cypresswall::testing
