/// Description of a settings key: name, type, range, meaning, and the field that stores its value.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cypresswall/settings/daemon_settings.h"
#include "cypresswall/settings/value_text.h"

namespace cypresswall::settings {

/// An unparsed value: one text in `items`, or the items of a list if `is_list` is true.
struct RawValue {
  std::vector<std::string> items;
  bool is_list = false;
};

struct SettingKey {
  /// "section.name", or a single word for a top-level key.
  std::string name;
  /// Unit or type, as shown in the documentation.
  std::string unit;
  std::string range;
  /// Default value as written in a settings file; empty if the key is required.
  std::string default_text;
  std::string meaning;
  bool required = false;
  bool is_list = false;
  /// Parses and stores a value. \throws ValueError
  std::function<void(DaemonSettings&, const RawValue&)> apply;
};

template <typename Value>
using SettingField = Value& (*)(DaemonSettings&);

/// Each of the following functions returns the description of a key whose value is stored in
/// `field`.
SettingKey durationKey(std::string name, common::Duration minimum, common::Duration maximum,
                       SettingField<common::Duration> field, std::string meaning);
SettingKey bytesKey(std::string name, std::size_t minimum, std::size_t maximum,
                    SettingField<std::size_t> field, std::string meaning);
SettingKey countKey(std::string name, std::size_t minimum, std::size_t maximum,
                    SettingField<std::size_t> field, std::string meaning);
SettingKey numberKey(std::string name, double minimum, double maximum, SettingField<double> field,
                     std::string meaning);
/// A key with the value "on" or "off".
SettingKey switchKey(std::string name, SettingField<bool> field, std::string meaning);
SettingKey nameKey(std::string name, SettingField<std::string> field, std::string meaning);
/// \param default_text empty if the key is required
SettingKey addressKey(std::string name, std::string default_text,
                      SettingField<common::Address> field, std::string meaning);
/// A key whose value is an address or "none".
SettingKey optionalAddressKey(std::string name, SettingField<common::Address> field,
                              std::string meaning);

/// \return the text of a value that must not be a list. \throws ValueError
const std::string& singleText(const RawValue& value);

}  // namespace cypresswall::settings
