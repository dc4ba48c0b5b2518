#include "cypresswall/operators/result_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace cypresswall::operators {
namespace {

std::optional<double> numberOf(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

template <typename Value>
bool compare(const Value& left, Comparison comparison, const Value& right) {
  switch (comparison) {
    case Comparison::kEqual:
      return left == right;
    case Comparison::kNotEqual:
      return !(left == right);
    case Comparison::kLess:
      return left < right;
    case Comparison::kLessOrEqual:
      return left <= right;
    case Comparison::kGreater:
      return left > right;
    case Comparison::kGreaterOrEqual:
      return left >= right;
  }
  return false;
}

}  // namespace

std::string cellText(const Cell& cell) {
  if (const auto* text = std::get_if<std::string>(&cell)) {
    return *text;
  }
  if (const auto* number = std::get_if<std::int64_t>(&cell)) {
    return std::to_string(*number);
  }
  if (const auto* truth = std::get_if<bool>(&cell)) {
    return *truth ? "yes" : "no";
  }
  constexpr std::size_t kLongestNumber = 32;
  std::array<char, kLongestNumber> buffer{};
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), std::get<double>(cell));
  return {buffer.data(), end.ptr};
}

bool matches(const Cell& cell, Comparison comparison, const std::string& value) {
  const std::string text = cellText(cell);
  const auto left = numberOf(text);
  const auto right = numberOf(value);
  if (left && right) {
    return compare(*left, comparison, *right);
  }
  return compare(text, comparison, value);
}

void filterRows(ResultTable& table, const std::vector<Condition>& conditions) {
  for (const Condition& condition : conditions) {
    const auto column = std::find(table.columns.begin(), table.columns.end(), condition.column);
    const auto index = static_cast<std::size_t>(column - table.columns.begin());
    const auto misses = [&](const std::vector<Cell>& row) {
      return index >= row.size() || !matches(row[index], condition.comparison, condition.value);
    };
    table.rows.erase(std::remove_if(table.rows.begin(), table.rows.end(), misses),
                     table.rows.end());
  }
}

}  // namespace cypresswall::operators
