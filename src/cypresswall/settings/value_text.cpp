#include "cypresswall/settings/value_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

#include "cypresswall/common/socket_address.h"
#include "cypresswall/configuration/duration_text.h"

namespace cypresswall::settings {
namespace {

constexpr std::size_t kMaximumNameBytes = 64;
/// Buffer size for a formatted number; large enough for the shortest exact text of any double.
constexpr std::size_t kMaximumNumberBytes = 32;

using ByteUnit = std::pair<std::string_view, unsigned>;
/// Byte units, largest first; each unit is 2 to the given power bytes.
constexpr std::array<ByteUnit, 3> kByteUnits = {{{"GiB", 30}, {"MiB", 20}, {"KiB", 10}}};

bool isNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

}  // namespace

std::uint64_t parseCount(const std::string& text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    throw ValueError("'" + text + "' is not a whole number");
  }
  return value;
}

std::uint64_t parseBytes(const std::string& text) {
  for (const auto& [unit, power] : kByteUnits) {
    if (!text.ends_with(unit)) {
      continue;
    }
    const std::uint64_t count = parseCount(text.substr(0, text.size() - unit.size()));
    if (count > (UINT64_MAX >> power)) {
      throw ValueError("'" + text + "' is too large");
    }
    return count << power;
  }
  return parseCount(text);
}

double parseNumber(const std::string& text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc() || result.ptr != end || !std::isfinite(value)) {
    throw ValueError("'" + text + "' is not a number");
  }
  return value;
}

common::Duration parseDurationValue(const std::string& text) {
  const auto duration = configuration::parseDuration(text);
  if (!duration) {
    throw ValueError("'" + text +
                     "' is not a duration; use a number with the unit us, ms, s, m or h");
  }
  return *duration;
}

std::string parseName(const std::string& text) {
  const bool fits = !text.empty() && text.size() <= kMaximumNameBytes;
  if (!fits || !std::all_of(text.begin(), text.end(), isNameCharacter)) {
    throw ValueError("'" + text + "' is not a name of 1 to " + std::to_string(kMaximumNameBytes) +
                     " letters, digits, '-', '_' or '.'");
  }
  return text;
}

common::Address parseReachableAddress(const std::string& text) {
  try {
    const common::SocketAddress address = common::parseSocketAddress(text);
    if (address.port == 0) {
      throw ValueError("'" + text + "' has port 0; a fixed port is needed");
    }
    if (address.ip == "0.0.0.0" || address.ip == "::") {
      throw ValueError("'" + text + "' is a wildcard address; peers need one that they can reach");
    }
    return common::formatSocketAddress(address);
  } catch (const common::AddressError& error) {
    throw ValueError(error.what());
  }
}

Seed parseSeed(const std::string& text) {
  Seed seed;
  const auto at = text.find('@');
  if (at == std::string::npos) {
    seed.address = parseReachableAddress(text);
    return seed;
  }
  const std::string zone_and_region = text.substr(0, at);
  const auto slash = zone_and_region.find('/');
  if (slash == std::string::npos) {
    throw ValueError("'" + text + "' is not a seed; use IP:port or zone/region@IP:port");
  }
  seed.zone = parseName(zone_and_region.substr(0, slash));
  seed.region = parseName(zone_and_region.substr(slash + 1));
  seed.address = parseReachableAddress(text.substr(at + 1));
  return seed;
}

std::string formatBytes(std::uint64_t bytes) {
  for (const auto& [unit, power] : kByteUnits) {
    const std::uint64_t size = std::uint64_t{1} << power;
    if (bytes != 0 && bytes % size == 0) {
      return std::to_string(bytes >> power) + std::string(unit);
    }
  }
  return std::to_string(bytes);
}

std::string formatNumber(double number) {
  std::array<char, kMaximumNumberBytes> text{};
  const auto result = std::to_chars(text.data(), text.data() + text.size(), number);
  return {text.data(), result.ptr};
}

}  // namespace cypresswall::settings
