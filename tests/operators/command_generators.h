/// RapidCheck generators of commands.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/operators/command.h"
#include "cypresswall/operators/vocabulary.h"
#include "tests/support/property.h"

namespace cypresswall::operators::testing {

/// Names with all kinds of characters that need quoting or escaping.
inline rc::Gen<std::string> anyName() {
  return rc::gen::oneOf(
      rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcxyz019-._/:"))),
      rc::gen::container<std::string>(rc::gen::elementOf(std::string("a \"\\=<>!\n,#\x01"))),
      rc::gen::element<std::string>("where", "and", "to", "model", "role"));
}

template <typename Enumeration, std::size_t Size>
rc::Gen<Enumeration> anyOf(const std::array<NamedValue<Enumeration>, Size>& table) {
  return rc::gen::map(rc::gen::inRange<std::size_t>(0, Size),
                      [table](std::size_t index) { return table[index].value; });
}

template <typename Value>
std::optional<Value> maybe(const rc::Gen<Value>& generator) {
  return *rc::gen::arbitrary<bool>() ? std::optional<Value>(*generator) : std::nullopt;
}

inline rc::Gen<double> anyNumber() {
  return rc::gen::map(rc::gen::arbitrary<std::int32_t>(),
                      [](std::int32_t value) { return value / 1024.0; });
}
inline rc::Gen<common::Duration> anyDuration() {
  return rc::gen::map(rc::gen::inRange<std::int64_t>(0, 1000000000000),
                      [](std::int64_t value) { return common::Duration(value); });
}
inline rc::Gen<std::uint32_t> anyCount() { return rc::gen::arbitrary<std::uint32_t>(); }

inline Command anyShow() {
  ShowCommand command;
  command.subject = *anyOf(kSubjects);
  const auto& columns = columnsOf(command.subject);
  const int conditions = *rc::gen::inRange(0, 4);
  for (int index = 0; index < conditions; ++index) {
    command.conditions.push_back({*rc::gen::elementOf(columns), *anyOf(kComparisons), *anyName()});
  }
  return command;
}

inline Command anyDeclaration() {
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return DeclareZoneCommand{*anyName(), maybe(anyName())};
    case 1: {
      DeclareModelCommand command{*anyName(), maybe(anyName()), maybe(anyName()), {}};
      const int adapters = *rc::gen::inRange(0, 3);
      for (int index = 0; index < adapters; ++index) {
        command.adapters.push_back({*anyName(), *anyName()});
      }
      return command;
    }
    case 2:
      return DeclareEngineCommand{*anyName(),       maybe(anyName()), maybe(anyName()),
                                  maybe(anyName()), maybe(anyName()), maybe(anyOf(kRoles)),
                                  maybe(anyName())};
    case 3:
      return DeclareTenantCommand{*anyName(), maybe(anyName()), maybe(anyNumber()),
                                  maybe(anyNumber())};
    default:
      return BindServiceCommand{
          *anyName(),           *anyName(),           maybe(anyName()), maybe(anyOf(kUrgencies)),
          maybe(anyDuration()), maybe(anyDuration()), maybe(anyCount())};
  }
}

inline Command anyCommand() {
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
      return anyShow();
    case 1:
      return WhyCommand{*anyOf(kWhySubjects), *anyName()};
    case 2:
      return RemoveCommand{*anyOf(kRemoveTargets), *anyName()};
    case 3:
      return DrainCommand{*anyOf(kDrainTargets), *anyName(), *rc::gen::arbitrary<bool>()};
    case 4:
      return PinCommand{*anyName(), maybe(anyOf(kRoles))};
    case 5:
      return SetPlanningCommand{maybe(anyNumber()), maybe(anyDuration()), maybe(anyOf(kSwitches))};
    case 6:
      return ApplyCommand{*anyName()};
    case 7:
      return HistoryCommand{*anyCount()};
    case 8:
      return HelpCommand{*rc::gen::element<std::string>("", "show", "bind")};
    default:
      return anyDeclaration();
  }
}

}  // namespace cypresswall::operators::testing
