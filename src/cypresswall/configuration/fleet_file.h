/// Reads a fleet file: YAML with the top-level lists zones, models, engines, model_services,
/// http_services and tenants, and the map planning. Fields are named as in fleet.h.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::configuration {

/// A fleet file that can't be read. what() is "file:line: key: message".
class FleetFileError : public common::Error {
 public:
  FleetFileError(const std::string& file, int line, const std::string& key,
                 const std::string& message);
  /// From 1; zero if the place is not known.
  int line() const { return line_; }
  /// For example "engines[3].zone".
  const std::string& key() const { return key_; }

 private:
  int line_;
  std::string key_;
};

/// Compares a fleet file with the configuration in force. A list that stands in the file is the
/// whole of its kind: objects that it does not name are removed. Kinds without a list are left
/// alone. References between objects are not checked; see checkChange().
/// \param file_name used in errors only
/// \return the changes that lead from `current` to the file; empty if nothing differs
/// \throws FleetFileError
std::vector<ObjectChange> differenceToFleetFile(const std::string& text,
                                                const std::string& file_name,
                                                const FleetConfiguration& current);

}  // namespace cypresswall::configuration
