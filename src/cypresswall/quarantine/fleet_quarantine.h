/// The quarantine of a zone's nodes together.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/membership/dissemination_peers.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/quarantine/answered_requests.h"
#include "cypresswall/quarantine/crash_detector.h"
#include "cypresswall/quarantine/crash_evidence.h"
#include "cypresswall/quarantine/kept_away_list.h"
#include "cypresswall/quarantine/quarantine_store.h"
#include "cypresswall/quarantine/request_quarantine.h"

namespace cypresswall::quarantine {

/// What a node sees of engines that end under a request it tells to two nodes of the zone, found by
/// rendezvous hashing over the request's fingerprint; these count. Once enough engines have ended,
/// all nodes are told to keep the request away, unless one of them has had it answered lately: a
/// request that many callers send alike may run on each of several engines that end for another
/// reason. Messages grow with broken streams, not with the zone: two for each stream that a crash
/// broke, and a few of each node for a request that is kept away. docs/design/quarantine.md weighs
/// other ways.
class FleetQuarantine final : public RequestQuarantine {
 public:
  /// Registers the handlers of both messages. \pre all references outlive this object
  FleetQuarantine(const QuarantineSettings& settings,
                  const membership::NeighbourSettings& neighbours,
                  const api::ProcessContext& context, membership::MembershipView& membership,
                  engines::EngineClient& client, object_store::ObjectStore& store);
  FleetQuarantine(const FleetQuarantine&) = delete;
  FleetQuarantine& operator=(const FleetQuarantine&) = delete;

  /// Begins to repeat what is kept away, and to keep it in the store.
  void start();

  std::optional<common::Duration> keptAway(common::RequestFingerprint request) override;
  void streamBroken(common::RequestFingerprint request,
                    const engines::EngineEndpoint& engine) override;
  void callBroken(common::RequestFingerprint request, const common::Address& backend) override;
  void answered(common::RequestFingerprint request) override;

  /// \return all requests that are kept away, ordered by fingerprint
  std::vector<KeptAwayRequest> all() const;

 private:
  /// \param name of the engine, or address of the back end, that ended
  void crashed(common::RequestFingerprint request, const std::string& name);
  void report(const CrashReport& report);
  void onReport(const CrashReport& report);
  void onNotice(const common::NodeId& sender, const KeptAwayNotice& notice);
  /// \return the time for which a request is kept away anew
  std::uint32_t fullTime() const;
  /// Keeps a request away. \return true if it was not kept away so far
  bool keepAway(const KeptAwayRequest& request, const char* source);
  /// Keeps a request away for the zone.
  void convict(common::RequestFingerprint request, const char* source);
  /// Lets go of a request that was answered. \return true if that is news to this node
  bool letGo(common::RequestFingerprint request);
  /// Each node passes news on once, to its neighbours: all nodes of a small zone, four in a large
  /// one. The loss of some is made up by others, and by the repetitions.
  void tellOthers(const std::vector<KeptAwayRequest>& requests);
  void repeat();
  /// What is kept away is another than before.
  void listChanged();
  std::vector<common::RequestFingerprint> fingerprints() const;
  /// \return the nodes that may count crashes and keep the stored list, ordered
  std::vector<common::NodeId> deciders() const;

  const QuarantineSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const membership::DisseminationPeers peers_;
  CrashDetector detector_;
  /// What this node saw itself.
  CrashEvidence seen_;
  /// What it counts for the zone.
  CrashEvidence counted_;
  KeptAwayList list_;
  /// By this node, or by others as they told.
  AnsweredRequests answered_;
  QuarantineStore stored_;
  /// Where in the list the next repetition begins.
  std::size_t repeated_ = 0;
  common::Counter& crashes_;
  common::Counter& refused_;
  common::Counter& added_;
  common::Counter& let_go_;
  common::Counter& kept_gauge_;
};

}  // namespace cypresswall::quarantine
