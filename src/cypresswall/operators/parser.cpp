#include "cypresswall/operators/parser.h"

#include <charconv>
#include <cmath>
#include <functional>

#include "cypresswall/configuration/duration_text.h"
#include "cypresswall/operators/vocabulary.h"

namespace cypresswall::operators {
namespace {

/// The keyword of an option and the function that parses its value.
struct Option {
  std::string keyword;
  std::function<void()> read;
};

class Parser {
 public:
  explicit Parser(std::string_view text) : tokens_(tokenize(text)) {}

  Command run() {
    Command command = parse();
    if (peek().kind != TokenKind::kEnd) {
      fail("nothing more can stand here", {});
    }
    return command;
  }

 private:
  using Rule = std::function<Command()>;

  Command parse() {
    const std::vector<std::pair<std::string, Rule>> rules = {
        {"show", [this] { return show(); }},
        {"why", [this] { return why(); }},
        {"declare", [this] { return declare(); }},
        {"bind", [this] { return bind(); }},
        {"remove", [this] { return remove(); }},
        {"drain", [this] { return drain(true); }},
        {"undrain", [this] { return drain(false); }},
        {"pin", [this] { return pin(); }},
        {"unpin", [this] { return unpin(); }},
        {"set", [this] { return setPlanning(); }},
        {"apply", [this] { return Command(ApplyCommand{name("a file")}); }},
        {"history", [this] { return history(); }},
        {"help", [this] { return help(); }},
    };
    return choose("a command", rules);
  }

  Command show() {
    ShowCommand command;
    command.subject = choice("what to show", kSubjects);
    if (!acceptKeyword("where")) {
      expectEndOr({"where"});
      return command;
    }
    do {
      command.conditions.push_back(condition(columnsOf(command.subject)));
    } while (acceptKeyword("and"));
    expectEndOr({"and"});
    return command;
  }

  Condition condition(const std::vector<std::string>& columns) {
    Condition condition;
    condition.column = word("a column", columns);
    const Token& comparison = peek();
    if (comparison.kind != TokenKind::kOperator) {
      fail("expected a comparison", namesOf(kComparisons));
    }
    for (const auto& known : kComparisons) {
      if (known.name == comparison.text) {
        condition.comparison = known.value;
      }
    }
    ++next_;
    condition.value = name("a value");
    return condition;
  }

  Command why() {
    WhyCommand command;
    command.subject = choice("engine, request or change", kWhySubjects);
    command.name = name("its name");
    return command;
  }

  Command declare() {
    return choose("a kind of object", {{"zone", [this] { return declareZone(); }},
                                       {"model", [this] { return declareModel(); }},
                                       {"engine", [this] { return declareEngine(); }},
                                       {"tenant", [this] { return declareTenant(); }}});
  }

  Command declareZone() {
    DeclareZoneCommand command;
    command.zone = name("the zone's name");
    options({{"region", [&] { command.region = name("a region"); }}});
    return command;
  }

  Command declareModel() {
    DeclareModelCommand command;
    command.model = name("the model's name");
    options({{"version", [&] { command.version = name("a version"); }},
             {"weights", [&] { command.weights = name("a URI"); }},
             {"adapter",
              [&] {
                AdapterClause adapter;
                adapter.name = name("the adapter's name");
                adapter.weights_uri = name("a URI");
                command.adapters.push_back(std::move(adapter));
              }}},
            {"adapter"});
    return command;
  }

  Command declareEngine() {
    DeclareEngineCommand command;
    command.engine = name("the engine's name");
    options({{"zone", [&] { command.zone = name("a zone"); }},
             {"machine", [&] { command.machine = name("a machine"); }},
             {"address", [&] { command.address = name("IP:port"); }},
             {"model", [&] { command.model = name("a model"); }},
             {"role", [&] { command.role = choice("a role", kRoles); }},
             {"build", [&] { command.build = name("a software build"); }}});
    return command;
  }

  Command declareTenant() {
    DeclareTenantCommand command;
    command.tenant = name("the tenant's name");
    options({{"key", [&] { command.key = name("a key"); }},
             {"requests", [&] { command.requests = number(); }},
             {"tokens", [&] { command.tokens = number(); }}});
    return command;
  }

  Command bind() {
    BindServiceCommand command;
    keyword("service");
    command.service = name("the service's name");
    keyword("to");
    keyword("model");
    command.model = name("the model's name");
    options({{"adapter", [&] { command.adapter = name("an adapter"); }},
             {"urgency", [&] { command.urgency = choice("an urgency", kUrgencies); }},
             {"first-token", [&] { command.first_token = duration(); }},
             {"between-tokens", [&] { command.between_tokens = duration(); }},
             {"maximum-tokens", [&] { command.maximum_tokens = wholeNumber(); }}});
    return command;
  }

  Command remove() {
    RemoveCommand command;
    command.target = choice("a kind of object", kRemoveTargets);
    command.name = name("its name");
    return command;
  }

  Command drain(bool drained) {
    DrainCommand command;
    command.target = choice("node, machine or engine", kDrainTargets);
    command.name = name("its name");
    command.drained = drained;
    return command;
  }

  Command pin() {
    PinCommand command;
    keyword("engine");
    command.engine = name("the engine's name");
    keyword("role");
    command.role = choice("a role", kRoles);
    return command;
  }

  Command unpin() {
    keyword("engine");
    return PinCommand{name("the engine's name"), std::nullopt};
  }

  Command setPlanning() {
    SetPlanningCommand command;
    keyword("planning");
    options(
        {{"role-change-weight", [&] { command.role_change_weight = number(); }},
         {"horizon", [&] { command.horizon = duration(); }},
         {"automatic-roles", [&] { command.automatic_roles = choice("on or off", kSwitches); }}});
    return command;
  }

  Command history() {
    HistoryCommand command;
    if (peek().kind != TokenKind::kEnd) {
      command.count = wholeNumber();
    }
    return command;
  }

  Command help() {
    HelpCommand command;
    if (peek().kind != TokenKind::kEnd) {
      std::vector<std::string> topics;
      for (const CommandHelp& known : commandHelp()) {
        topics.emplace_back(known.command);
      }
      command.topic = word("a command", topics);
    }
    return command;
  }

  const Token& peek() const { return tokens_[next_]; }

  [[noreturn]] void fail(const std::string& message, std::vector<std::string> expected) const {
    const Token& token = peek();
    const std::string nearest =
        token.kind == TokenKind::kWord ? nearestWord(token.text, expected) : "";
    throw ParseError(message, token.position, token.length, nearest, std::move(expected));
  }

  static std::string listed(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) {
      text.append(text.empty() ? "" : ", ").append(word);
    }
    return text;
  }

  /// Parses one of the known words.
  std::string word(const std::string& what, const std::vector<std::string>& known) {
    const Token& token = peek();
    if (token.kind == TokenKind::kWord) {
      for (const std::string& candidate : known) {
        if (candidate == token.text) {
          ++next_;
          return candidate;
        }
      }
    }
    fail("expected " + what + ": " + listed(known), known);
  }

  template <typename Enumeration, std::size_t Size>
  Enumeration choice(const std::string& what,
                     const std::array<NamedValue<Enumeration>, Size>& table) {
    const std::string chosen = word(what, namesOf(table));
    for (const auto& entry : table) {
      if (entry.name == chosen) {
        return entry.value;
      }
    }
    fail("expected " + what, namesOf(table));
  }

  Command choose(const std::string& what, const std::vector<std::pair<std::string, Rule>>& rules) {
    std::vector<std::string> names;
    names.reserve(rules.size());
    for (const auto& [rule_name, rule] : rules) {
      names.push_back(rule_name);
    }
    const std::string chosen = word(what, names);
    for (const auto& [rule_name, rule] : rules) {
      if (rule_name == chosen) {
        return rule();
      }
    }
    fail("expected " + what, names);
  }

  void keyword(const std::string& expected) { word("the word", {expected}); }

  bool acceptKeyword(const std::string& expected) {
    if (peek().kind != TokenKind::kWord || peek().text != expected) {
      return false;
    }
    ++next_;
    return true;
  }

  void expectEndOr(const std::vector<std::string>& words) {
    if (peek().kind != TokenKind::kEnd) {
      fail("expected the end or: " + listed(words), words);
    }
  }

  /// Parses options in any order up to the end of the command. Only the options in `repeatable` may
  /// occur more than once.
  void options(const std::vector<Option>& known, const std::vector<std::string>& repeatable = {}) {
    std::vector<std::string> left;
    left.reserve(known.size());
    for (const Option& option : known) {
      left.push_back(option.keyword);
    }
    while (peek().kind != TokenKind::kEnd) {
      const std::string chosen = word("the end or an option", left);
      for (const Option& option : known) {
        if (option.keyword == chosen) {
          option.read();
        }
      }
      if (std::find(repeatable.begin(), repeatable.end(), chosen) == repeatable.end()) {
        left.erase(std::find(left.begin(), left.end(), chosen));
      }
    }
  }

  /// Parses a name or value that the user chooses freely, written as a word or a quoted string.
  /// \param what description of the expected text, for error messages
  std::string name(const std::string& what) {
    const Token& token = peek();
    if (token.kind != TokenKind::kWord && token.kind != TokenKind::kQuoted) {
      fail("expected " + what, {});
    }
    ++next_;
    return token.text;
  }

  template <typename Number>
  Number parseNumber(const std::string& what) {
    const Token& token = peek();
    Number value{};
    const char* end = token.text.data() + token.text.size();
    const auto parsed = std::from_chars(token.text.data(), end, value);
    if (token.kind != TokenKind::kWord || parsed.ec != std::errc() || parsed.ptr != end) {
      fail("expected " + what, {});
    }
    return value;
  }

  double number() {
    const auto value = parseNumber<double>("a number");
    if (!std::isfinite(value)) {
      fail("expected a finite number", {});
    }
    ++next_;
    return value;
  }

  std::uint32_t wholeNumber() {
    const auto value = parseNumber<std::uint32_t>("a whole number");
    ++next_;
    return value;
  }

  common::Duration duration() {
    const auto value = configuration::parseDuration(peek().text);
    if (!value) {
      fail("expected a duration such as 1.3s or 79ms", {});
    }
    ++next_;
    return *value;
  }

  std::vector<Token> tokens_;
  std::size_t next_ = 0;
};

}  // namespace

Command parseCommand(std::string_view text) { return Parser(text).run(); }

std::vector<std::string> completions(std::string_view text) {
  // The text is parsed with an invalid word in place of the word to complete. The parser fails at
  // the invalid word, and its error lists the words that are valid there.
  constexpr std::string_view kCompletionPlaceholder = "\x01";
  const std::string probed = std::string(text).append(" ").append(kCompletionPlaceholder);
  try {
    parseCommand(probed);
  } catch (const ParseError& error) {
    if (error.position() + kCompletionPlaceholder.size() == probed.size()) {
      return error.expected();
    }
  }
  return {};
}

bool isChange(const Command& command) {
  return !std::holds_alternative<ShowCommand>(command) &&
         !std::holds_alternative<WhyCommand>(command) &&
         !std::holds_alternative<HistoryCommand>(command) &&
         !std::holds_alternative<HelpCommand>(command);
}

}  // namespace cypresswall::operators
