/// Quarantine shared by all nodes of a zone.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_path.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/membership/dissemination_peers.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/quarantine/answered_parts.h"
#include "cypresswall/quarantine/answered_requests.h"
#include "cypresswall/quarantine/crash_detector.h"
#include "cypresswall/quarantine/crash_history.h"
#include "cypresswall/quarantine/part_examinations.h"
#include "cypresswall/quarantine/quarantine_list.h"
#include "cypresswall/quarantine/quarantine_store.h"
#include "cypresswall/quarantine/request_quarantine.h"

namespace cypresswall::quarantine {

/// When an engine crashes while it runs a request, the node that sent the request reports the crash
/// to two nodes of the zone, chosen by rendezvous hashing over the request's fingerprint, and to
/// the owner of the stored quarantine, which count the crashes under the request. Once one has
/// counted QuarantineSettings::crashes, all nodes quarantine the request, unless one of them has
/// recently received a complete answer to it: a request that many callers send may happen to run on
/// several engines that crash for another reason. The parts of a prompt that other prompts may
/// share are counted in the same way, as requests of which no two are alike may crash engines by a
/// part that they have in common; a part is cleared by any answer since its first crash. Messages
/// are sent only for broken streams and quarantined requests: three for each stream that a crash
/// broke, whatever the size of the zone, and a few per node for each quarantined request.
/// docs/design/quarantine.md discusses the alternatives.
class FleetQuarantine final : public RequestQuarantine {
 public:
  /// Registers the handlers of CrashReport and QuarantineNotice.
  /// \pre all references outlive this object
  /// \param time_of_day wall-clock time since the Unix epoch; if it is empty, crashes are forgotten
  ///   when all nodes restart
  FleetQuarantine(const QuarantineSettings& settings,
                  const membership::NeighbourSettings& neighbours,
                  const api::ProcessContext& context, membership::MembershipView& membership,
                  engines::EngineClient& client, object_store::ObjectStore& store,
                  const common::TimeOfDay& time_of_day);
  FleetQuarantine(const FleetQuarantine&) = delete;
  FleetQuarantine& operator=(const FleetQuarantine&) = delete;

  /// Sets how this node finds out whether it reaches any server. Without it, an engine that doesn't
  /// answer this node counts as crashed.
  void setServerPath(api::ServerPath& path) { server_path_ = &path; }
  /// Starts the periodic announcements of the list, and its synchronisation with the object store.
  void start();

  std::optional<common::Duration> quarantinedFor(const common::RequestContent& content) override;
  void streamBroken(const common::RequestContent& content, const engines::EngineEndpoint& engine,
                    OutputProgress progress) override;
  void callBroken(common::RequestFingerprint request, const common::Address& backend) override;
  void answered(const common::RequestContent& content) override;

  /// \return all quarantined requests, ordered by fingerprint
  std::vector<QuarantinedRequest> all() const;

 private:
  /// Records the crash of an engine that does not answer, if this node reaches other servers.
  void onEngineSilent(const common::RequestContent& content, const std::string& name,
                      OutputProgress progress);
  void streamCrashed(const common::RequestContent& content, const std::string& name,
                     OutputProgress progress);
  /// \param fingerprint of a whole request or, if `is_part` is set, of a part of its prompt
  /// \param name name of the crashed engine, or address of the crashed back end
  /// \param crash the crash; its engine and time are set by this function
  void crashed(common::RequestFingerprint fingerprint, bool is_part, const std::string& name,
               CrashObservation crash);
  CrashObservation observationOf(const EngineCrash& crash) const;
  /// Forgets the crashes under a request or part that was answered, and ends its quarantine.
  void clear(common::RequestFingerprint fingerprint, bool is_part);
  /// Reports the crashes that the part no longer explains under the other parts of their prompts.
  void blameOtherParts(common::RequestFingerprint part);
  void report(const CrashReport& report);
  void onReport(const common::NodeId& sender, const CrashReport& report);
  /// Decides whether a part is quarantined, after other nodes have told of its answers.
  void decide(common::RequestFingerprint part, const std::set<common::NodeId>& reporters);
  /// \return true if the crash reports for a part were void, as a prompt with the part has been
  ///   answered since the first of these crashes; `senders`, who reported them, are then told
  bool voidIfAnswered(const std::set<common::NodeId>& senders, common::RequestFingerprint part);
  /// Handles the knowledge that a part did not cause the crashes that this node reported under it.
  void onPartAnswered(common::RequestFingerprint part);
  void onNotice(const common::NodeId& sender, const QuarantineNotice& notice);
  /// \return the duration of a new quarantine
  std::uint32_t quarantineMilliseconds() const;
  /// \return true if the request was not quarantined yet
  bool addToList(const QuarantinedRequest& request, const char* source);
  /// Quarantines a request or a part on all nodes of the zone, unless this node knows that an
  /// answer contradicts.
  void quarantineForZone(const QuarantinedRequest& request, const char* source);
  /// \return true if this node knows of an answer to the request, or to a prompt with the part,
  ///   which shows that the engines crashed for another reason
  bool contradictedByAnswer(const QuarantinedRequest& request) const;
  /// Ends the quarantine of a request that was answered.
  /// \return false if nothing changed: this node already knew of the answer, and the request was
  ///   not quarantined here
  bool release(common::RequestFingerprint request);
  /// Sends an update to all other nodes in a small zone, and to four in a large one. Each node to
  /// which the update is new forwards it in the same way. A node is thus reached on several paths,
  /// which, with the periodic announcements, makes up for lost messages.
  void notifyPeers(const std::vector<QuarantinedRequest>& requests);
  void announcePeriodically();
  /// To be called after each change of `list_`. Updates the gauge and the stored list.
  void listChanged();
  std::vector<common::RequestFingerprint> fingerprints() const;
  /// \return the nodes that count the crashes under the request: two by its fingerprint, and the
  ///   owner of the stored list, which stores them
  std::set<common::NodeId> countingNodes(common::RequestFingerprint request) const;
  /// \return the crashes to store: those under requests that are not quarantined and that this node
  ///   doesn't know to be answered since
  std::vector<RequestCrashes> crashesToStore() const;
  /// \return the nodes that may count crashes or own the stored list, ordered: the alive members
  ///   whose build supports the quarantine messages
  std::vector<common::NodeId> eligibleNodes() const;

  const QuarantineSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const membership::DisseminationPeers peers_;
  CrashDetector detector_;
  /// Crashes that this node observed itself.
  CrashHistory observed_;
  /// Crashes reported to this node as one of the two that count them.
  CrashHistory counted_;
  QuarantineList list_;
  /// Requests answered by this node, or by others according to their notices.
  AnsweredRequests answered_;
  /// Parts of the prompts that this node had answered, or others according to their messages.
  AnsweredParts answered_parts_;
  PartExaminations examinations_;
  QuarantineStore stored_;
  api::ServerPath* server_path_ = nullptr;
  /// Position in the list at which the next periodic announcement starts.
  std::size_t next_announced_ = 0;
  common::Counter& crashes_;
  common::Counter& refused_;
  common::Counter& added_;
  common::Counter& released_;
  common::Counter& size_gauge_;
};

}  // namespace cypresswall::quarantine
