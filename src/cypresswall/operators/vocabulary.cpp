#include "cypresswall/operators/vocabulary.h"

#include <algorithm>

namespace cypresswall::operators {
namespace {

/// Maximum number of characters of a word for which a similar word is suggested; bounds the cost of
/// computing the edit distance.
constexpr std::size_t kMaximumComparedLength = 64;

/// Levenshtein distance.
std::size_t editDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t column = 0; column <= right.size(); ++column) {
    row[column] = column;
  }
  for (std::size_t line = 1; line <= left.size(); ++line) {
    std::size_t diagonal = row[0];
    row[0] = line;
    for (std::size_t column = 1; column <= right.size(); ++column) {
      const std::size_t replaced = diagonal + (left[line - 1] == right[column - 1] ? 0 : 1);
      diagonal = row[column];
      row[column] = std::min({row[column] + 1, row[column - 1] + 1, replaced});
    }
  }
  return row[right.size()];
}

}  // namespace

const std::vector<std::string>& columnsOf(Subject subject) {
  static const std::vector<std::string> kEngineColumns = {
      "engine",   "zone",    "machine", "address", "model",   "version",
      "role",     "state",   "running", "waiting", "maximum", "gap_ms",
      "slowness", "drained", "pinned",  "cache",   "age_ms",  "build"};
  static const std::vector<std::string> kRequestColumns = {"request", "tenant", "service", "engine",
                                                           "state",   "tokens", "age_ms"};
  static const std::vector<std::string> kServiceColumns = {
      "service",     "kind",           "model",          "adapter", "urgency",
      "first_token", "between_tokens", "maximum_tokens", "backends"};
  static const std::vector<std::string> kModelColumns = {"model", "version", "weights", "adapters",
                                                         "engines"};
  static const std::vector<std::string> kZoneColumns = {"zone",   "region",   "engines",
                                                        "newest", "in_force", "summary"};
  static const std::vector<std::string> kChangeColumns = {"version", "change", "author", "objects"};
  static const std::vector<std::string> kLeaseColumns = {"zone", "holder", "epoch", "here"};
  static const std::vector<std::string> kNodeColumns = {
      "node", "zone", "machine", "state", "gateway", "version", "drained", "messages"};
  static const std::vector<std::string> kTenantColumns = {
      "tenant", "requests_per_second", "tokens_per_second", "share", "asked", "admitted",
      "refused"};
  static const std::vector<std::string> kRetryColumns = {"service", "used", "left", "refused",
                                                         "part"};
  static const std::vector<std::string> kQuarantineColumns = {"fingerprint", "seconds_left"};
  static const std::vector<std::string> kLimitColumns = {
      "server", "requests_per_second", "age_ms", "keeper", "granted", "refused"};
  static const std::vector<std::string> kUsageColumns = {
      "window", "requests", "tenants", "state", "token", "nodes_missing", "age_ms"};
  static const std::vector<std::string> kCapacityColumns = {
      "pool",           "location",           "lasting", "preemptible",
      "wanted_lasting", "wanted_preemptible", "token",   "reason"};
  switch (subject) {
    case Subject::kEngines:
      return kEngineColumns;
    case Subject::kRequests:
      return kRequestColumns;
    case Subject::kServices:
      return kServiceColumns;
    case Subject::kModels:
      return kModelColumns;
    case Subject::kZones:
      return kZoneColumns;
    case Subject::kChanges:
      return kChangeColumns;
    case Subject::kLeases:
      return kLeaseColumns;
    case Subject::kNodes:
      return kNodeColumns;
    case Subject::kTenants:
      return kTenantColumns;
    case Subject::kRetries:
      return kRetryColumns;
    case Subject::kQuarantine:
      return kQuarantineColumns;
    case Subject::kLimits:
      return kLimitColumns;
    case Subject::kUsage:
      return kUsageColumns;
    case Subject::kCapacity:
      break;
  }
  return kCapacityColumns;
}

const std::vector<CommandHelp>& commandHelp() {
  static const std::vector<CommandHelp> kHelp = {
      {"show",
       "show "
       "engines|requests|services|models|zones|changes|leases|nodes|tenants|retries|quarantine|"
       "limits|usage|capacity "
       "[where COLUMN =|!=|<|<=|>|>= VALUE [and ...]]",
       "list what is running and declared"},
      {"why", "why engine NAME | request ID | change VERSION-OR-ID", "explain a decision"},
      {"declare",
       "declare zone NAME [region R] | model NAME [version V] [weights URI] [adapter NAME URI]... "
       "| engine NAME [zone Z] [address IP:PORT] [model M] [machine X] [role R] "
       "| tenant NAME [key K] [requests N] [tokens N]",
       "add an object or change the named options of one"},
      {"bind",
       "bind service NAME to model NAME [adapter A] [urgency low|normal|high|critical] "
       "[first-token D] [between-tokens D] [maximum-tokens N]",
       "let a model back a service"},
      {"remove", "remove zone|model|engine|service|tenant NAME", "remove what nothing uses"},
      {"drain", "drain node IP:PORT | machine NAME | engine NAME", "give no new work to it"},
      {"undrain", "undrain node IP:PORT | machine NAME | engine NAME", "undo a drain"},
      {"pin", "pin engine NAME role mixed|prefill|decode", "set a role by hand"},
      {"unpin", "unpin engine NAME", "give the role back to the planner"},
      {"set", "set planning [role-change-weight N] [horizon D] [automatic-roles on|off]",
       "change how roles are planned"},
      {"apply", "apply FILE", "make the fleet what a file says"},
      {"history", "history [COUNT]", "list the newest changes"},
      {"help", "help [COMMAND]", "explain a command"},
  };
  return kHelp;
}

std::string nearestWord(std::string_view word, const std::vector<std::string>& known) {
  std::string nearest;
  std::size_t least = std::max<std::size_t>(1, std::min<std::size_t>(word.size() / 2, 3)) + 1;
  if (word.empty() || word.size() > kMaximumComparedLength) {
    return nearest;
  }
  for (const std::string& candidate : known) {
    const bool prefix = candidate.rfind(word, 0) == 0;
    const std::size_t distance = prefix ? 1 : editDistance(word, candidate);
    if (distance < least) {
      least = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace cypresswall::operators
