/// Turns commands that change the configuration into changes of declared objects.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/operators/command.h"

namespace cypresswall::operators {

/// A command that was understood and can't be carried out.
class CommandError : public common::Error {
 public:
  using common::Error::Error;
};

/// The text of a fleet file that came with an `apply` command.
struct FleetFileText {
  std::string name;
  std::string text;
};

/// \return the changes that `command` asks for on top of `current`; empty if nothing differs.
///   They are not validated yet.
/// \throws CommandError, configuration::FleetFileError
std::vector<configuration::ObjectChange> buildChanges(
    const Command& command, const configuration::FleetConfiguration& current,
    const FleetFileText& file);

}  // namespace cypresswall::operators
