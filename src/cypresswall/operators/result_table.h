/// The result of a query: named columns and typed cells.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cypresswall/operators/command.h"

namespace cypresswall::operators {

using Cell = std::variant<std::string, std::int64_t, double, bool>;

struct ResultTable {
  std::vector<std::string> columns;
  std::vector<std::vector<Cell>> rows;
};

/// \return the cell as human-readable text.
std::string cellText(const Cell& cell);

/// \return true if "`cell` `comparison` `value`" holds. Cells with numbers are compared as numbers,
///   all others as text.
bool matches(const Cell& cell, Comparison comparison, const std::string& value);

/// Keeps the rows that satisfy all conditions.
void filterRows(ResultTable& table, const std::vector<Condition>& conditions);

}  // namespace cypresswall::operators
