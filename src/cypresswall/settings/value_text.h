/// Parsing of settings values, and formatting for documentation.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/membership/membership_settings.h"

namespace cypresswall::settings {

/// A text that is not a value of the expected type or outside the key's range. The message says
/// what is expected, without naming the key.
class ValueError : public common::Error {
 public:
  using common::Error::Error;
};

/// Each of the following throws ValueError.
std::uint64_t parseCount(const std::string& text);
/// A count of bytes, or one directly followed by KiB, MiB or GiB.
std::uint64_t parseBytes(const std::string& text);
/// A number in decimal digits, such as 0.5.
double parseNumber(const std::string& text);
common::Duration parseDurationValue(const std::string& text);
/// A name of letters, digits, '-', '_' and '.', of 1 to 64 characters.
std::string parseName(const std::string& text);
/// An address that peers can reach: a numeric IP address, not the wildcard, and a non-zero port.
common::Address parseReachableAddress(const std::string& text);

/// A seed node: "IP:port" in the local zone, "zone/region@IP:port" in another one.
struct Seed {
  /// Empty for the local zone.
  common::ZoneName zone;
  membership::RegionName region;
  common::Address address;
};
Seed parseSeed(const std::string& text);

/// Inverse of parseBytes(), in the largest unit that gives a whole number.
std::string formatBytes(std::uint64_t bytes);
/// Inverse of parseNumber(), in the fewest digits.
std::string formatNumber(double number);

}  // namespace cypresswall::settings
