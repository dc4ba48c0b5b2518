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
#include "cypresswall/answer_builds/silent_nodes.h"
#include "cypresswall/answer_builds/store_confirmation.h"
#include "cypresswall/answer_builds/stored_builds.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/zone_object/zone_object.h"

namespace cypresswall::answer_builds {

/// While a model has engines of one build, and has had no others within
/// AnswerBuildSettings::retention, all its answers are of that build and nothing is sent.
/// Otherwise each node tells two others of each answer that it begins, before the caller receives
/// the first token. These two are chosen by rendezvous hashing over the answer, so that any node at
/// which the caller takes the answer up knows whom to ask. A node without knowledge of the answer
/// reports it as unknown, since a guess could join outputs of two builds.
///
/// That there is one build only is known up to the time at which this node last heard of changes; a
/// node that was cut off or stood still does not notice that it has not heard. Before it takes an
/// answer to be of that build, it therefore asks the nodes that would have been told of the answer:
/// of the alive members and of those that have fallen silent. If some of them don't reply, it reads
/// the builds from the store. A store that refuses is asked again; if it has not answered within
/// AnswerBuildSettings::confirmation_limit, replies of most members have to do.
///
/// A node that has started can't see the builds that have left the fleet before. Until it has
/// learnt of them from another node or, if all have just started, from the platform's store, it
/// takes no build for the only one. The store holds the builds that each model may still have
/// answers of; it is written when one appears, and when one has been away for
/// AnswerBuildSettings::retention. If the store was restored from a copy after they were written,
/// they may lack some; nodes that have all just started then count kForgottenBuild among them.
class FleetAnswerBuilds final : public AnswerBuilds {
 public:
  /// Registers the message handlers. \pre all references outlive this object
  FleetAnswerBuilds(const AnswerBuildSettings& settings, const api::ProcessContext& context,
                    membership::MembershipView& membership, object_store::ObjectStore& store);
  FleetAnswerBuilds(const FleetAnswerBuilds&) = delete;
  FleetAnswerBuilds& operator=(const FleetAnswerBuilds&) = delete;

  /// \param refresh reads the engines anew and calls enginesChanged() before its callback
  void setListRefresh(StoreConfirmation::ListRefresh refresh) {
    confirmation_.setListRefresh(std::move(refresh));
  }
  void start();
  /// To be called with the builds of the engines in the fleet after each change.
  void enginesChanged(BuildsByModel present);

  void began(const common::ModelName& model, const std::string& request_id,
             const common::BuildName& build) override;
  void find(const common::ModelName& model, const std::string& began_as,
            OriginCallback found) override;

 private:
  /// A search that waits for the replies of other nodes.
  struct Search {
    common::ModelName model;
    AnswerKey answer = 0;
    OriginCallback found;
    /// Nodes that have been asked.
    std::set<common::NodeId> alive_missing = {};
    std::set<common::NodeId> silent_missing = {};
    std::set<common::NodeId> replied = {};
    /// This node knew one build when the search began. Confirming it takes replies or the store.
    bool confirms_only_build = false;
    bool answer_limit_passed = false;
    bool store_asked = false;
    bool store_confirmed = false;
    common::TimerId answer_timer = 0;
    common::TimerId majority_timer = 0;
    common::TimerId confirmation_timer = 0;
  };

  /// A search that waits until this node knows the earlier builds.
  struct WaitingSearch {
    common::ModelName model;
    std::string began_as;
    OriginCallback found;
    common::TimerId timer = 0;
  };

  void awaitHistory(const common::ModelName& model, const std::string& began_as,
                    OriginCallback found);
  /// Finds the build by the record of the answer alone.
  void findRecord(const common::ModelName& model, const std::string& began_as,
                  OriginCallback found);
  /// \return true if this node has a record of the answer; `found` has then been called
  bool findOwnRecord(const std::string& began_as, const OriginCallback& found);
  /// Finds the build by the record of the answer, or confirms that there is one build only.
  void confirmOnlyBuild(const common::ModelName& model, const std::string& began_as,
                        OriginCallback found);
  void reportOnlyBuild(const common::ModelName& model, const OriginCallback& found,
                       common::Counter& source);
  /// \param search how it ended, for the log
  void reportUnknown(const common::ModelName& model, const OriginCallback& found,
                     const Search& search);
  /// \return for the log
  const char* reasonUnknown(const common::ModelName& model) const;
  /// \return true if several builds may have begun answers of the model
  bool hasSeveralBuilds(const common::ModelName& model) const;
  /// Asks other nodes for the earlier builds until they are known.
  void askForHistory();
  void onHistoryQuery(const common::NodeId& sender);
  void sendHistory(const common::NodeId& node);
  void onHistory(const BuildHistoryReply& reply);
  void onStoredBuilds(const std::string& stored);
  /// To be called with the builds that the store holds when it confirms the list of engines.
  void onConfirmedBuilds(const std::string& stored);
  /// Takes over builds that the store holds.
  void addStored(const StoredBuilds& stored);
  /// Records that there may have been builds that are known to nobody.
  void addForgotten(const StoredBuilds& stored);
  /// To be called once the builds that the models had before the start are known.
  void historyKnown(const char* source);
  /// \return the builds to store instead of `stored`; nothing if `stored` holds them
  std::optional<std::string> newStoredBuilds(const std::string& stored) const;
  /// \return the alive members that may own the stored builds, this node included
  std::vector<common::NodeId> historyNodes() const;

  void seen(const common::ModelName& model, const common::BuildName& build,
            common::MonotonicTime seen_at);
  /// To be called after each change of the history, and once a build no longer counts.
  void historyChanged();
  /// Sends the records of answers that were begun while the model had one build.
  void sendRecords(const common::ModelName& model);
  /// Asks nodes for the record of the answer.
  /// \param search names the model, the answer, the callback and the silent nodes to ask
  /// \return the number of the search
  std::uint64_t ask(Search search);
  void onAnswerLimit(std::uint64_t number);
  /// Asks the members that have not replied, also those that were not asked before.
  void askMajority(std::uint64_t number);
  void onConfirmationLimit(std::uint64_t number);
  void askStore(std::uint64_t number);
  void onConfirmation(std::uint64_t number, bool confirmed);
  /// Ends the search if enough is known.
  void decide(std::uint64_t number);
  void decideAmongSeveral(std::uint64_t number, const Search& search);
  static std::size_t asked(const Search& search);
  /// \return true if this node and those that replied are most of those asked
  static bool mostNodesReplied(const Search& search);
  /// Takes nodes that have fallen silent since they were asked for silent ones.
  void updateMissing(Search& search);
  void onBegan(const AnswersBegan& message);
  void onQuery(const common::NodeId& sender, const AnswerBuildQuery& query);
  void onReply(const common::NodeId& sender, const AnswerBuildReply& reply);
  /// \return the builds that may have begun answers of the model
  std::vector<SeenBuild> seenBuilds(const common::ModelName& model) const;
  /// Records what another node has seen.
  void addSeen(const std::vector<SeenBuild>& builds);
  /// Ends a search. \return the search
  Search extract(std::uint64_t number);
  void finishKnown(std::uint64_t number, const common::BuildName& build, common::Counter& source);
  void finishOnlyBuild(std::uint64_t number, common::Counter& source);
  void finishUnknown(std::uint64_t number);
  void watchSilentNodes();
  const std::set<common::NodeId>& silentNodes();
  /// \return the silent nodes that are asked for an answer: they may run, and this node be cut off
  std::vector<common::NodeId> silentNodesFor(AnswerKey answer);
  void membersChanged();
  /// Tells new members that would not ask of builds that have left the fleet.
  void tellNewMembers();
  DepartedBuilds departedBuilds() const;
  /// \return other nodes with the highest ranks for the answer
  std::vector<common::NodeId> nodesFor(AnswerKey answer, std::size_t count);
  /// \return the other members that are alive and support these messages
  const std::vector<common::NodeId>& peers();

  const AnswerBuildSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const object_store::ObjectStore& store_;
  SilentNodes silent_nodes_;
  BuildHistory history_;
  AnswerRecords records_;
  std::set<common::ModelName> mixed_models_;
  std::map<std::uint64_t, Search> searches_;
  std::map<std::uint64_t, WaitingSearch> waiting_searches_;
  std::uint64_t next_number_ = 1;
  std::vector<common::NodeId> peers_;
  /// True if the members have changed since `peers_` was computed.
  bool peers_stale_ = true;
  /// Members that know the builds that have left the fleet; empty while there are none.
  std::optional<std::set<common::NodeId>> told_members_;
  common::TimerId expiry_timer_ = 0;
  /// Whether this node knows the builds that the models had before it started.
  bool history_known_ = false;
  common::MonotonicTime next_history_query_at_{};
  std::uint64_t history_queries_ = 0;
  /// Nodes that asked for the earlier builds before this node knew them.
  std::set<common::NodeId> asking_nodes_;
  /// The possible builds after the last change of the history.
  BuildsByModel possible_builds_;
  zone_object::ZoneObject stored_builds_;
  StoreConfirmation confirmation_;
  common::Counter& recorded_;
  common::Counter& only_build_;
  common::Counter& only_build_by_peers_;
  common::Counter& only_build_by_store_;
  common::Counter& only_build_without_store_;
  common::Counter& own_record_;
  common::Counter& record_of_peer_;
  common::Counter& unknown_;
  common::Counter& out_of_step_;
};

}  // namespace cypresswall::answer_builds
