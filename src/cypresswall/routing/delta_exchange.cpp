#include "cypresswall/routing/delta_exchange.h"

#include <algorithm>
#include <utility>

#include "cypresswall/common/at_scope_end.h"

namespace cypresswall::routing {
namespace {

/// Size of one message without its lists, in bytes: envelope, sender, receiver, digest, sequence.
constexpr double kEnvelopeBytes = 80;
/// Upper estimates of the size of one list entry, in bytes.
constexpr double kDeltaBytes = 16;
constexpr double kIdentityBytes = 80;
constexpr double kHintBytes = 14;
/// A publication that is not urgent is delayed until the budget covers this multiple of its fixed
/// part.
constexpr double kFixedCostMultiple = 2.0;
/// Unspent budget accumulates for up to this long.
constexpr double kBudgetWindowSeconds = 2.0;
/// Lower bound of the budget per peer: one small publication a second. With less, in a zone of many
/// nodes, peers would receive publications so rarely that they would consider all engines silent.
constexpr double kMinimumBytesPerPeerSecond = 120;
constexpr std::size_t kMaximumQueuedHints = 512;
/// If sequence numbers of more peers than this are stored, those of nodes that no longer receive
/// publications from this node are dropped.
constexpr std::size_t kMaximumRememberedPeers = 64;
constexpr auto kAgeUnit = std::chrono::milliseconds(10);
/// Minimum interval between two requests for an engine's identity. An answer takes about ten
/// milliseconds; without the interval, a peer whose answers never match (such as one of another
/// build) would be asked again at once after each answer.
constexpr auto kIdentityRetryInterval = std::chrono::seconds(1);
/// A first report of an engine is published after this time together with others, once the peers
/// have the changed list of engines as well: they drop what is said of another list.
constexpr auto kFirstReportDelay = std::chrono::milliseconds(50);
/// Significance of a change of state, role, reachability or identity.
constexpr double kUrgentSignificance = 1000.0;

}  // namespace

DeltaExchange::DeltaExchange(const DirectorySettings& settings, const api::ProcessContext& context,
                             const EngineGroups& groups, EngineTable& table, PrefixIndex& prefixes,
                             ReachabilityClaims& claims)
    : settings_(settings),
      context_(context),
      groups_(groups),
      table_(table),
      prefixes_(prefixes),
      claims_(claims),
      sent_bytes_(context.counters.counter("cypresswall_engine_deltas_sent_bytes_total",
                                           "Bytes of engine deltas sent, envelopes included")),
      sent_messages_(context.counters.counter("cypresswall_engine_deltas_sent_total",
                                              "Messages with engine deltas sent")),
      deferred_changes_(context.counters.counter("cypresswall_engine_deltas_deferred_total",
                                                 "Changes kept back by the byte budget")),
      dropped_hints_(context.counters.counter("cypresswall_cache_hints_dropped_total",
                                              "Cache changes not passed on to peers")),
      foreign_roster_(context.counters.counter("cypresswall_engine_deltas_foreign_roster_total",
                                               "Engine deltas dropped: other engine list")),
      late_messages_(context.counters.counter("cypresswall_engine_deltas_late_total",
                                              "Engine deltas dropped: late or doubled")),
      unmatched_identities_(
          context.counters.counter("cypresswall_engine_identities_unmatched_total",
                                   "Engine views not taken in: their identity isn't known here")),
      identity_requests_(context.counters.counter("cypresswall_engine_identity_requests_total",
                                                  "Requests for missing parts of engine views")) {
  context_.dispatcher.handle<EngineDeltas>(
      [this](const common::NodeId& sender, const EngineDeltas& message) {
        onDeltas(sender, message);
      });
  context_.dispatcher.handle<IdentityRequest>(
      [this](const common::NodeId& sender, const IdentityRequest& request) {
        onIdentityRequest(sender, request);
      });
}

void DeltaExchange::start(EnginePoller& poller) {
  poller_ = &poller;
  budget_filled_at_ = context_.clock.now();
  context_.scheduler.schedule(settings_.publish_period, [this] { tick(); });
}

void DeltaExchange::addCacheHint(EngineSlot slot, bool stored, common::PieceHash piece) {
  hints_.push_back(CacheHint{indexOf(slot), stored, piece});
  if (hints_.size() > kMaximumQueuedHints) {
    hints_.pop_front();
    dropped_hints_.add();
  }
}

std::uint16_t DeltaExchange::indexOf(EngineSlot slot) const {
  const auto& names = table_.names();
  const auto& name = table_.record(slot).declaration.name;
  return static_cast<std::uint16_t>(std::lower_bound(names.begin(), names.end(), name) -
                                    names.begin());
}

EngineSlot DeltaExchange::slotAt(std::uint16_t index) const {
  return index < table_.roster().size() ? table_.roster()[index] : kNoEngineSlot;
}

common::Duration DeltaExchange::ageOf(EngineSlot slot) const {
  return context_.clock.now() - table_.record(slot).observed_at;
}

std::vector<common::NodeId> DeltaExchange::receivers() const {
  if (groups_.everyNodeRoutes()) {
    return groups_.otherRoutingNodes(kNoEngineSlot);
  }
  std::set<common::NodeId> found;
  for (const EngineSlot slot : poller_->watched()) {
    const auto& nodes = groups_.otherRoutingNodes(slot);
    found.insert(nodes.begin(), nodes.end());
  }
  if (planning_node_ && !poller_->watched().empty()) {
    found.insert(planning_node_());
  }
  found.erase(context_.self);
  found.erase(common::NodeId{});
  return {found.begin(), found.end()};
}

void DeltaExchange::tick() {
  const common::AtScopeEnd again(
      [this] { context_.scheduler.schedule(settings_.publish_period, [this] { tick(); }); });
  publishDue();
}

void DeltaExchange::reported(EngineSlot slot) {
  const EngineRecord& record = table_.record(slot);
  const bool unpublished = record.reported && record.watched_here && !published_.contains(slot);
  if (unpublished && !std::exchange(first_reports_wait_, true)) {
    context_.scheduler.schedule(kFirstReportDelay, [this] {
      first_reports_wait_ = false;
      publishDue();
    });
  }
}

void DeltaExchange::publishDue() {
  const common::MonotonicTime now = context_.clock.now();
  const auto targets = receivers();
  const double rate = std::max<double>(settings_.publish_bytes_per_second,
                                       kMinimumBytesPerPeerSecond * targets.size());
  budget_bytes_ += rate * common::toSeconds(now - budget_filled_at_);
  budget_bytes_ = std::min(budget_bytes_, rate * kBudgetWindowSeconds);
  budget_filled_at_ = now;
  if (received_.size() > kMaximumRememberedPeers) {
    std::erase_if(received_, [&](const auto& item) {
      return std::find(targets.begin(), targets.end(), item.first) == targets.end();
    });
  }
  if (targets.empty()) {
    hints_.clear();
  } else {
    publish(targets);
  }
}

std::vector<DeltaExchange::PendingChange> DeltaExchange::collectChanges(EngineDeltas& message) {
  std::vector<PendingChange> changes;
  for (const EngineSlot slot : poller_->watched()) {
    const EngineRecord& record = table_.record(slot);
    if (!record.reported) {
      continue;
    }
    const EngineDelta delta = makeDelta(indexOf(slot), record.load, record.reachable, ageOf(slot));
    const auto last = published_.find(slot);
    double significance = kUrgentSignificance;
    if (last != published_.end()) {
      // The priority of a deferred change grows with time, so that every change is eventually
      // published.
      const double waited = common::toSeconds(context_.clock.now() - last->second.at);
      significance = changeSignificance(last->second.delta, delta, record.load) * (1.0 + waited);
    }
    if (significance > 0) {
      changes.push_back(PendingChange{significance, slot, delta});
    } else if (record.reachable) {
      message.confirmed.push_back(delta.index);
      message.confirmed_age_centiseconds =
          std::max(message.confirmed_age_centiseconds, delta.age_centiseconds);
    }
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const PendingChange& left, const PendingChange& right) {
                     return left.significance > right.significance;
                   });
  std::sort(message.confirmed.begin(), message.confirmed.end());
  message.confirmed = encodeDifferences(message.confirmed);
  return changes;
}

bool DeltaExchange::identityChanged(const PendingChange& change) const {
  const auto last = published_.find(change.slot);
  return last != published_.end() && last->second.delta.identity_tag != change.delta.identity_tag;
}

double DeltaExchange::estimatedBytes(const PendingChange& change) const {
  return kDeltaBytes + (identityChanged(change) ? kIdentityBytes : 0);
}

void DeltaExchange::addChanges(EngineDeltas& message, const std::vector<PendingChange>& changes,
                               double budget) {
  for (const PendingChange& change : changes) {
    const double cost = estimatedBytes(change);
    if (budget < cost) {
      deferred_changes_.add();
      if (table_.record(change.slot).reachable) {
        message.deferred.push_back(change.delta.index);
      }
      continue;
    }
    budget -= cost;
    if (identityChanged(change)) {
      message.identities.push_back(
          makeIdentity(change.delta.index, table_.record(change.slot).load));
    }
    message.changed.push_back(change.delta);
    published_[change.slot] = Published{change.delta, context_.clock.now()};
  }
  std::sort(message.deferred.begin(), message.deferred.end());
  message.deferred = encodeDifferences(message.deferred);
  addHints(message, budget);
}

void DeltaExchange::addHints(EngineDeltas& message, double budget) {
  while (!hints_.empty() && budget >= kHintBytes) {
    message.cache_hints.push_back(hints_.back());
    hints_.pop_back();
    budget -= kHintBytes;
  }
  std::reverse(message.cache_hints.begin(), message.cache_hints.end());
}

bool DeltaExchange::confirmationDue() const {
  const common::Duration interval = settings_.poll_period * settings_.steady_poll_factor;
  return context_.clock.now() - last_sent_at_ >= interval;
}

void DeltaExchange::publish(const std::vector<common::NodeId>& targets) {
  EngineDeltas message;
  message.roster_digest = table_.digest();
  auto changes = collectChanges(message);
  const bool only_confirms = changes.empty() && hints_.empty();
  if (only_confirms && (message.confirmed.empty() || !confirmationDue())) {
    return;
  }
  const double budget = budget_bytes_ / static_cast<double>(targets.size());
  const double fixed =
      kEnvelopeBytes + static_cast<double>(message.confirmed.size() + changes.size());
  const bool urgent = !changes.empty() && changes.front().significance >= kUrgentSignificance;
  // The budget of an urgent publication must also cover its first change; otherwise its fixed part
  // would use up the budget every time, and the change would never be sent.
  const double least =
      urgent ? fixed + estimatedBytes(changes.front()) : fixed * kFixedCostMultiple;
  if (budget < least) {
    return;
  }
  addChanges(message, changes, budget - fixed);
  message.sequence = ++sequence_;
  last_sent_at_ = context_.clock.now();
  context_.sendToAll(targets, message);
  const auto envelope = api::Envelope::make(context_.self, targets.front(), message);
  const std::size_t bytes = api::encodeEnvelope(envelope).size() * targets.size();
  budget_bytes_ -= static_cast<double>(bytes);
  sent_bytes_.add(bytes);
  sent_messages_.add(targets.size());
}

void DeltaExchange::onDeltas(const common::NodeId& sender, const EngineDeltas& message) {
  if (message.roster_digest != table_.digest()) {
    foreign_roster_.add();
    return;
  }
  std::uint64_t& last = received_[sender];
  const bool answer = message.sequence == 0;
  if (!answer && message.sequence <= last) {
    late_messages_.add();
    return;
  }
  std::set<std::uint16_t> unknown;
  if (!answer && message.sequence != last + 1) {
    const auto confirmed = decodeDifferences(message.confirmed);
    unknown.insert(confirmed.begin(), confirmed.end());
  }
  if (!answer) {
    last = message.sequence;
  }
  if (identities_digest_ != message.roster_digest) {
    identities_.clear();
    asked_.clear();
    identities_digest_ = message.roster_digest;
  }
  for (const EngineIdentity& identity : message.identities) {
    identities_[identity.index] = identity;
  }
  applyChanges(sender, message, unknown);
  applyConfirmations(message, unknown);
  applyDeferred(message);
  applyHints(message);
  if (!unknown.empty()) {
    identity_requests_.add();
    context_.sendTo(sender, IdentityRequest{table_.digest(), {unknown.begin(), unknown.end()}});
  }
}

bool DeltaExchange::mayRequestIdentity(std::uint16_t index) {
  const common::MonotonicTime now = context_.clock.now();
  const auto [asked, first] = asked_.try_emplace(index, now);
  if (!first && now - asked->second < kIdentityRetryInterval) {
    return false;
  }
  asked->second = now;
  return true;
}

void DeltaExchange::applyChanges(const common::NodeId& sender, const EngineDeltas& message,
                                 std::set<std::uint16_t>& unknown) {
  const common::MonotonicTime now = context_.clock.now();
  for (const EngineDelta& delta : message.changed) {
    const EngineSlot slot = slotAt(delta.index);
    const auto identity = identities_.find(delta.index);
    if (slot == kNoEngineSlot) {
      continue;
    }
    EngineObservation observation;
    observation.load = table_.record(slot).load;
    if (identity != identities_.end()) {
      applyIdentity(identity->second, observation.load);
    }
    if (identityTag(observation.load) != delta.identity_tag) {
      unmatched_identities_.add();
      if (mayRequestIdentity(delta.index)) {
        unknown.insert(delta.index);
      }
      continue;
    }
    unknown.erase(delta.index);
    observation.reachable = applyDelta(delta, observation.load);
    observation.observed_at = now - kAgeUnit * delta.age_centiseconds;
    applyObservation(sender, slot, observation);
  }
}

void DeltaExchange::applyObservation(const common::NodeId& sender, EngineSlot slot,
                                     EngineObservation observation) {
  if (!observation.reachable) {
    claims_.add(sender, slot);
    return;
  }
  claims_.remove(sender, slot);
  // A node that polls the engine itself goes by its own polls.
  const EngineRecord& record = table_.record(slot);
  observation.reachable = record.reachable || !record.watched_here;
  logReachability(sender, slot, observation.reachable);
  table_.observe(slot, observation, context_.clock.now());
}

void DeltaExchange::logReachability(const common::NodeId& sender, EngineSlot slot,
                                    bool reachable) const {
  const EngineRecord& record = table_.record(slot);
  if (record.reported && record.reachable != reachable) {
    common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_reachability_changed")
        .field("engine", record.declaration.name)
        .field("reachable", reachable)
        .field("source", sender.address);
  }
}

void DeltaExchange::applyConfirmations(const EngineDeltas& message,
                                       std::set<std::uint16_t>& unknown) {
  const common::MonotonicTime now = context_.clock.now();
  const common::MonotonicTime observed_at = now - kAgeUnit * message.confirmed_age_centiseconds;
  for (const std::uint16_t index : decodeDifferences(message.confirmed)) {
    const EngineSlot slot = slotAt(index);
    if (slot == kNoEngineSlot) {
      continue;
    }
    if (!table_.record(slot).reported) {
      unknown.insert(index);
    }
    if (unknown.count(index) == 0) {
      table_.confirm(slot, observed_at, now);
    }
  }
}

void DeltaExchange::applyDeferred(const EngineDeltas& message) {
  const common::MonotonicTime now = context_.clock.now();
  for (const std::uint16_t index : decodeDifferences(message.deferred)) {
    const EngineSlot slot = slotAt(index);
    if (slot != kNoEngineSlot) {
      table_.noteContact(slot, now, now);
    }
  }
}

void DeltaExchange::applyHints(const EngineDeltas& message) {
  for (const CacheHint& hint : message.cache_hints) {
    const EngineSlot slot = slotAt(hint.index);
    if (slot == kNoEngineSlot) {
      continue;
    }
    if (hint.stored) {
      prefixes_.stored(slot, hint.piece, 0, context_.clock.now());
    } else {
      prefixes_.evictionReported(slot, hint.piece, context_.clock.now());
    }
  }
}

void DeltaExchange::onIdentityRequest(const common::NodeId& sender,
                                      const IdentityRequest& request) {
  if (request.roster_digest != table_.digest()) {
    foreign_roster_.add();
    return;
  }
  EngineDeltas answer;
  answer.roster_digest = table_.digest();
  for (const std::uint16_t index : request.indexes) {
    const EngineSlot slot = slotAt(index);
    if (slot == kNoEngineSlot || !table_.record(slot).reported) {
      continue;
    }
    const EngineRecord& record = table_.record(slot);
    answer.identities.push_back(makeIdentity(index, record.load));
    answer.changed.push_back(makeDelta(index, record.load, record.reachable, ageOf(slot)));
  }
  const api::Envelope envelope = api::Envelope::make(context_.self, sender, answer);
  sent_bytes_.add(api::encodeEnvelope(envelope).size());
  sent_messages_.add();
  context_.transport.send(envelope);
}

}  // namespace cypresswall::routing
