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
/// Servers in one repetition, some 5 KB; more go out in turns.
constexpr std::size_t kRepeatedServers = 64;
/// A node that sees more than so many times the members of before has just started or come back.
constexpr std::size_t kGrowthOfAReturn = 2;
/// Servers that have a metric of their own; the others share one.
constexpr std::size_t kLabelledServers = 64;
constexpr const char* kOtherServers = "other";
/// Nodes that were refused ask again within up to so many times the time until the next permit, not
/// all together.
constexpr double kAskAgainSpread = 1.0;
/// Retry-After is stretched by up to this share at random, so that callers don't return together.
constexpr double kRetryJitter = 0.25;
/// Told by a node that does not keep the account, while lists of members differ.
constexpr common::Duration kNotKeeperWait = std::chrono::milliseconds(200);

std::uint32_t wholeMilliseconds(common::Duration duration) {
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
      standing_gauge_(context.counters.gauge("cypresswall_rate_limits_standing",
                                             "Servers that stand under a limit they named")),
      granted_(permits(context.counters, "granted")),
      refused_(permits(context.counters, "refused")),
      silent_(permits(context.counters, "silent")),
      not_keeper_(permits(context.counters, "not-keeper")) {
  membership.onChange([this] { membersChanged(); });
  context_.dispatcher.handle<RateLimitQuestion>(
      [this](const common::NodeId& sender, const RateLimitQuestion&) { onQuestion(sender); });
  context_.dispatcher.handle<RateLimitNews>(
      [this](const common::NodeId&, const RateLimitNews& news) { onNews(news); });
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
                       RateLimitNews{{toMessage(server, table_.all().at(server))}});
  }
}

void EngineRateLimits::membersChanged() {
  const std::size_t count = membership_.members().size();
  const std::size_t before = std::exchange(member_count_, count);
  if (count > before * kGrowthOfAReturn) {
    context_.sendToAll(peers_.antiEntropyReceivers(), RateLimitQuestion{});
  }
}

void EngineRateLimits::onQuestion(const common::NodeId& sender) {
  const std::size_t turns = (table_.all().size() + kRepeatedServers - 1) / kRepeatedServers;
  for (std::size_t turn = 0; turn < turns; ++turn) {
    context_.sendTo(sender, nextNews());
  }
}

void EngineRateLimits::onNews(const RateLimitNews& news) {
  RateLimitNews passed_on;
  for (const ToldRateLimit& told : news.limits) {
    if (merge(told, kPeer)) {
      passed_on.limits.push_back(told);
    }
  }
  if (!passed_on.limits.empty()) {
    context_.sendToAll(peers_.updateReceivers(), passed_on);
  }
}

bool EngineRateLimits::merge(const ToldRateLimit& told, const char* source) {
  const bool readable =
      !told.stands || (std::isfinite(told.requests_per_second) && told.requests_per_second >= 0);
  if (!readable) {
    unreadable_.add();
    return false;
  }
  const auto now = context_.clock.now();
  RateLimit limit;
  limit.version = told.version;
  if (told.stands) {
    limit.requests_per_second = told.requests_per_second;
  }
  limit.named_at = now - std::chrono::milliseconds(told.age_milliseconds);
  if (!table_.merge(told.server, limit, now)) {
    return false;
  }
  changed(told.server, source);
  return true;
}

void EngineRateLimits::changed(const std::string& server, const char* source) {
  const RateLimit& limit = table_.all().at(server);
  standing_gauge_.set(static_cast<double>(table_.standingCount()));
  limitGauge(server).set(limit.requests_per_second.value_or(0));
  if (!limit.stands()) {
    accounts_.forget(server);
    refused_until_.erase(server);
  }
  common::LogEvent event(context_.log, common::LogLevel::kInfo,
                         limit.stands() ? "rate_limit_named" : "rate_limit_ended");
  event.field("server", server).field("source", source).field("version", limit.version);
  if (limit.stands()) {
    event.field("requests_per_second", *limit.requests_per_second)
        .field("keeper", keepers_.keeperOf(server).address);
  }
}

bool EngineRateLimits::limited(const std::string& server) const {
  return settings_.enforced && table_.standing(server) != nullptr;
}

void EngineRateLimits::acquire(const std::string& server, PermitCallback done) {
  const RateLimit* const limit = table_.standing(server);
  if (limit == nullptr || !settings_.enforced) {
    done(true);
    return;
  }
  const common::NodeId keeper = keepers_.keeperOf(server);
  if (keeper != context_.self) {
    ask(keeper, server, *limit, std::move(done));
    return;
  }
  done(take(server).granted);
}

Permit EngineRateLimits::take(const std::string& server) {
  const RateLimit* const limit = table_.standing(server);
  const Permit permit = limit == nullptr ? Permit{true, {}}
                                         : accounts_.take(server, *limit->requests_per_second,
                                                          keepers_.share(), context_.clock.now());
  (permit.granted ? granted_ : refused_).add();
  return permit;
}

void EngineRateLimits::ask(const common::NodeId& keeper, const std::string& server,
                           const RateLimit& limit, PermitCallback done) {
  const std::uint64_t number = next_number_++;
  Asked asked{server, std::move(done), 0};
  asked.timer =
      context_.scheduler.schedule(settings_.answer_limit, [this, number] { onSilence(number); });
  asked_.emplace(number, std::move(asked));
  context_.sendTo(keeper, PermitRequest{number, toMessage(server, limit)});
}

void EngineRateLimits::onPermitRequest(const common::NodeId& sender, const PermitRequest& request) {
  if (merge(request.limit, kAskingNode)) {
    context_.sendToAll(peers_.updateReceivers(), RateLimitNews{{request.limit}});
  }
  const std::string& server = request.limit.server;
  Permit permit{false, kNotKeeperWait};
  if (keepers_.keeperOf(server) == context_.self) {
    permit = take(server);
  } else {
    not_keeper_.add();
  }
  context_.sendTo(sender,
                  PermitAnswer{request.number, permit.granted, wholeMilliseconds(permit.wait)});
}

void EngineRateLimits::onPermitAnswer(const PermitAnswer& answer) {
  auto asked = asked_.extract(answer.number);
  if (asked.empty()) {
    return;
  }
  context_.scheduler.cancel(asked.mapped().timer);
  if (!answer.granted) {
    const double wait = static_cast<double>(answer.wait_milliseconds) *
                        (1.0 + kAskAgainSpread * context_.random.unit());
    refusedUntil(asked.mapped().server,
                 context_.clock.now() + std::chrono::milliseconds(std::llround(wait)));
  }
  asked.mapped().done(answer.granted);
}

void EngineRateLimits::onSilence(std::uint64_t number) {
  auto asked = asked_.extract(number);
  silent_.add();
  const std::string& server = asked.mapped().server;
  common::LogEvent(context_.log, common::LogLevel::kWarning, "permit_not_answered")
      .field("server", server)
      .field("keeper", keepers_.keeperOf(server).address);
  refusedUntil(server, context_.clock.now() + settings_.silence_pause);
  asked.mapped().done(false);
}

void EngineRateLimits::refusedUntil(const std::string& server, common::MonotonicTime time) {
  if (table_.standing(server) != nullptr) {
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
    if (limit.stands() && isExhausted(server, limit)) {
      servers.push_back(server);
    }
  }
  return servers;
}

common::Duration EngineRateLimits::retryAfter(const std::string& demand,
                                              const std::vector<std::string>& servers,
                                              std::size_t refusing_nodes) {
  double rate = 0;
  for (const std::string& server : servers) {
    const RateLimit* const limit = table_.standing(server);
    rate += limit == nullptr ? 0 : *limit->requests_per_second;
  }
  rate = std::max(rate, settings_.accounts.least_rate);
  const auto now = context_.clock.now();
  auto& promised = promised_until_[demand];
  const auto turn = common::fromSeconds(static_cast<double>(refusing_nodes) / rate);
  promised = std::min(std::max(promised, now) + turn, now + settings_.maximum_retry_after);
  const double stretched =
      common::toSeconds(promised - now) * (1.0 + kRetryJitter * context_.random.unit());
  return std::clamp(common::fromSeconds(stretched), settings_.minimum_retry_after,
                    settings_.maximum_retry_after);
}

void EngineRateLimits::repeat() {
  context_.scheduler.schedule(settings_.repeat_interval, [this] { repeat(); });
  expire();
  if (table_.all().empty()) {
    return;
  }
  context_.sendToAll(peers_.antiEntropyReceivers(), nextNews());
}

RateLimitNews EngineRateLimits::nextNews() {
  RateLimitNews news;
  const std::size_t count = std::min(table_.all().size(), kRepeatedServers);
  for (std::size_t i = 0; i < count; ++i) {
    const auto next = std::next(table_.all().begin(),
                                static_cast<std::ptrdiff_t>(repeated_++ % table_.all().size()));
    news.limits.push_back(toMessage(next->first, next->second));
  }
  return news;
}

void EngineRateLimits::expire() {
  for (const std::string& server : table_.expire(context_.clock.now())) {
    accounts_.forget(server);
    refused_until_.erase(server);
    limitGauge(server).set(0);
  }
  standing_gauge_.set(static_cast<double>(table_.standingCount()));
}

ToldRateLimit EngineRateLimits::toMessage(const std::string& server, const RateLimit& limit) const {
  ToldRateLimit told;
  told.server = server;
  told.version = limit.version;
  told.stands = limit.stands();
  told.requests_per_second = limit.requests_per_second.value_or(0);
  told.age_milliseconds = wholeMilliseconds(context_.clock.now() - limit.named_at);
  return told;
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
    if (limit.stands()) {
      rows.push_back({server, *limit.requests_per_second, now - limit.named_at,
                      keepers_.keeperOf(server), accounts_.counts(server)});
    }
  }
  return rows;
}

}  // namespace cypresswall::fleet_limits
