/// Obtains the approval of every known zone before a change is committed, and answers approval
/// requests for the local zone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/configuration/messages.h"
#include "cypresswall/configuration/peer_exchange.h"
#include "cypresswall/configuration/replica_state.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/zone_gossip.h"

namespace cypresswall::configuration {

/// A zone that did not approve a change.
struct ZoneRefusal {
  common::ZoneName zone;
  /// kRefused if the zone did not answer.
  ApprovalVerdict verdict = ApprovalVerdict::kRefused;
  std::string reason;
};

class ZoneApproval {
 public:
  /// Called with the zones that did not approve; the list is empty if all zones approved.
  using Callback = std::function<void(std::vector<ZoneRefusal>)>;

  ZoneApproval(const ConfigurationSettings& settings, const api::ProcessContext& context,
               ReplicaState& state, PeerExchange& exchange, membership::MembershipView& membership,
               membership::ZoneGossip& gossip);
  ZoneApproval(const ZoneApproval&) = delete;
  ZoneApproval& operator=(const ZoneApproval&) = delete;

  /// Asks for the approval of each zone that is declared in `result` and has known nodes.
  /// \param result the configuration that the change produces
  /// \param late_delivery if true, zones that don't answer count as approving
  /// \param callback called exactly once, never before the call returns
  void ask(const LoggedChange& entry, const FleetConfiguration& result, bool late_delivery,
           Callback callback);

 private:
  struct Query {
    std::string change;
    bool late_delivery = false;
    Callback callback;
    common::MonotonicTime deadline;
    std::size_t round = 0;
    std::vector<common::ZoneName> waiting;
    std::vector<ZoneRefusal> refusals;
  };

  void sendRound(std::uint64_t number);
  void finish(std::uint64_t number);
  void answer(const common::NodeId& sender, const ApprovalRequest& request);
  ApprovalReply evaluate(const LoggedChange& entry);
  std::optional<std::string> ownZoneRefusal(const ConfigurationChange& change) const;
  void receiveReply(const ApprovalReply& reply);

  const ConfigurationSettings& settings_;
  const api::ProcessContext& context_;
  ReplicaState& state_;
  PeerExchange& exchange_;
  membership::MembershipView& membership_;
  membership::ZoneGossip& gossip_;
  std::uint64_t next_query_ = 1;
  std::map<std::uint64_t, Query> queries_;
  common::Counter& unanswered_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::configuration
