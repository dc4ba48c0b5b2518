#include "cypresswall/fleet_limits/engine_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cypresswall::fleet_limits {
namespace {

using NoticeKind = common::RateLimitNotice::Kind;

constexpr const char* kOwnAnswer = "answer";
constexpr const char* kPeer = "peer";
constexpr const char* kAskingNode = "asking node";
/// Maximum number of servers in one update message, which is then about 5 KB. Further servers
/// follow in the next messages.
constexpr std::size_t kServersPerMessage = 64;
/// If the number of members that this node sees grows by more than this factor at once, the node is
/// assumed to have just started or returned from a partition.
constexpr std::size_t kRejoinGrowthFactor = 2;
/// Maximum number of servers with a metric label of their own; the others share one label.
constexpr std::size_t kLabelledServers = 64;
constexpr const char* kOtherServers = "other";
/// A node that was refused a permit waits until the next permit is due, plus a random time of up to
/// this multiple of that wait, so that nodes do not retry at the same time.
constexpr double kRetrySpread = 1.0;
/// Each Retry-After time is extended by a random fraction of up to this value, so that callers do
/// not retry at the same time.
constexpr double kRetryJitter = 0.25;
/// Wait time in the answer of a node that is asked for a permit but is not the server's keeper.
/// This happens while the member lists of nodes differ.
constexpr common::Duration kNotKeeperWait = std::chrono::milliseconds(200);

std::uint32_t ceilMilliseconds(common::Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, common::Duration{0}))
          .count());
}

common::Counter& permits(common::CounterRegistry& registry, const char* outcome) {
  return registry.counter("cypresswall_rate_limits_permits_total",
                          "Requests for a permit to send to a server that names a limit", "outcome",
                          outcome);
}

}  // namespace

EngineRateLimits::EngineRateLimits(const RateLimitSettings& settings,
                                   const membership::NeighbourSettings& neighbours,
                                   const api::ProcessContext& context,
                                   membership::MembershipView& membership)
    : settings_(settings),
      context_(context),
      membership_(membership),
      peers_(neighbours, context, membership, api::MessageSet::kRateLimits),
      table_(settings.table),
      keepers_(settings.keepers, context, membership),
      accounts_(settings.accounts),
      named_(context.counters.counter("cypresswall_rate_limits_named_total",
                                      "Answers whose server named a limit on requests")),
      unreadable_(context.counters.counter("cypresswall_rate_limits_unreadable_total",
                                           "Answers that named a limit which is no number")),
      active_gauge_(context.counters.gauge("cypresswall_rate_limits_standing",
                                           "Servers that stand under a limit they named")),
      granted_(permits(context.counters, "granted")),
      refused_(permits(context.counters, "refused")),
      silent_(permits(context.counters, "silent")),
      not_keeper_(permits(context.counters, "not-keeper")) {
  membership.onChange([this] { membersChanged(); });
  context_.dispatcher.handle<RateLimitSyncRequest>(
      [this](const common::NodeId& sender, const RateLimitSyncRequest&) { onSyncRequest(sender); });
  context_.dispatcher.handle<RateLimitUpdate>(
      [this](const common::NodeId&, const RateLimitUpdate& update) { onUpdate(update); });
  context_.dispatcher.handle<PermitRequest>(
      [this](const common::NodeId& sender, const PermitRequest& request) {
        onPermitRequest(sender, request);
      });
  context_.dispatcher.handle<PermitAnswer>(
      [this](const common::NodeId&, const PermitAnswer& answer) { onPermitAnswer(answer); });
}

void EngineRateLimits::answered(const std::string& server, const common::RateLimitNotice& notice,
                                common::MonotonicTime sent_at) {
  if (notice.kind == NoticeKind::kUnreadable) {
    unreadable_.add();
    common::LogEvent(context_.log, common::LogLevel::kWarning, "rate_limit_unreadable")
        .field("server", server);
    return;
  }
  named_.add(notice.kind == NoticeKind::kNamed ? 1 : 0);
  if (table_.answered(server, notice, sent_at, context_.clock.now())) {
    changed(server, kOwnAnswer);
    context_.sendToAll(peers_.updateReceivers(),
                       RateLimitUpdate{{toMessage(server, table_.all().at(server))}});
  }
}

void EngineRateLimits::membersChanged() {
  const std::size_t count = membership_.members().size();
  const std::size_t before = std::exchange(member_count_, count);
  if (count > before * kRejoinGrowthFactor) {
    context_.sendToAll(peers_.antiEntropyReceivers(), RateLimitSyncRequest{});
  }
}

void EngineRateLimits::onSyncRequest(const common::NodeId& sender) {
  const std::size_t messages = (table_.all().size() + kServersPerMessage - 1) / kServersPerMessage;
  for (std::size_t sent = 0; sent < messages; ++sent) {
    context_.sendTo(sender, nextUpdate());
  }
}

void EngineRateLimits::onUpdate(const RateLimitUpdate& update) {
  RateLimitUpdate forwarded;
  for (const RateLimitRecord& record : update.limits) {
    if (merge(record, kPeer)) {
      forwarded.limits.push_back(record);
    }
  }
  if (!forwarded.limits.empty()) {
    context_.sendToAll(peers_.updateReceivers(), forwarded);
  }
}

bool EngineRateLimits::merge(const RateLimitRecord& record, const char* source) {
  const bool readable = !record.active || (std::isfinite(record.requests_per_second) &&
                                           record.requests_per_second >= 0);
  if (!readable) {
    unreadable_.add();
    return false;
  }
  const auto now = context_.clock.now();
  RateLimit limit;
  limit.version = record.version;
  if (record.active) {
    limit.requests_per_second = record.requests_per_second;
  }
  limit.named_at = now - std::chrono::milliseconds(record.age_milliseconds);
  if (!table_.merge(record.server, limit, now)) {
    return false;
  }
  changed(record.server, source);
  return true;
}

void EngineRateLimits::changed(const std::string& server, const char* source) {
  const RateLimit& limit = table_.all().at(server);
  active_gauge_.set(static_cast<double>(table_.activeCount()));
  limitGauge(server).set(limit.requests_per_second.value_or(0));
  if (!limit.active()) {
    accounts_.forget(server);
    refused_until_.erase(server);
  }
  common::LogEvent event(context_.log, common::LogLevel::kInfo,
                         limit.active() ? "rate_limit_named" : "rate_limit_ended");
  event.field("server", server).field("source", source).field("version", limit.version);
  if (limit.active()) {
    event.field("requests_per_second", *limit.requests_per_second)
        .field("keeper", keepers_.keeperOf(server).address);
  }
}

bool EngineRateLimits::limited(const std::string& server) const {
  return settings_.enforced && table_.activeLimit(server) != nullptr;
}

void EngineRateLimits::acquire(const std::string& server, PermitCallback done) {
  const RateLimit* const limit = table_.activeLimit(server);
  if (limit == nullptr || !settings_.enforced) {
    done(true);
    return;
  }
  const common::NodeId keeper = keepers_.keeperOf(server);
  if (keeper != context_.self) {
    requestPermit(keeper, server, *limit, std::move(done));
    return;
  }
  done(take(server).granted);
}

Permit EngineRateLimits::take(const std::string& server) {
  const RateLimit* const limit = table_.activeLimit(server);
  const Permit permit = limit == nullptr ? Permit{true, {}}
                                         : accounts_.take(server, *limit->requests_per_second,
                                                          keepers_.share(), context_.clock.now());
  (permit.granted ? granted_ : refused_).add();
  return permit;
}

void EngineRateLimits::requestPermit(const common::NodeId& keeper, const std::string& server,
                                     const RateLimit& limit, PermitCallback done) {
  const std::uint64_t request_id = next_request_id_++;
  PendingPermit pending{server, std::move(done), 0};
  pending.timer = context_.scheduler.schedule(settings_.permit_timeout,
                                              [this, request_id] { onPermitTimeout(request_id); });
  pending_permits_.emplace(request_id, std::move(pending));
  context_.sendTo(keeper, PermitRequest{request_id, toMessage(server, limit)});
}

void EngineRateLimits::onPermitRequest(const common::NodeId& sender, const PermitRequest& request) {
  if (merge(request.limit, kAskingNode)) {
    context_.sendToAll(peers_.updateReceivers(), RateLimitUpdate{{request.limit}});
  }
  const std::string& server = request.limit.server;
  Permit permit{false, kNotKeeperWait};
  if (keepers_.keeperOf(server) == context_.self) {
    permit = take(server);
  } else {
    not_keeper_.add();
  }
  context_.sendTo(sender,
                  PermitAnswer{request.request_id, permit.granted, ceilMilliseconds(permit.wait)});
}

void EngineRateLimits::onPermitAnswer(const PermitAnswer& answer) {
  auto pending = pending_permits_.extract(answer.request_id);
  if (pending.empty()) {
    return;
  }
  context_.scheduler.cancel(pending.mapped().timer);
  if (!answer.granted) {
    const double wait = static_cast<double>(answer.wait_milliseconds) *
                        (1.0 + kRetrySpread * context_.random.unit());
    setRefusedUntil(pending.mapped().server,
                    context_.clock.now() + std::chrono::milliseconds(std::llround(wait)));
  }
  pending.mapped().done(answer.granted);
}

void EngineRateLimits::onPermitTimeout(std::uint64_t request_id) {
  auto pending = pending_permits_.extract(request_id);
  silent_.add();
  const std::string& server = pending.mapped().server;
  common::LogEvent(context_.log, common::LogLevel::kWarning, "permit_not_answered")
      .field("server", server)
      .field("keeper", keepers_.keeperOf(server).address);
  setRefusedUntil(server, context_.clock.now() + settings_.unresponsive_keeper_pause);
  pending.mapped().done(false);
}

void EngineRateLimits::setRefusedUntil(const std::string& server, common::MonotonicTime time) {
  if (table_.activeLimit(server) != nullptr) {
    refused_until_[server] = time;
  }
}

bool EngineRateLimits::isExhausted(const std::string& server, const RateLimit& limit) {
  const auto now = context_.clock.now();
  if (keepers_.keeperOf(server) == context_.self) {
    return !accounts_.available(server, *limit.requests_per_second, keepers_.share(), now);
  }
  const auto refused = refused_until_.find(server);
  return refused != refused_until_.end() && now < refused->second;
}

std::vector<std::string> EngineRateLimits::exhausted() {
  std::vector<std::string> servers;
  if (!settings_.enforced) {
    return servers;
  }
  for (const auto& [server, limit] : table_.all()) {
    if (limit.active() && isExhausted(server, limit)) {
      servers.push_back(server);
    }
  }
  return servers;
}

common::Duration EngineRateLimits::retryAfter(const std::string& resource,
                                              const std::vector<std::string>& servers,
                                              std::size_t refusing_nodes) {
  double rate = 0;
  for (const std::string& server : servers) {
    const RateLimit* const limit = table_.activeLimit(server);
    rate += limit == nullptr ? 0 : *limit->requests_per_second;
  }
  rate = std::max(rate, settings_.accounts.minimum_rate);
  const auto now = context_.clock.now();
  auto& last_retry = last_retry_at_[resource];
  const auto interval = common::fromSeconds(static_cast<double>(refusing_nodes) / rate);
  last_retry = std::min(std::max(last_retry, now) + interval, now + settings_.maximum_retry_after);
  const double stretched =
      common::toSeconds(last_retry - now) * (1.0 + kRetryJitter * context_.random.unit());
  return std::clamp(common::fromSeconds(stretched), settings_.minimum_retry_after,
                    settings_.maximum_retry_after);
}

void EngineRateLimits::runAntiEntropy() {
  context_.scheduler.schedule(settings_.anti_entropy_interval, [this] { runAntiEntropy(); });
  expire();
  if (table_.all().empty()) {
    return;
  }
  context_.sendToAll(peers_.antiEntropyReceivers(), nextUpdate());
}

RateLimitUpdate EngineRateLimits::nextUpdate() {
  RateLimitUpdate update;
  const std::size_t count = std::min(table_.all().size(), kServersPerMessage);
  for (std::size_t i = 0; i < count; ++i) {
    const auto next = std::next(table_.all().begin(),
                                static_cast<std::ptrdiff_t>(next_server_++ % table_.all().size()));
    update.limits.push_back(toMessage(next->first, next->second));
  }
  return update;
}

void EngineRateLimits::expire() {
  for (const std::string& server : table_.expire(context_.clock.now())) {
    accounts_.forget(server);
    refused_until_.erase(server);
    limitGauge(server).set(0);
  }
  active_gauge_.set(static_cast<double>(table_.activeCount()));
}

RateLimitRecord EngineRateLimits::toMessage(const std::string& server,
                                            const RateLimit& limit) const {
  RateLimitRecord record;
  record.server = server;
  record.version = limit.version;
  record.active = limit.active();
  record.requests_per_second = limit.requests_per_second.value_or(0);
  record.age_milliseconds = ceilMilliseconds(context_.clock.now() - limit.named_at);
  return record;
}

common::Counter& EngineRateLimits::limitGauge(const std::string& server) {
  constexpr const char* kName = "cypresswall_rate_limits_requests_per_second";
  const auto entry = context_.counters.entries().find(kName);
  const bool labelled =
      entry != context_.counters.entries().end() && entry->second.by_label.contains(server);
  if (!labelled && labelled_servers_ < kLabelledServers) {
    ++labelled_servers_;
    return context_.counters.gauge(kName, "Limit that a server named, zero once it is over",
                                   "server", server);
  }
  return context_.counters.gauge(kName, "Limit that a server named, zero once it is over", "server",
                                 labelled ? server : kOtherServers);
}

std::vector<RateLimitRow> EngineRateLimits::rows() {
  std::vector<RateLimitRow> rows;
  const auto now = context_.clock.now();
  for (const auto& [server, limit] : table_.all()) {
    if (limit.active()) {
      rows.push_back({server, *limit.requests_per_second, now - limit.named_at,
                      keepers_.keeperOf(server), accounts_.counts(server)});
    }
  }
  return rows;
}

}  // namespace cypresswall::fleet_limits
