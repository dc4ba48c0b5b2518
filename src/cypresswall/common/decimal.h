/// Parsing of decimal numbers in header fields.
#pragma once

#include <optional>
#include <string_view>

namespace cypresswall::common {

/// \return the number that `text` consists of, apart from blanks around it; nothing if it is no
///   finite decimal number
std::optional<double> parseDecimal(std::string_view text);

}  // namespace cypresswall::common
