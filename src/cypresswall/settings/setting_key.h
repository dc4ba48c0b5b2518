/// Description of one key of the settings: name, type, range, meaning, and where its value goes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cypresswall/settings/daemon_settings.h"
#include "cypresswall/settings/value_text.h"

namespace cypresswall::settings {

/// A value as given: one text, or the items of a list.
struct GivenValue {
  std::vector<std::string> items;
  bool is_list = false;
};

struct SettingKey {
  /// "section.name", or one word for a key at the top.
  std::string name;
  /// Unit or type, for the documentation.
  std::string unit;
  std::string range;
  /// As written in a file; empty if the key must be given.
  std::string default_text;
  std::string meaning;
  bool required = false;
  bool is_list = false;
  /// Stores a value. \throws ValueError
  std::function<void(DaemonSettings&, const GivenValue&)> apply;
};

template <typename Value>
using SettingField = Value& (*)(DaemonSettings&);

/// Each makes the description of a key whose value is stored in `field`.
SettingKey durationKey(std::string name, common::Duration least, common::Duration most,
                       SettingField<common::Duration> field, std::string meaning);
SettingKey bytesKey(std::string name, std::size_t least, std::size_t most,
                    SettingField<std::size_t> field, std::string meaning);
SettingKey countKey(std::string name, std::size_t least, std::size_t most,
                    SettingField<std::size_t> field, std::string meaning);
SettingKey numberKey(std::string name, double least, double most, SettingField<double> field,
                     std::string meaning);
/// A key that is "on" or "off".
SettingKey switchKey(std::string name, SettingField<bool> field, std::string meaning);
SettingKey nameKey(std::string name, SettingField<std::string> field, std::string meaning);
/// \param default_text empty if the key must be given
SettingKey addressKey(std::string name, std::string default_text,
                      SettingField<common::Address> field, std::string meaning);
/// A key that is an address or "none".
SettingKey optionalAddressKey(std::string name, SettingField<common::Address> field,
                              std::string meaning);

/// \return the one text of a value that may not be a list. \throws ValueError
const std::string& singleText(const GivenValue& value);

}  // namespace cypresswall::settings
