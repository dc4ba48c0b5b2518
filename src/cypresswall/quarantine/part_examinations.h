/// Questions to other nodes when parts of prompts were last answered, before a counting node
/// decides which of them has crashed engines.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/dissemination_peers.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/quarantine/answered_parts.h"
#include "cypresswall/quarantine/messages.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Asks all other nodes of a small zone and a few of a large one, and the nodes that reported the
/// crashes. An examination ends when all of them have replied, or after
/// QuarantineSettings::examination_time.
class PartExaminations {
 public:
  /// \param reporters the nodes that reported crashes under the part since its examination began
  using Done = std::function<void(common::RequestFingerprint part,
                                  const std::set<common::NodeId>& reporters)>;

  /// Registers the handlers of PartAnswersRequest and PartAnswers.
  /// \param answers known answers, to which those that others tell are added
  /// \pre all references outlive this object
  PartExaminations(const QuarantineSettings& settings, const api::ProcessContext& context,
                   const membership::MembershipView& membership,
                   const membership::DisseminationPeers& peers, AnsweredParts& answers, Done done);
  PartExaminations(const PartExaminations&) = delete;
  PartExaminations& operator=(const PartExaminations&) = delete;

  /// Begins the examination of a part unless one is under way. `done` is never called
  /// synchronously. \param parts the parts of the prompts under which engines crashed
  void begin(common::RequestFingerprint part, const common::NodeId& reporter,
             const std::vector<common::RequestFingerprint>& parts);

 private:
  struct Examination {
    std::set<common::NodeId> reporters;
    /// The nodes that have not replied yet.
    std::set<common::NodeId> awaited;
    common::TimerId timer = 0;
  };

  std::set<common::NodeId> nodesToAsk(const common::NodeId& reporter) const;
  void end(common::RequestFingerprint part);
  void onRequest(const common::NodeId& sender, const PartAnswersRequest& request);
  void onAnswers(const common::NodeId& sender, const PartAnswers& message);

  const QuarantineSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const membership::DisseminationPeers& peers_;
  AnsweredParts& answers_;
  const Done done_;
  std::map<common::RequestFingerprint, Examination> examinations_;
};

}  // namespace cypresswall::quarantine
