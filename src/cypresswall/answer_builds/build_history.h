/// The software builds of each model's engines that may have begun answers which callers may still
/// take up: those in the fleet, and those that were until a limited time ago.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::answer_builds {

using BuildsByModel = std::map<common::ModelName, std::set<common::BuildName>>;

/// Stands for builds that may have begun answers but that no node remembers. Since it is not known
/// which model had them, it counts as a possible build of each; it belongs to kAnyModel.
inline constexpr const char* kForgottenBuild = "(forgotten)";
inline constexpr const char* kAnyModel = "";

/// A build whose last engine has left the fleet.
struct PastBuild {
  common::ModelName model;
  common::BuildName build;
  common::MonotonicTime last_seen_at{};
};

class BuildHistory {
 public:
  /// \param retention how long a build counts after its last engine has left
  explicit BuildHistory(common::Duration retention) : retention_(retention) {}

  /// Replaces the builds of the engines in the fleet.
  void setPresent(BuildsByModel present, common::MonotonicTime now);
  /// Records that another node saw an engine of the build at `seen_at`.
  void addSeen(const common::ModelName& model, const common::BuildName& build,
               common::MonotonicTime seen_at);
  /// \return the builds that may have begun answers of the model
  std::set<common::BuildName> possible(const common::ModelName& model,
                                       common::MonotonicTime now) const;
  /// \return the possible builds of all models; kForgottenBuild only under kAnyModel
  BuildsByModel possible(common::MonotonicTime now) const;
  /// \return when a build was last seen; `now` if its engines are in the fleet, or if it is unknown
  common::MonotonicTime lastSeen(const common::ModelName& model, const common::BuildName& build,
                                 common::MonotonicTime now) const;
  /// \return the models with more than one possible build
  std::set<common::ModelName> mixedModels(common::MonotonicTime now) const;
  /// \return when the next of past() no longer counts; nothing if there are none
  std::optional<common::MonotonicTime> nextExpiry(common::MonotonicTime now) const;
  /// \return the possible builds of which no engine is in the fleet
  std::vector<PastBuild> past(common::MonotonicTime now) const;

 private:
  /// \return the possible builds that are known by the model's name
  std::set<common::BuildName> counted(const common::ModelName& model,
                                      common::MonotonicTime now) const;
  bool isPresent(const common::ModelName& model, const common::BuildName& build) const;
  bool counts(common::MonotonicTime last_seen_at, common::MonotonicTime now) const {
    return now - last_seen_at < retention_;
  }

  common::Duration retention_;
  BuildsByModel present_;
  /// When a build was last seen, also for those present; older than the retention until the next
  /// change for some.
  std::map<common::ModelName, std::map<common::BuildName, common::MonotonicTime>> last_seen_;
};

}  // namespace cypresswall::answer_builds
