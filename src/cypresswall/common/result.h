/// Result of an asynchronous call: a value, or a typed failure with a human-readable message.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace cypresswall::common {

/// Failure of an asynchronous call. `Kind` is an enumeration of the layer that reports it.
template <typename Kind>
struct Failure {
  Kind kind;
  std::string message;
};

/// Either a value or a Failure.
template <typename Value, typename Kind>
class Result {
 public:
  Result(Value value) : content_(std::move(value)) {}              // NOLINT: implicit by intent
  Result(Failure<Kind> failure) : content_(std::move(failure)) {}  // NOLINT: implicit by intent

  bool ok() const { return std::holds_alternative<Value>(content_); }
  /// \pre ok()
  const Value& value() const { return std::get<Value>(content_); }
  Value& value() { return std::get<Value>(content_); }
  /// \pre !ok()
  const Failure<Kind>& failure() const { return std::get<Failure<Kind>>(content_); }

 private:
  std::variant<Value, Failure<Kind>> content_;
};

/// Value type of a call that returns no value.
struct Done {};

}  // namespace cypresswall::common
