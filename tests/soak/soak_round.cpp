#include "tests/soak/soak_round.h"

#include <cppunit/Exception.h>
#include <algorithm>
#include <csignal>
#include <thread>

#include "cypresswall/common/prompt.h"
#include "tests/process/kept_connections.h"
#include "tests/process/order_check.h"

namespace cypresswall::testing {
namespace {

constexpr std::size_t kThreads = 6;
constexpr int kStopSeconds = 30;
constexpr std::chrono::milliseconds kSlow{300};
/// Time without requests that a paused engine asks for.
constexpr std::chrono::milliseconds kPause{1500};
/// Makes an answer of the workload take some 6 s.
constexpr int kSlowdown = 20;
/// Added to the time of that fault, since a stream is moved only after about 2 s.
constexpr std::chrono::milliseconds kSlowSpell{2500};
/// Parts of a crashing prompt that others may share; its crashing part is one of them.
constexpr std::size_t kSharedParts = 3;
/// All nodes must refuse a crashing part within this time, in which it crashes engines five times.
constexpr std::chrono::milliseconds kUntilRefused{8000};
constexpr std::chrono::milliseconds kBetweenCrashingPrompts{200};
constexpr int kRefused = 503;
/// The platform's bounds `recover_s` and `contact_ms`.
constexpr std::chrono::milliseconds kRecovery{12000};
constexpr std::chrono::milliseconds kContact{3000};
/// From the start of the nodes after a loss of power until the store comes back, at least.
constexpr std::chrono::milliseconds kStoreLater{1500};
/// Callers that keep a connection to each node.
constexpr std::size_t kKeptConnections = 3;
/// Above the number of faults in a round, each of which has a change of its own.
constexpr std::size_t kChangesBesideFaults = 1000;
constexpr std::uint64_t kStreamsAfterFaults = 20;
constexpr std::uint64_t kBookingsAfterFaults = 5;

void sleepFor(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

ProxyFaults proxyFaultsOf(FaultKind kind) {
  ProxyFaults faults;
  switch (kind) {
    case FaultKind::kStoreSilent:
    case FaultKind::kEngineSilent:
      faults.drop_requests = true;
      faults.drop_answers = true;
      break;
    case FaultKind::kStoreAnswersCut:
    case FaultKind::kEngineAnswersCut:
      faults.drop_answers = true;
      break;
    default:
      faults.delay = kSlow;
  }
  return faults;
}

/// Leaves enough sound responses for the load to go on.
constexpr double kDamagedShare = 0.4;

emulation::ResponseDamage damageOf(FaultKind kind) {
  using emulation::DamageKind;
  const std::vector<DamageKind> stops = {DamageKind::kStopInStatusLine, DamageKind::kStopInHead,
                                         DamageKind::kStopInLength, DamageKind::kStopInBody};
  switch (kind) {
    case FaultKind::kResponsesStop:
      return {stops, kDamagedShare, false};
    case FaultKind::kResponsesReset: {
      auto kinds = stops;
      kinds.push_back(DamageKind::kWithoutLength);
      return {kinds, kDamagedShare, true};
    }
    case FaultKind::kResponsesTwoLengths:
      return {{DamageKind::kDifferentLengths}, kDamagedShare, false};
    case FaultKind::kResponsesWithoutLength:
      return {{DamageKind::kWithoutLength}, kDamagedShare, false};
    case FaultKind::kResponsesTwice:
      return {{DamageKind::kSentTwice}, kDamagedShare, false};
    case FaultKind::kResponsesEndless:
      return {{DamageKind::kEndlessHead, DamageKind::kEndlessBody}, kDamagedShare, false};
    default:
      return {};
  }
}

}  // namespace

std::string SoakRound::throughProxy(const std::string& target) {
  std::string address = proxyAddressFor(target);
  proxies_.push_back(std::make_unique<TcpProxy>(address, target));
  return address;
}

TcpProxy& SoakRound::proxyOf(const PlannedFault& fault) {
  if (damagesResponses(fault.kind)) {
    return *proxies_.at(fault.target);
  }
  const bool engine = fault.kind >= FaultKind::kEngineCrashed;
  return *proxies_.at(engine ? 1 + fault.target : 0);
}

void SoakRound::injectFault(const PlannedFault& fault) {
  ++result_.faults[static_cast<std::size_t>(fault.kind)];
  switch (fault.kind) {
    case FaultKind::kNodeKilled:
      fleet_->daemon(fault.target).kill();
      break;
    case FaultKind::kNodePaused:
      fleet_->daemon(fault.target).signal(SIGSTOP);
      break;
    case FaultKind::kNodeStopped:
      fleet_->daemon(fault.target).signal(SIGTERM);
      break;
    case FaultKind::kStoreDown:
      fleet_->platformFault({{"down", true}});
      break;
    case FaultKind::kStoreAnswerLost:
      fleet_->platformFault({{"lose_next_answers", 1}});
      break;
    case FaultKind::kEngineCrashed:
      fleet_->engineFault(fault.target, {{"crash", true}});
      break;
    case FaultKind::kEngineStreamBroken:
      fleet_->engineFault(fault.target, {{"break_stream_after_tokens", 3}});
      break;
    case FaultKind::kEngineLeaving:
      fleet_->engineFault(fault.target, {{"leaving", true}});
      break;
    case FaultKind::kEnginePaused:
      fleet_->engineFault(fault.target, {{"refuse", true}, {"pause_ms", kPause.count()}});
      break;
    case FaultKind::kEngineSlowsDown:
      fleet_->engineFault(fault.target, {{"decode_slowdown", kSlowdown}});
      sleepFor(kSlowSpell);
      break;
    case FaultKind::kAllNodesKilled:
      fleet_->killAll();
      break;
    case FaultKind::kPowerLost:
      fleet_->losePower();
      break;
    case FaultKind::kNodesReplaced:
      replaceNodes(fault.target % kNodes, fault.duration / 2);
      break;
    case FaultKind::kServiceReplaced:
      fleet_->serviceFault({{"machine", "another"}});
      break;
    case FaultKind::kPartCrashes:
      sendCrashingPrompts(fault.target % kSharedParts);
      break;
    case FaultKind::kStoreReset:
    case FaultKind::kEngineReset:
      proxyOf(fault).resetConnections();
      break;
    case FaultKind::kResponsesStop:
    case FaultKind::kResponsesReset:
    case FaultKind::kResponsesTwoLengths:
    case FaultKind::kResponsesWithoutLength:
    case FaultKind::kResponsesTwice:
    case FaultKind::kResponsesEndless:
      proxyOf(fault).damageResponses(damageOf(fault.kind), fault.damage_seed);
      break;
    default:
      proxyOf(fault).setFaults(proxyFaultsOf(fault.kind));
  }
}

void SoakRound::clearFault(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kNodeKilled:
      fleet_->restart(fault.target);
      break;
    case FaultKind::kNodePaused:
      fleet_->daemon(fault.target).signal(SIGCONT);
      break;
    case FaultKind::kNodeStopped:
      stopAndRestart(fault.target);
      break;
    case FaultKind::kPowerLost:
      returnAfterPowerLoss(fault.duration);
      break;
    case FaultKind::kStoreDown:
      fleet_->platformFault({{"down", false}});
      break;
    case FaultKind::kEngineLeaving:
      fleet_->engineFault(fault.target, {{"leaving", false}, {"crash", true}});
      break;
    case FaultKind::kEnginePaused:
      fleet_->engineFault(fault.target, {{"refuse", false}, {"pause_ms", nullptr}});
      break;
    case FaultKind::kEngineSlowsDown:
      fleet_->engineFault(fault.target, {{"decode_slowdown", 1}});
      break;
    case FaultKind::kAllNodesKilled:
      fleet_->startAll();
      break;
    case FaultKind::kServiceReplaced:
      fleet_->serviceFault({{"machine", ""}});
      break;
    case FaultKind::kStoreAnswerLost:
    case FaultKind::kEngineCrashed:
    case FaultKind::kEngineStreamBroken:
    case FaultKind::kPartCrashes:
    case FaultKind::kNodesReplaced:
    case FaultKind::kStoreReset:
    case FaultKind::kEngineReset:
      break;
    case FaultKind::kResponsesStop:
    case FaultKind::kResponsesReset:
    case FaultKind::kResponsesTwoLengths:
    case FaultKind::kResponsesWithoutLength:
    case FaultKind::kResponsesTwice:
    case FaultKind::kResponsesEndless:
      proxyOf(fault).damageResponses({}, 0);
      break;
    default:
      proxyOf(fault).setFaults({});
  }
}

void SoakRound::sendCrashingPrompts(std::size_t position) {
  const std::string name = "sealed container " + std::to_string(crashing_prompts_++) + " ";
  std::string shared;
  while (shared.size() < kSharedParts * common::kTokensPerCachePiece * common::kBytesPerToken) {
    shared += name;
  }
  const auto shape =
      common::shapeOfPrompt(shared + "tail", std::string(kModel) + "/" + kModelVersion + "/");
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    fleet_->engineFault(engine, {{"crash_on_pieces", {shape.pieces.at(position)}}});
  }
  const auto send = [&](std::size_t number) {
    const nlohmann::json request = {{"model", kModelService},
                                    {"prompt", shared + std::to_string(number)},
                                    {"max_tokens", 4},
                                    {"stream", true}};
    return httpCall("POST", fleet_->gateway(number % kNodes), "/v1/completions", request.dump());
  };
  const auto end = std::chrono::steady_clock::now() + kUntilRefused;
  std::size_t number = 0;
  while (std::chrono::steady_clock::now() < end) {
    send(number++);
    sleepFor(kBetweenCrashingPrompts);
  }
  for (std::size_t node = 0; node < kNodes; ++node) {
    const HttpAnswer answer = send(number++);
    if (answer.status != 0 && answer.status != kRefused) {
      result_.violations.push_back("a node still sends a part that crashes engines: status " +
                                   std::to_string(answer.status) + ", " + answer.body);
    }
  }
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    fleet_->engineFault(engine, {{"crash_on_pieces", nlohmann::json::array()}});
  }
}

void SoakRound::stopAndRestart(std::size_t node) {
  if (fleet_->daemon(node).waitForExit(kStopSeconds) != 0) {
    result_.violations.push_back("a stopped node did not end by itself with exit code 0");
    fleet_->daemon(node).kill();
  }
  fleet_->restart(node);
}

void SoakRound::returnAfterPowerLoss(std::chrono::milliseconds store_away) {
  fleet_->startAll();
  sleepFor(kStoreLater + store_away);
  fleet_->platformFault({{"down", false}});
  const auto returned = std::chrono::steady_clock::now();
  std::size_t serving = 0;
  while (serving < kNodes && std::chrono::steady_clock::now() - returned < kRecovery) {
    serving += fleet_->ready(serving) && fleet_->serves(serving) ? 1 : 0;
    sleepFor(std::chrono::milliseconds(20));
  }
  if (serving < kNodes) {
    result_.violations.push_back("node " + std::to_string(serving) + " doesn't serve " +
                                 std::to_string(kRecovery.count()) +
                                 "ms after the store came back from a loss of power");
  }
}

void SoakRound::replaceNodes(std::size_t first, std::chrono::milliseconds apart) {
  sleepFor(kContact);
  std::vector<std::string> gateways;
  for (std::size_t node = 0; node < kNodes; ++node) {
    gateways.push_back(fleet_->gateway(node));
  }
  KeptConnections callers(gateways, kKeptConnections,
                          std::string("/services/") + kHttpService + "/slots/kept");
  const std::size_t second = (first + 1) % kNodes;
  fleet_->daemon(second).signal(SIGHUP);
  fleet_->daemon(first).signal(SIGTERM);
  sleepFor(apart);
  submitChange(kChangesBesideFaults + replacements_++);
  fleet_->daemon(second).signal(SIGTERM);
  stopAndRestart(first);
  fleet_->daemon(first).signal(SIGHUP);
  stopAndRestart(second);
  const KeptConnectionsReport report = callers.finish();
  for (const std::string& lost : report.lost) {
    result_.violations.push_back(lost);
  }
}

void SoakRound::submitChange(std::size_t number) {
  const std::string tenant = "tenant-" + std::to_string(number);
  const auto answer = fleet_->command(
      number % kNodes, "declare tenant " + tenant + " key key-of-" + tenant + " requests 10");
  if (answer.is_object() && answer.value("status", "") == "accepted") {
    ++result_.changes_accepted;
    accepted_.push_back(tenant);
  }
}

void SoakRound::checkAcceptedChanges() {
  for (const std::string& tenant : accepted_) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      waitUntil("node " + std::to_string(node) + " shows the accepted " + tenant, [&] {
        return fleet_->command(node, "show tenants").dump().find(tenant) != std::string::npos;
      });
      ++result_.changes_checked;
    }
  }
}

SoakResult SoakRound::run() {
  try {
    fleet_ = std::make_unique<TestFleet>(
        kNodes, kEngines, [this](const std::string& target) { return throughProxy(target); },
        std::vector<std::string>{"b1", "b2"}, kBackEnds);
    Workload load(*fleet_, kThreads);
    load.waitForMore(kStreamsAfterFaults, kBookingsAfterFaults);
    const PlannedFault* open = nullptr;
    for (std::size_t i = 0; i < plan_.size(); ++i) {
      const PlannedFault& fault = plan_[i];
      injectFault(fault);
      sleepFor(fault.duration);
      submitChange(i);
      if (fault.overlaps_next) {
        open = &fault;
        continue;
      }
      clearFault(fault);
      if (open != nullptr) {
        clearFault(*std::exchange(open, nullptr));
      }
      // Not before both faults are cleared: nodes that all start at once need the store.
      fleet_->waitUntilAllAreReady();
      sleepFor(fault.pause_after);
    }
    // Once all nodes have ended, the outcome of a request with a key is unknown for eleven minutes.
    const bool keys_lost = std::any_of(plan_.begin(), plan_.end(), [](const PlannedFault& fault) {
      return fault.kind == FaultKind::kAllNodesKilled || fault.kind == FaultKind::kPowerLost;
    });
    load.waitForMore(kStreamsAfterFaults, keys_lost ? 0 : kBookingsAfterFaults);
    checkAcceptedChanges();
    result_.load = load.finish();
    for (const std::string& violation : result_.load.violations) {
      result_.violations.push_back(violation);
    }
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      checkOrders(fleet_->engineLedger(engine));
    }
  } catch (const CppUnit::Exception& failure) {
    result_.violations.emplace_back(failure.what());
  }
  fleet_.reset();
  for (const auto& proxy : proxies_) {
    result_.damaged_responses += proxy->damagedResponses();
  }
  proxies_.clear();
  return result_;
}

}  // namespace cypresswall::testing
