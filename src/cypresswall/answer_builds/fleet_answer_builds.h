/// Records of the builds that began answers, kept by the nodes of a zone together.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/answer_builds/answer_builds.h"
#include "cypresswall/answer_builds/answer_records.h"
#include "cypresswall/answer_builds/build_history.h"
#include "cypresswall/answer_builds/messages.h"
#include "cypresswall/answer_builds/settings.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::answer_builds {

/// While a model has engines of one build, and has had no others within
/// AnswerBuildSettings::retention, all its answers are of that build and nothing is sent.
/// Otherwise each node tells two others of each answer that it begins, before the caller receives
/// the first token. These two are chosen by rendezvous hashing over the answer, so that any node at
/// which the caller takes the answer up knows whom to ask. A node without knowledge of the answer
/// reports it as unknown, since a guess could join outputs of two builds.
class FleetAnswerBuilds final : public AnswerBuilds {
 public:
  /// Registers the message handlers. \pre all references outlive this object
  FleetAnswerBuilds(const AnswerBuildSettings& settings, const api::ProcessContext& context,
                    membership::MembershipView& membership);
  FleetAnswerBuilds(const FleetAnswerBuilds&) = delete;
  FleetAnswerBuilds& operator=(const FleetAnswerBuilds&) = delete;

  /// To be called with the builds of the engines in the fleet after each change.
  void enginesChanged(BuildsByModel present);

  void began(const common::ModelName& model, const std::string& request_id,
             const common::BuildName& build) override;
  void find(const common::ModelName& model, const std::string& began_as,
            OriginCallback found) override;

 private:
  /// A search that waits for the replies of other nodes.
  struct Search {
    OriginCallback found;
    std::size_t replies_missing = 0;
    common::TimerId timer = 0;
  };

  void seen(const common::ModelName& model, const common::BuildName& build,
            common::MonotonicTime seen_at);
  /// To be called after each change of the history, and once a build no longer counts.
  void historyChanged();
  /// Sends the records of answers that were begun while the model had one build.
  void sendRecords(const common::ModelName& model);
  void ask(AnswerKey answer, OriginCallback found);
  void onBegan(const AnswersBegan& message);
  void onQuery(const common::NodeId& sender, const AnswerBuildQuery& query);
  void onReply(const AnswerBuildReply& reply);
  void onDeparted(const DepartedBuilds& message);
  void finish(std::uint64_t number, const AnswerOrigin& origin);
  void membersChanged();
  /// Tells new members of builds that have left the fleet.
  void tellNewMembers();
  /// \return other nodes with the highest ranks for the answer
  std::vector<common::NodeId> nodesFor(AnswerKey answer, std::size_t count);
  /// \return the other members that are alive and support these messages
  const std::vector<common::NodeId>& peers();

  const AnswerBuildSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  BuildHistory history_;
  AnswerRecords records_;
  std::set<common::ModelName> mixed_models_;
  std::map<std::uint64_t, Search> searches_;
  std::uint64_t next_number_ = 1;
  std::vector<common::NodeId> peers_;
  /// True if the members have changed since `peers_` was computed.
  bool peers_stale_ = true;
  /// Members that know the builds that have left the fleet; empty while there are none.
  std::optional<std::set<common::NodeId>> told_members_;
  common::TimerId expiry_timer_ = 0;
  common::Counter& recorded_;
  common::Counter& only_build_;
  common::Counter& own_record_;
  common::Counter& record_of_peer_;
  common::Counter& unknown_;
};

}  // namespace cypresswall::answer_builds
