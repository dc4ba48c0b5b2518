#include "cypresswall/configuration/zone_approval.h"

#include <algorithm>

#include "cypresswall/common/bounded_json.h"
#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/change_encoding.h"

namespace cypresswall::configuration {
namespace {

nlohmann::json parsedOrNull(const std::string& text) {
  try {
    return common::parseBoundedJson(text).value;
  } catch (const common::JsonError&) {
    return {};
  }
}

/// \return the text `name` in `object`; empty if it is missing or no text
std::string textIn(const nlohmann::json& object, const char* name) {
  const auto& member = common::memberOrNull(object, name);
  return member.is_string() ? member.get<std::string>() : std::string();
}

}  // namespace

ZoneApproval::ZoneApproval(const ConfigurationSettings& settings,
                           const api::ProcessContext& context, ReplicaState& state,
                           PeerExchange& exchange, membership::MembershipView& membership,
                           membership::ZoneGossip& gossip)
    : settings_(settings),
      context_(context),
      state_(state),
      exchange_(exchange),
      membership_(membership),
      gossip_(gossip),
      unanswered_(context.counters.counter("cypresswall_configuration_zone_unanswered_total",
                                           "Zones that did not say in time if they can take a "
                                           "change")),
      unreadable_(context.counters.counter("cypresswall_configuration_unreadable_total",
                                           "Received changes and snapshots that can't be decoded",
                                           "source", "approval")) {
  context_.dispatcher.handle<ApprovalRequest>(
      [this](const common::NodeId& sender, const ApprovalRequest& request) {
        answer(sender, request);
      });
  context_.dispatcher.handle<ApprovalReply>(
      [this](const common::NodeId&, const ApprovalReply& reply) { receiveReply(reply); });
}

void ZoneApproval::ask(const LoggedChange& entry, const FleetConfiguration& result,
                       bool late_delivery, Callback callback) {
  const std::uint64_t number = next_query_++;
  Query& query = queries_[number];
  query.change = encodeChange(entry);
  query.late_delivery = late_delivery;
  query.callback = std::move(callback);
  query.deadline = context_.clock.now() + settings_.approval_timeout;
  for (const auto& [zone, addresses] : gossip_.zoneContacts()) {
    if (result.zones.count(zone) > 0) {
      query.waiting.push_back(zone);
    }
  }
  if (const auto reason = ownZoneRefusal(entry.change)) {
    query.refusals.push_back({context_.zone, ApprovalVerdict::kRefused, *reason});
    query.waiting.clear();
  }
  context_.scheduler.schedule(common::Duration::zero(), [this, number] { sendRound(number); });
}

void ZoneApproval::sendRound(std::uint64_t number) {
  const auto found = queries_.find(number);
  if (found == queries_.end()) {
    return;
  }
  Query& query = found->second;
  if (query.waiting.empty() || context_.clock.now() >= query.deadline) {
    finish(number);
    return;
  }
  context_.scheduler.schedule(settings_.approval_retry_interval,
                              [this, number] { sendRound(number); });
  const auto round = query.round++;
  const auto contacts = gossip_.zoneContacts();
  for (const common::ZoneName& zone : query.waiting) {
    const auto known = contacts.find(zone);
    if (known != contacts.end() && !known->second.empty()) {
      context_.sendToAddress(known->second[round % known->second.size()],
                             ApprovalRequest{number, query.change});
    }
  }
}

void ZoneApproval::finish(std::uint64_t number) {
  Query query = std::move(queries_.at(number));
  queries_.erase(number);
  for (const common::ZoneName& zone : query.waiting) {
    unanswered_.add();
    if (!query.late_delivery) {
      query.refusals.push_back(
          {zone, ApprovalVerdict::kRefused, "did not answer; late delivery may be asked for"});
    }
  }
  query.callback(std::move(query.refusals));
}

void ZoneApproval::receiveReply(const ApprovalReply& reply) {
  const auto found = queries_.find(reply.query);
  if (found == queries_.end()) {
    return;
  }
  Query& query = found->second;
  const auto zone = std::find(query.waiting.begin(), query.waiting.end(), reply.zone);
  if (zone == query.waiting.end()) {
    return;
  }
  query.waiting.erase(zone);
  if (reply.verdict != ApprovalVerdict::kApproved) {
    query.refusals.push_back({reply.zone, reply.verdict, reply.reason});
    query.waiting.clear();
  }
  if (query.waiting.empty()) {
    finish(reply.query);
  }
}

void ZoneApproval::answer(const common::NodeId& sender, const ApprovalRequest& request) {
  if (!state_.ready()) {
    return;
  }
  try {
    const LoggedChange entry = decodeChange(request.change);
    ApprovalReply reply = evaluate(entry);
    reply.query = request.query;
    context_.sendTo(sender, reply);
    if (reply.verdict == ApprovalVerdict::kNewer) {
      exchange_.sendChanges(sender.address, entry.change.version);
    } else if (state_.log().version() + 1 < entry.change.version) {
      exchange_.pull(sender.address);
    }
  } catch (const EncodingError&) {
    unreadable_.add();
  }
}

ApprovalReply ZoneApproval::evaluate(const LoggedChange& entry) {
  const ChangeLog& log = state_.log();
  ApprovalReply reply;
  reply.zone = context_.zone;
  reply.version = log.version();
  const std::uint64_t base = entry.change.version - 1;
  const auto base_digest = log.digestAt(base);
  if (base <= log.version() && base_digest && *base_digest != entry.previous_digest) {
    state_.recordFork("change " + entry.change.change_id, base);
    reply.verdict = ApprovalVerdict::kFork;
    reply.reason = "holds another history up to version " + std::to_string(base);
  } else if (log.version() > base && log.digestAt(entry.change.version) != entry.digest) {
    reply.verdict = ApprovalVerdict::kNewer;
    reply.reason = "already holds version " + std::to_string(log.version());
  } else if (const auto reason = ownZoneRefusal(entry.change)) {
    reply.verdict = ApprovalVerdict::kRefused;
    reply.reason = *reason;
  }
  return reply;
}

std::optional<std::string> ZoneApproval::ownZoneRefusal(const ConfigurationChange& change) const {
  for (const ObjectChange& object : change.objects) {
    if (object.kind != ObjectKind::kEngine || object.removed) {
      continue;
    }
    const auto engine = parsedOrNull(object.value_json);
    if (textIn(engine, "zone") != context_.zone) {
      continue;
    }
    if (membership_.addressLeaving(textIn(engine, "address"))) {
      return "engine " + object.name + " is on a machine that is leaving";
    }
  }
  return std::nullopt;
}

}  // namespace cypresswall::configuration
