/// Syntax trees of operator commands; docs/operators.md describes the language.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::operators {

/// Kind of object that the command `show` lists.
enum class Subject {
  kEngines,
  kRequests,
  kServices,
  kModels,
  kZones,
  kChanges,
  kLeases,
  kNodes,
  kTenants,
  kRetries,
  kQuarantine,
  kLimits,
  kUsage,
  kCapacity,
};

enum class Comparison { kEqual, kNotEqual, kLess, kLessOrEqual, kGreater, kGreaterOrEqual };

/// One condition of the form `column operator value` after the keyword `where`.
struct Condition {
  std::string column;
  Comparison comparison = Comparison::kEqual;
  std::string value;
  bool operator==(const Condition&) const = default;
};

struct ShowCommand {
  Subject subject = Subject::kEngines;
  std::vector<Condition> conditions;
  bool operator==(const ShowCommand&) const = default;
};

enum class WhySubject { kEngine, kRequest, kChange };

struct WhyCommand {
  WhySubject subject = WhySubject::kEngine;
  std::string name;
  bool operator==(const WhyCommand&) const = default;
};

/// Declares or changes an object. In this and the following declare commands, options that are
/// absent leave the declared values unchanged.
struct DeclareZoneCommand {
  std::string zone;
  std::optional<std::string> region;
  bool operator==(const DeclareZoneCommand&) const = default;
};

struct AdapterClause {
  std::string name;
  std::string weights_uri;
  bool operator==(const AdapterClause&) const = default;
};

struct DeclareModelCommand {
  std::string model;
  std::optional<std::string> version;
  std::optional<std::string> weights;
  /// Adapters to add to the declared ones; a declared adapter with the same name is replaced.
  std::vector<AdapterClause> adapters;
  bool operator==(const DeclareModelCommand&) const = default;
};

struct DeclareEngineCommand {
  std::string engine;
  std::optional<std::string> zone;
  std::optional<std::string> machine;
  std::optional<std::string> address;
  std::optional<std::string> model;
  std::optional<engines::EngineRole> role;
  std::optional<std::string> build;
  bool operator==(const DeclareEngineCommand&) const = default;
};

struct DeclareTenantCommand {
  std::string tenant;
  std::optional<std::string> key;
  std::optional<double> requests;
  std::optional<double> tokens;
  bool operator==(const DeclareTenantCommand&) const = default;
};

struct BindServiceCommand {
  std::string service;
  std::string model;
  std::optional<std::string> adapter;
  std::optional<configuration::Urgency> urgency;
  std::optional<common::Duration> first_token;
  std::optional<common::Duration> between_tokens;
  std::optional<std::uint32_t> maximum_tokens;
  bool operator==(const BindServiceCommand&) const = default;
};

enum class RemoveTarget { kZone, kModel, kEngine, kService, kTenant };

struct RemoveCommand {
  RemoveTarget target = RemoveTarget::kZone;
  std::string name;
  bool operator==(const RemoveCommand&) const = default;
};

enum class DrainTarget { kNode, kMachine, kEngine };

struct DrainCommand {
  DrainTarget target = DrainTarget::kNode;
  std::string name;
  /// True for the command `drain`, false for `undrain`.
  bool drained = true;
  bool operator==(const DrainCommand&) const = default;
};

struct PinCommand {
  std::string engine;
  /// Role to keep; empty for the command `unpin`, after which the planner chooses the role again.
  std::optional<engines::EngineRole> role;
  bool operator==(const PinCommand&) const = default;
};

struct SetPlanningCommand {
  std::optional<double> role_change_weight;
  std::optional<common::Duration> horizon;
  std::optional<bool> automatic_roles;
  bool operator==(const SetPlanningCommand&) const = default;
};

/// Applies a fleet file. The client reads the file and sends its text with the command.
struct ApplyCommand {
  std::string file;
  bool operator==(const ApplyCommand&) const = default;
};

struct HistoryCommand {
  static constexpr std::uint32_t kDefaultCount = 20;
  std::uint32_t count = kDefaultCount;
  bool operator==(const HistoryCommand&) const = default;
};

struct HelpCommand {
  /// Command to describe; if empty, all commands are listed.
  std::string topic;
  bool operator==(const HelpCommand&) const = default;
};

using Command = std::variant<ShowCommand, WhyCommand, DeclareZoneCommand, DeclareModelCommand,
                             DeclareEngineCommand, DeclareTenantCommand, BindServiceCommand,
                             RemoveCommand, DrainCommand, PinCommand, SetPlanningCommand,
                             ApplyCommand, HistoryCommand, HelpCommand>;

/// \return true for commands that change the configuration.
bool isChange(const Command& command);

}  // namespace cypresswall::operators
