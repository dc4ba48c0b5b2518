#include <array>
#include <charconv>

#include "cypresswall/configuration/duration_text.h"
#include "cypresswall/operators/parser.h"
#include "cypresswall/operators/vocabulary.h"

namespace cypresswall::operators {
namespace {

/// Formats one command word by word.
class Formatter {
 public:
  void operator()(const ShowCommand& command) {
    add("show");
    add(nameOf(kSubjects, command.subject));
    bool first = true;
    for (const Condition& condition : command.conditions) {
      add(first ? "where" : "and");
      first = false;
      add(condition.column);
      add(nameOf(kComparisons, condition.comparison));
      add(quoteWord(condition.value));
    }
  }
  void operator()(const WhyCommand& command) {
    add("why");
    add(nameOf(kWhySubjects, command.subject));
    add(quoteWord(command.name));
  }
  void operator()(const DeclareZoneCommand& command) {
    add("declare zone");
    add(quoteWord(command.zone));
    option("region", command.region);
  }
  void operator()(const DeclareModelCommand& command) {
    add("declare model");
    add(quoteWord(command.model));
    option("version", command.version);
    option("weights", command.weights);
    for (const AdapterClause& adapter : command.adapters) {
      add("adapter");
      add(quoteWord(adapter.name));
      add(quoteWord(adapter.weights_uri));
    }
  }
  void operator()(const DeclareEngineCommand& command) {
    add("declare engine");
    add(quoteWord(command.engine));
    option("zone", command.zone);
    option("machine", command.machine);
    option("address", command.address);
    option("model", command.model);
    option("role", command.role);
    option("build", command.build);
  }
  void operator()(const DeclareTenantCommand& command) {
    add("declare tenant");
    add(quoteWord(command.tenant));
    option("key", command.key);
    option("requests", command.requests);
    option("tokens", command.tokens);
  }
  void operator()(const BindServiceCommand& command) {
    add("bind service");
    add(quoteWord(command.service));
    add("to model");
    add(quoteWord(command.model));
    option("adapter", command.adapter);
    option("urgency", command.urgency);
    option("first-token", command.first_token);
    option("between-tokens", command.between_tokens);
    option("maximum-tokens", command.maximum_tokens);
  }
  void operator()(const RemoveCommand& command) {
    add("remove");
    add(nameOf(kRemoveTargets, command.target));
    add(quoteWord(command.name));
  }
  void operator()(const DrainCommand& command) {
    add(command.drained ? "drain" : "undrain");
    add(nameOf(kDrainTargets, command.target));
    add(quoteWord(command.name));
  }
  void operator()(const PinCommand& command) {
    add(command.role ? "pin engine" : "unpin engine");
    add(quoteWord(command.engine));
    option("role", command.role);
  }
  void operator()(const SetPlanningCommand& command) {
    add("set planning");
    option("role-change-weight", command.role_change_weight);
    option("horizon", command.horizon);
    option("automatic-roles", command.automatic_roles);
  }
  void operator()(const ApplyCommand& command) {
    add("apply");
    add(quoteWord(command.file));
  }
  void operator()(const HistoryCommand& command) {
    add("history");
    add(std::to_string(command.count));
  }
  void operator()(const HelpCommand& command) {
    add("help");
    if (!command.topic.empty()) {
      add(command.topic);
    }
  }

  std::string take() { return std::move(text_); }

 private:
  void add(std::string_view word) { text_.append(text_.empty() ? "" : " ").append(word); }

  template <typename Value>
  void option(std::string_view keyword, const std::optional<Value>& value) {
    if (value) {
      add(keyword);
      add(valueText(*value));
    }
  }

  static std::string valueText(const std::string& value) { return quoteWord(value); }
  static std::string valueText(std::uint32_t value) { return std::to_string(value); }
  static std::string valueText(bool value) { return nameOf(kSwitches, value); }
  static std::string valueText(common::Duration value) {
    return configuration::formatDuration(value);
  }
  static std::string valueText(engines::EngineRole value) { return nameOf(kRoles, value); }
  static std::string valueText(configuration::Urgency value) { return nameOf(kUrgencies, value); }
  static std::string valueText(double value) {
    constexpr std::size_t kLongestNumber = 32;
    std::array<char, kLongestNumber> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), end.ptr};
  }

  std::string text_;
};

}  // namespace

std::string formatCommand(const Command& command) {
  Formatter formatter;
  std::visit(formatter, command);
  return formatter.take();
}

}  // namespace cypresswall::operators
