/// Parsing of settings values, and formatting for documentation.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/membership/membership_settings.h"

namespace cypresswall::settings {

/// Thrown for a text that is not a value of the expected type or is outside the key's range. The
/// message says what is expected, without naming the key.
class ValueError : public common::Error {
 public:
  using common::Error::Error;
};

/// Each of the following throws ValueError.
std::uint64_t parseCount(const std::string& text);
/// Parses a number of bytes, or a number directly followed by KiB, MiB or GiB.
std::uint64_t parseBytes(const std::string& text);
/// Parses a number in decimal notation, such as 0.5.
double parseNumber(const std::string& text);
common::Duration parseDurationValue(const std::string& text);
/// Parses a name of 1 to 64 characters: letters, digits, '-', '_' and '.'.
std::string parseName(const std::string& text);
/// Parses an address that peers can reach: a numeric IP address other than the wildcard address,
/// and a non-zero port.
common::Address parseReachableAddress(const std::string& text);

/// A seed node: "IP:port" in the local zone, "zone/region@IP:port" in another one.
struct Seed {
  /// Empty for the local zone.
  common::ZoneName zone;
  membership::RegionName region;
  common::Address address;
};
Seed parseSeed(const std::string& text);

/// \return `bytes` as a whole number of the largest unit that allows one; inverse of parseBytes().
std::string formatBytes(std::uint64_t bytes);
/// \return the shortest text that parseNumber() parses to `number`.
std::string formatNumber(double number);

}  // namespace cypresswall::settings
