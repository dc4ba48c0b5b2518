#include "cypresswall/simulation/fleet/fault_schedule.h"

#include <array>
#include <iterator>

namespace cypresswall::simulation {
namespace {

constexpr common::Duration kSlowStoreDelay = std::chrono::milliseconds(2500);
constexpr std::uint64_t kRestoredRevisions = 3;
constexpr double kLostAnswerShare = 0.5;
constexpr double kLateOrderShare = 0.5;
constexpr std::uint32_t kBrokenAfterTokens = 5;

}  // namespace

const char* toString(FaultAction action) {
  static constexpr std::array<const char*, static_cast<std::size_t>(FaultAction::kCount)> kNames{
      "kill_node",           "stop_node",     "replace_node", "pause_node",
      "cut_off_node",        "cut_servers",   "cut_zones",    "cut_one_way",
      "cut_platform",        "store_down",    "store_slow",   "lose_store_answers",
      "store_watch_gap",     "restore_store", "crash_engine", "crash_engine_in_change",
      "lose_order_answers",  "late_orders",   "break_stream", "service_break_before",
      "service_break_after", "service_refuse"};
  return action < FaultAction::kCount ? kNames[static_cast<std::size_t>(action)] : "unknown";
}

std::ostream& operator<<(std::ostream& stream, const ScheduledFault& fault) {
  return stream << toString(fault.action) << "(at " << common::toSeconds(fault.at) << " s, for "
                << common::toSeconds(fault.duration) << " s, target " << fault.target << ", other "
                << fault.other << ")";
}

void FaultInjector::play(const std::vector<ScheduledFault>& schedule) {
  for (const ScheduledFault& fault : schedule) {
    fleet_.time().schedule(fault.at, [this, fault, round = schedule_number_] {
      if (round == schedule_number_) {
        begin(fault);
      }
    });
    fleet_.time().schedule(fault.at + fault.duration, [this, fault, round = schedule_number_] {
      if (round == schedule_number_) {
        end(fault);
      }
    });
  }
}

std::size_t FaultInjector::nodeOf(const ScheduledFault& fault) const {
  return fault.target % fleet_.nodeCount();
}

std::uint32_t FaultInjector::zoneOf(std::uint32_t number) const {
  return number % fleet_.settings().topology.zones;
}

common::Address FaultInjector::engineOf(const ScheduledFault& fault) const {
  const auto& engines = fleet_.engines().all();
  return std::next(engines.begin(), fault.target % engines.size())->first;
}

common::Address FaultInjector::serviceOf(const ScheduledFault& fault) const {
  const auto& services = fleet_.services().all();
  return std::next(services.begin(), fault.target % services.size())->first;
}

void FaultInjector::beginCut(const ScheduledFault& fault) {
  auto& network = fleet_.simulation().network();
  const auto zone = zoneOf(fault.target);
  const auto other = zoneOf(fault.other);
  switch (fault.action) {
    case FaultAction::kCutOffNode:
      fleet_.isolateNode(nodeOf(fault));
      break;
    case FaultAction::kCutServers:
      fleet_.cutNodeFromServers(nodeOf(fault));
      break;
    case FaultAction::kCutPlatform:
      network.cutZones(zoneName(zone), SimulatedPlatform::kZone);
      break;
    case FaultAction::kCutZones:
      if (zone != other) {
        network.cutZones(zoneName(zone), zoneName(other));
      }
      break;
    default:
      if (zone != other) {
        network.cutOneWay(zoneName(zone), zoneName(other));
      }
      break;
  }
}

void FaultInjector::setEngineFaults(const ScheduledFault& fault) {
  const auto address = engineOf(fault);
  emulation::EmulatedEngine& engine = *fleet_.engines().find(address);
  emulation::EngineFaults faults = engine.faults();
  if (fault.action == FaultAction::kBreakStream) {
    faults.break_stream_after_tokens = kBrokenAfterTokens;
  } else {
    faults.crash_in_next_change = true;
    armed_crashes_.insert(address);
  }
  engine.setFaults(faults);
}

void FaultInjector::setServiceFaults(const ScheduledFault& fault) {
  const auto address = serviceOf(fault);
  emulation::EmulatedService& service = *fleet_.services().find(address);
  emulation::ServiceFaults faults = service.faults();
  emulation::ServiceFaults& armed = armed_service_faults_[address];
  switch (fault.action) {
    case FaultAction::kServiceBreakBefore:
      ++faults.break_before_run;
      ++armed.break_before_run;
      break;
    case FaultAction::kServiceBreakAfter:
      ++faults.break_after_run;
      ++armed.break_after_run;
      break;
    default:
      ++faults.refuse_next;
      ++armed.refuse_next;
      break;
  }
  service.setFaults(faults);
}

void FaultInjector::countTriggered() {
  for (const auto& address : armed_crashes_) {
    const bool struck = !fleet_.engines().find(address)->faults().crash_in_next_change;
    fleet_.faults().add(FaultKind::kEngineCrashInChange, struck ? 1 : 0);
  }
  for (const auto& [address, armed] : armed_service_faults_) {
    const emulation::ServiceFaults& left = fleet_.services().find(address)->faults();
    fleet_.faults().add(FaultKind::kServiceBrokenBefore,
                        armed.break_before_run - left.break_before_run);
    fleet_.faults().add(FaultKind::kServiceBrokenAfter,
                        armed.break_after_run - left.break_after_run);
    fleet_.faults().add(FaultKind::kServiceRefused, armed.refuse_next - left.refuse_next);
  }
  for (const auto& [address, engine] : fleet_.engines().all()) {
    for (const auto& stream : engine->ledger().streams) {
      fleet_.faults().add(FaultKind::kStreamBroken,
                          stream.end == emulation::StreamEnd::kBroken ? 1 : 0);
    }
  }
  armed_crashes_.clear();
  armed_service_faults_.clear();
}

void FaultInjector::begin(const ScheduledFault& fault) {
  switch (fault.action) {
    case FaultAction::kKillNode:
    case FaultAction::kReplaceNode:
      fleet_.killNode(nodeOf(fault));
      break;
    case FaultAction::kStopNode:
      fleet_.stopNode(nodeOf(fault));
      break;
    case FaultAction::kPauseNode:
      fleet_.pauseNode(nodeOf(fault), fault.duration);
      break;
    case FaultAction::kCutOffNode:
    case FaultAction::kCutServers:
    case FaultAction::kCutZones:
    case FaultAction::kCutOneWay:
    case FaultAction::kCutPlatform:
      beginCut(fault);
      break;
    case FaultAction::kStoreDown:
      fleet_.platform().setDown(true);
      break;
    case FaultAction::kStoreSlow:
      fleet_.platform().setSlow(kSlowStoreDelay);
      break;
    case FaultAction::kLoseStoreAnswers:
      fleet_.platform().loseAnswers(1);
      break;
    case FaultAction::kStoreWatchGap:
      fleet_.platform().leaveWatchGap();
      break;
    case FaultAction::kRestoreStore:
      fleet_.platform().restore(kRestoredRevisions);
      break;
    case FaultAction::kCrashEngine:
      fleet_.engines().crash(
          std::next(fleet_.engines().all().begin(), fault.target % fleet_.engines().all().size())
              ->first);
      break;
    case FaultAction::kLoseOrderAnswers:
      fleet_.engines().faults.orders.answer_lost = kLostAnswerShare;
      break;
    case FaultAction::kLateOrders:
      fleet_.engines().faults.orders.late = kLateOrderShare;
      break;
    case FaultAction::kCrashEngineInChange:
    case FaultAction::kBreakStream:
      setEngineFaults(fault);
      break;
    case FaultAction::kServiceBreakBefore:
    case FaultAction::kServiceBreakAfter:
    case FaultAction::kServiceRefuse:
      setServiceFaults(fault);
      break;
    case FaultAction::kCount:
      break;
  }
}

void FaultInjector::end(const ScheduledFault& fault) {
  switch (fault.action) {
    case FaultAction::kKillNode:
    case FaultAction::kStopNode:
      fleet_.startNode(nodeOf(fault));
      break;
    case FaultAction::kReplaceNode:
      fleet_.replaceNode(nodeOf(fault));
      break;
    case FaultAction::kCutOffNode:
    case FaultAction::kCutServers:
    case FaultAction::kCutZones:
    case FaultAction::kCutOneWay:
    case FaultAction::kCutPlatform:
      fleet_.simulation().network().healAll();
      break;
    case FaultAction::kStoreDown:
      fleet_.platform().setDown(false);
      break;
    case FaultAction::kStoreSlow:
      fleet_.platform().setSlow(common::Duration{0});
      break;
    case FaultAction::kLoseOrderAnswers:
      fleet_.engines().faults.orders.answer_lost = 0;
      break;
    case FaultAction::kLateOrders:
      fleet_.engines().faults.orders.late = 0;
      break;
    default:
      break;
  }
}

void FaultInjector::endAll() {
  ++schedule_number_;
  countTriggered();
  fleet_.simulation().network().healAll();
  fleet_.platform().setDown(false);
  fleet_.platform().setSlow(common::Duration{0});
  fleet_.engines().faults = {};
  for (const auto& [address, engine] : fleet_.engines().all()) {
    engine->setFaults({});
  }
  for (const auto& [address, service] : fleet_.services().all()) {
    service->setFaults({});
  }
  for (std::size_t index = 0; index < fleet_.nodeCount(); ++index) {
    if (fleet_.running(index)) {
      fleet_.slot(index).process->resume();
    }
    fleet_.startNode(index);
  }
}

}  // namespace cypresswall::simulation
