#include "cypresswall/settings/setting_key.h"

#include <utility>

#include "cypresswall/configuration/duration_text.h"

namespace cypresswall::settings {
namespace {

using configuration::formatDuration;

std::string rangeText(const std::string& minimum, const std::string& maximum) {
  return minimum + " to " + maximum;
}

[[noreturn]] void throwOutOfRange(const std::string& text, const std::string& range) {
  throw ValueError("'" + text + "' is outside the range " + range);
}

using SizeParser = std::uint64_t (*)(const std::string&);

/// \return a key whose `apply` is not set
SettingKey describe(std::string name, std::string unit, std::string range, std::string default_text,
                    std::string meaning) {
  SettingKey key;
  key.name = std::move(name);
  key.unit = std::move(unit);
  key.range = std::move(range);
  key.default_text = std::move(default_text);
  key.meaning = std::move(meaning);
  return key;
}

/// \return a function that parses a number, checks that it is between `minimum` and `maximum`, and
///   stores it in `field`.
auto sizeSetter(SizeParser parse, std::size_t minimum, std::size_t maximum, std::string range,
                SettingField<std::size_t> field) {
  return [=, range = std::move(range)](DaemonSettings& settings, const RawValue& value) {
    const std::string& text = singleText(value);
    const std::uint64_t number = parse(text);
    if (number < minimum || number > maximum) {
      throwOutOfRange(text, range);
    }
    field(settings) = number;
  };
}

}  // namespace

const std::string& singleText(const RawValue& value) {
  if (value.is_list || value.items.size() != 1) {
    throw ValueError("a single value is expected, not a list");
  }
  return value.items.front();
}

SettingKey durationKey(std::string name, common::Duration minimum, common::Duration maximum,
                       SettingField<common::Duration> field, std::string meaning) {
  DaemonSettings defaults;
  SettingKey key = describe(std::move(name), "duration",
                            rangeText(formatDuration(minimum), formatDuration(maximum)),
                            formatDuration(field(defaults)), std::move(meaning));
  key.apply = [=, range = key.range](DaemonSettings& settings, const RawValue& value) {
    const std::string& text = singleText(value);
    const common::Duration duration = parseDurationValue(text);
    if (duration < minimum || duration > maximum) {
      throwOutOfRange(text, range);
    }
    field(settings) = duration;
  };
  return key;
}

SettingKey bytesKey(std::string name, std::size_t minimum, std::size_t maximum,
                    SettingField<std::size_t> field, std::string meaning) {
  DaemonSettings defaults;
  SettingKey key =
      describe(std::move(name), "bytes", rangeText(formatBytes(minimum), formatBytes(maximum)),
               formatBytes(field(defaults)), std::move(meaning));
  key.apply = sizeSetter(parseBytes, minimum, maximum, key.range, field);
  return key;
}

SettingKey countKey(std::string name, std::size_t minimum, std::size_t maximum,
                    SettingField<std::size_t> field, std::string meaning) {
  DaemonSettings defaults;
  SettingKey key = describe(std::move(name), "count",
                            rangeText(std::to_string(minimum), std::to_string(maximum)),
                            std::to_string(field(defaults)), std::move(meaning));
  key.apply = sizeSetter(parseCount, minimum, maximum, key.range, field);
  return key;
}

SettingKey numberKey(std::string name, double minimum, double maximum, SettingField<double> field,
                     std::string meaning) {
  DaemonSettings defaults;
  SettingKey key =
      describe(std::move(name), "number", rangeText(formatNumber(minimum), formatNumber(maximum)),
               formatNumber(field(defaults)), std::move(meaning));
  key.apply = [=, range = key.range](DaemonSettings& settings, const RawValue& value) {
    const std::string& text = singleText(value);
    const double number = parseNumber(text);
    if (!(number >= minimum && number <= maximum)) {
      throwOutOfRange(text, range);
    }
    field(settings) = number;
  };
  return key;
}

SettingKey switchKey(std::string name, SettingField<bool> field, std::string meaning) {
  DaemonSettings defaults;
  SettingKey key = describe(std::move(name), "switch", "on, off", field(defaults) ? "on" : "off",
                            std::move(meaning));
  key.apply = [field](DaemonSettings& settings, const RawValue& value) {
    const std::string& text = singleText(value);
    if (text != "on" && text != "off") {
      throw ValueError("'" + text + "' is not a switch; use on or off");
    }
    field(settings) = text == "on";
  };
  return key;
}

SettingKey nameKey(std::string name, SettingField<std::string> field, std::string meaning) {
  SettingKey key = describe(std::move(name), "name", "1 to 64 letters, digits, '-', '_', '.'", "",
                            std::move(meaning));
  key.required = true;
  key.apply = [field](DaemonSettings& settings, const RawValue& value) {
    field(settings) = parseName(singleText(value));
  };
  return key;
}

SettingKey addressKey(std::string name, std::string default_text,
                      SettingField<common::Address> field, std::string meaning) {
  SettingKey key = describe(std::move(name), "IP:port", "an IP number, port 1 to 65535",
                            std::move(default_text), std::move(meaning));
  key.required = key.default_text.empty();
  key.apply = [field](DaemonSettings& settings, const RawValue& value) {
    field(settings) = parseReachableAddress(singleText(value));
  };
  return key;
}

SettingKey optionalAddressKey(std::string name, SettingField<common::Address> field,
                              std::string meaning) {
  constexpr const char* kNone = "none";
  SettingKey key = addressKey(std::move(name), kNone, field, std::move(meaning));
  key.range = "an IP number, port 1 to 65535, or none";
  key.apply = [field, with_address = key.apply](DaemonSettings& settings, const RawValue& value) {
    if (singleText(value) == kNone) {
      field(settings).clear();
    } else {
      with_address(settings, value);
    }
  };
  return key;
}

}  // namespace cypresswall::settings
