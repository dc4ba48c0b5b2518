/// Answers queries from the configuration in force and the state that daemon components report.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/configuration_replica.h"
#include "cypresswall/operators/command.h"
#include "cypresswall/operators/result_table.h"
#include "cypresswall/operators/state_providers.h"

namespace cypresswall::operators {

class Queries {
 public:
  /// \param zone this node's zone
  /// \param declared the platform's declaration of the fleet, or null; if set, queries read it
  ///   instead of the configuration of `replica`
  Queries(common::ZoneName zone, const configuration::ConfigurationReplica& replica,
          const StateProviders& providers,
          const configuration::ConfigurationView* declared = nullptr)
      : zone_(std::move(zone)),
        replica_(replica),
        configuration_(declared != nullptr ? *declared : replica),
        providers_(providers) {}

  ResultTable show(const ShowCommand& command) const;
  /// \throws CommandError if there is no object with the name in the command
  ResultTable why(const WhyCommand& command) const;
  ResultTable history(const HistoryCommand& command) const;
  static ResultTable help(const HelpCommand& command);

 private:
  ResultTable engines(const ShowCommand& command) const;
  ResultTable services() const;
  ResultTable models() const;
  ResultTable zones() const;
  ResultTable changes() const;
  ResultTable leases() const;
  ResultTable retries() const;
  ResultTable quarantine() const;
  ResultTable limits() const;
  ResultTable usage() const;
  ResultTable capacity() const;
  ResultTable nodes() const;
  ResultTable tenants() const;
  ResultTable requests() const;
  /// \return the known configuration versions of each zone; if the platform declares the fleet, of
  ///   this zone only
  std::map<common::ZoneName, configuration::ZoneVersions> zoneVersions() const;
  std::vector<Explanation> explainChange(const std::string& name) const;

  common::ZoneName zone_;
  const configuration::ConfigurationReplica& replica_;
  const configuration::ConfigurationView& configuration_;
  const StateProviders& providers_;
};

}  // namespace cypresswall::operators
