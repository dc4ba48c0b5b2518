#include "cypresswall/settings/settings_flags.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <sstream>

#include "cypresswall/settings/key_table.h"

namespace cypresswall::settings {
namespace {

/// Storage of a flag; gflags keeps pointers to these strings.
struct Flag {
  std::string name;
  std::string help;
  std::string value;
  std::string default_value;
};

std::deque<Flag>& flags() {
  static std::deque<Flag> all;
  return all;
}

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

}  // namespace

std::string flagName(const std::string& key) {
  std::string name = key;
  std::replace(name.begin(), name.end(), '.', '_');
  return name;
}

void registerSettingFlags() {
  for (const SettingKey& key : settingKeys()) {
    Flag& flag = flags().emplace_back();
    flag.name = flagName(key.name);
    flag.help = key.meaning + " Setting " + key.name + " (" + key.unit + ").";
    const gflags::FlagRegisterer registerer(flag.name.c_str(), flag.help.c_str(), "settings",
                                            &flag.value, &flag.default_value);
  }
}

SourceValues settingFlagValues() {
  SourceValues values;
  for (const SettingKey& key : settingKeys()) {
    gflags::CommandLineFlagInfo info;
    const std::string name = flagName(key.name);
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info) || info.is_default) {
      continue;
    }
    LocatedValue located;
    located.location = "--" + name;
    located.value.is_list = key.is_list;
    located.value.items = key.is_list ? splitAtCommas(info.current_value)
                                      : std::vector<std::string>{info.current_value};
    values.emplace(key.name, std::move(located));
  }
  return values;
}

}  // namespace cypresswall::settings
