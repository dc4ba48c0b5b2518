/// The vocabulary of the command language: the words for enumerators, the columns of each subject
/// of `show`, and the help texts.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/operators/command.h"

namespace cypresswall::operators {

template <typename Enumeration>
struct NamedValue {
  std::string_view name;
  Enumeration value;
};

inline constexpr std::array<NamedValue<Subject>, 14> kSubjects = {{
    {"engines", Subject::kEngines},
    {"requests", Subject::kRequests},
    {"services", Subject::kServices},
    {"models", Subject::kModels},
    {"zones", Subject::kZones},
    {"changes", Subject::kChanges},
    {"leases", Subject::kLeases},
    {"nodes", Subject::kNodes},
    {"tenants", Subject::kTenants},
    {"retries", Subject::kRetries},
    {"quarantine", Subject::kQuarantine},
    {"limits", Subject::kLimits},
    {"usage", Subject::kUsage},
    {"capacity", Subject::kCapacity},
}};
inline constexpr std::array<NamedValue<Comparison>, 6> kComparisons = {{
    {"=", Comparison::kEqual},
    {"!=", Comparison::kNotEqual},
    {"<", Comparison::kLess},
    {"<=", Comparison::kLessOrEqual},
    {">", Comparison::kGreater},
    {">=", Comparison::kGreaterOrEqual},
}};
inline constexpr std::array<NamedValue<WhySubject>, 3> kWhySubjects = {{
    {"engine", WhySubject::kEngine},
    {"request", WhySubject::kRequest},
    {"change", WhySubject::kChange},
}};
inline constexpr std::array<NamedValue<RemoveTarget>, 5> kRemoveTargets = {{
    {"zone", RemoveTarget::kZone},
    {"model", RemoveTarget::kModel},
    {"engine", RemoveTarget::kEngine},
    {"service", RemoveTarget::kService},
    {"tenant", RemoveTarget::kTenant},
}};
inline constexpr std::array<NamedValue<DrainTarget>, 3> kDrainTargets = {{
    {"node", DrainTarget::kNode},
    {"machine", DrainTarget::kMachine},
    {"engine", DrainTarget::kEngine},
}};
inline constexpr std::array<NamedValue<engines::EngineRole>, 3> kRoles = {{
    {"mixed", engines::EngineRole::kMixed},
    {"prefill", engines::EngineRole::kPrefill},
    {"decode", engines::EngineRole::kDecode},
}};
inline constexpr std::array<NamedValue<configuration::Urgency>, 4> kUrgencies = {{
    {"low", configuration::Urgency::kLow},
    {"normal", configuration::Urgency::kNormal},
    {"high", configuration::Urgency::kHigh},
    {"critical", configuration::Urgency::kCritical},
}};
inline constexpr std::array<NamedValue<bool>, 2> kSwitches = {{{"on", true}, {"off", false}}};

/// \return the name of `value`, which must be in the table.
template <typename Enumeration, std::size_t Size>
std::string nameOf(const std::array<NamedValue<Enumeration>, Size>& table, Enumeration value) {
  for (const auto& entry : table) {
    if (entry.value == value) {
      return std::string(entry.name);
    }
  }
  return {};
}

template <typename Enumeration, std::size_t Size>
std::vector<std::string> namesOf(const std::array<NamedValue<Enumeration>, Size>& table) {
  std::vector<std::string> names;
  names.reserve(Size);
  for (const auto& entry : table) {
    names.emplace_back(entry.name);
  }
  return names;
}

/// \return the columns that `show` prints for a subject; the first column identifies the row.
const std::vector<std::string>& columnsOf(Subject subject);

struct CommandHelp {
  std::string_view command;
  std::string_view syntax;
  std::string_view meaning;
};
/// \return all commands in the order of docs/operators.md.
const std::vector<CommandHelp>& commandHelp();

/// \return the word of `known` with the smallest edit distance to `word`; empty if none is similar.
std::string nearestWord(std::string_view word, const std::vector<std::string>& known);

}  // namespace cypresswall::operators
