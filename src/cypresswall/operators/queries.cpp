#include "cypresswall/operators/queries.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "cypresswall/configuration/duration_text.h"
#include "cypresswall/configuration/object_kind.h"
#include "cypresswall/operators/change_builder.h"
#include "cypresswall/operators/vocabulary.h"

namespace cypresswall::operators {
namespace {

using Row = std::vector<Cell>;

Cell text(const std::string& value) { return value; }
Cell text(const char* value) { return std::string(value); }
template <typename Number>
Cell count(Number value) {
  return static_cast<std::int64_t>(value);
}
Cell milliseconds(common::Duration value) {
  return count(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

Cell roundedToHundredths(double value) {
  constexpr double kHundredths = 100;
  return std::round(value * kHundredths) / kHundredths;
}

const char* toString(engines::EngineState state) {
  switch (state) {
    case engines::EngineState::kReady:
      return "ready";
    case engines::EngineState::kChanging:
      return "changing";
    case engines::EngineState::kFailed:
      break;
  }
  return "failed";
}

ResultTable tableOf(Subject subject) { return ResultTable{columnsOf(subject), {}}; }

ResultTable explanationTable(const std::vector<Explanation>& lines) {
  ResultTable table{{"item", "value"}, {}};
  for (const Explanation& line : lines) {
    table.rows.push_back({text(line.item), text(line.value)});
  }
  return table;
}

/// \return for example "set engine e1, remove tenant t".
std::string describeObjects(const configuration::LoggedChange& entry) {
  std::string description;
  for (const configuration::ObjectChange& object : entry.change.objects) {
    description.append(description.empty() ? "" : ", ");
    description.append(object.removed ? "remove " : "set ");
    description.append(configuration::toString(object.kind)).append(" ").append(object.name);
  }
  return description;
}

Row changeRow(const configuration::ChangeRecord& record, const configuration::ChangeLog& log) {
  const configuration::LoggedChange* entry = log.find(record.version);
  return {count(record.version), text(record.change_id), text(record.author),
          text(entry == nullptr ? "(not kept on this node)" : describeObjects(*entry))};
}

Row engineRow(const configuration::EngineDeclaration& declared, const EngineRow* live,
              const configuration::EngineOverride* engine_override) {
  const bool drained = engine_override != nullptr && engine_override->drained;
  const bool pinned = engine_override != nullptr && engine_override->role_pinned;
  Row row = {text(declared.name), text(declared.zone), text(declared.machine),
             text(declared.address)};
  if (live == nullptr || !live->seen) {
    const Row unseen = {text(declared.model),
                        text(""),
                        text(engines::toString(declared.initial_role)),
                        text("unseen"),
                        count(0),
                        count(0),
                        count(0),
                        count(0),
                        0.0,
                        drained,
                        pinned,
                        text(""),
                        text(""),
                        text(declared.build)};
    row.insert(row.end(), unseen.begin(), unseen.end());
    return row;
  }
  const std::string cache = std::to_string(live->cache_pieces_used)
                                .append("/")
                                .append(std::to_string(live->cache_pieces_total));
  const Row seen = {text(live->model),
                    text(live->version),
                    text(engines::toString(live->role)),
                    text(toString(live->state)),
                    count(live->running_streams),
                    count(live->waiting_streams),
                    count(live->maximum_streams),
                    milliseconds(live->token_gap),
                    roundedToHundredths(live->slowness),
                    drained,
                    pinned,
                    text(cache),
                    milliseconds(live->age),
                    text(declared.build)};
  row.insert(row.end(), seen.begin(), seen.end());
  return row;
}

template <typename Objects>
const typename Objects::mapped_type* findOrNull(const Objects& objects, const std::string& name) {
  const auto found = objects.find(name);
  return found == objects.end() ? nullptr : &found->second;
}

}  // namespace

ResultTable Queries::show(const ShowCommand& command) const {
  ResultTable table;
  switch (command.subject) {
    case Subject::kEngines:
      table = engines(command);
      break;
    case Subject::kRequests:
      table = requests();
      break;
    case Subject::kServices:
      table = services();
      break;
    case Subject::kModels:
      table = models();
      break;
    case Subject::kZones:
      table = zones();
      break;
    case Subject::kChanges:
      table = changes();
      break;
    case Subject::kLeases:
      table = leases();
      break;
    case Subject::kNodes:
      table = nodes();
      break;
    case Subject::kTenants:
      table = tenants();
      break;
    case Subject::kRetries:
      table = retries();
      break;
    case Subject::kQuarantine:
      table = quarantine();
      break;
    case Subject::kLimits:
      table = limits();
      break;
    case Subject::kUsage:
      table = usage();
      break;
    case Subject::kCapacity:
      table = capacity();
      break;
  }
  filterRows(table, command.conditions);
  return table;
}

/// Lists the engines of this zone. Engines of other zones are listed only if the command has a
/// condition on the column "zone" that their zone satisfies, since this node has no load reports of
/// these engines.
ResultTable Queries::engines(const ShowCommand& command) const {
  ResultTable table = tableOf(Subject::kEngines);
  std::map<common::EngineName, EngineRow> live;
  for (const EngineRow& row : providers_.engines()) {
    live[row.name] = row;
  }
  const auto named = [&](const common::ZoneName& zone) {
    return std::any_of(command.conditions.begin(), command.conditions.end(), [&](const auto& one) {
      return one.column == "zone" && matches(Cell{zone}, one.comparison, one.value);
    });
  };
  const auto fleet = configuration_.current();
  for (const auto& [name, declared] : fleet->engines) {
    if (declared.zone == zone_ || named(declared.zone)) {
      table.rows.push_back(
          engineRow(declared, findOrNull(live, name), findOrNull(fleet->engine_overrides, name)));
    }
  }
  return table;
}

ResultTable Queries::requests() const {
  ResultTable table = tableOf(Subject::kRequests);
  for (const RequestRow& row : providers_.requests()) {
    table.rows.push_back({text(row.id), text(row.tenant), text(row.service), text(row.engine),
                          text(row.state), count(row.tokens), milliseconds(row.age)});
  }
  return table;
}

ResultTable Queries::services() const {
  ResultTable table = tableOf(Subject::kServices);
  const auto fleet = configuration_.current();
  for (const auto& [name, service] : fleet->model_services) {
    table.rows.push_back({text(name), text("model"), text(service.model), text(service.adapter),
                          text(configuration::toString(service.urgency)),
                          text(configuration::formatDuration(service.first_token_limit)),
                          text(configuration::formatDuration(service.between_tokens_limit)),
                          count(service.maximum_tokens), count(0)});
  }
  for (const auto& [name, service] : fleet->http_services) {
    table.rows.push_back({text(name), text("http"), text(""), text(""),
                          text(configuration::toString(service.urgency)), text(""), text(""),
                          count(0), count(service.backends.size())});
  }
  return table;
}

ResultTable Queries::models() const {
  ResultTable table = tableOf(Subject::kModels);
  const auto fleet = configuration_.current();
  std::map<common::ModelName, std::int64_t> engines_of;
  for (const auto& [name, engine] : fleet->engines) {
    ++engines_of[engine.model];
  }
  for (const auto& [name, model] : fleet->models) {
    std::string adapters;
    for (const auto& adapter : model.adapters) {
      adapters.append(adapters.empty() ? "" : ",").append(adapter.name);
    }
    table.rows.push_back({text(name), text(model.version), text(model.weights_uri), text(adapters),
                          Cell{engines_of[name]}});
  }
  return table;
}

ResultTable Queries::zones() const {
  ResultTable table = tableOf(Subject::kZones);
  const auto fleet = configuration_.current();
  const auto versions = zoneVersions();
  std::map<common::ZoneName, std::int64_t> engines_in;
  for (const auto& [name, engine] : fleet->engines) {
    ++engines_in[engine.zone];
  }
  std::map<common::ZoneName, std::string> summaries;
  for (const ZoneSummaryRow& row : providers_.zoneSummaries()) {
    summaries[row.zone] = row.summary;
  }
  std::map<common::ZoneName, std::string> region_of;
  for (const auto& [name, zone] : fleet->zones) {
    region_of[name] = zone.region;
  }
  for (const auto& [name, version] : versions) {
    region_of.try_emplace(name);
  }
  for (const auto& [name, region] : region_of) {
    const auto* version = findOrNull(versions, name);
    table.rows.push_back({text(name), text(region), Cell{engines_in[name]},
                          version == nullptr ? text("not heard") : count(version->newest),
                          version == nullptr ? text("not heard") : count(version->in_force),
                          text(summaries[name])});
  }
  return table;
}

std::map<common::ZoneName, configuration::ZoneVersions> Queries::zoneVersions() const {
  if (&configuration_ == &replica_) {
    return replica_.zoneVersions();
  }
  configuration::ZoneVersions own;
  own.newest = configuration_.current()->version;
  own.in_force = own.newest;
  return {{zone_, own}};
}

ResultTable Queries::changes() const {
  ResultTable table = tableOf(Subject::kChanges);
  const configuration::ChangeLog& log = replica_.log();
  for (const configuration::ChangeRecord& record : log.records()) {
    table.rows.push_back(changeRow(record, log));
  }
  return table;
}

ResultTable Queries::history(const HistoryCommand& command) const {
  ResultTable table = tableOf(Subject::kChanges);
  const configuration::ChangeLog& log = replica_.log();
  const auto& records = log.records();
  const std::size_t shown = std::min<std::size_t>(command.count, records.size());
  for (std::size_t index = 0; index < shown; ++index) {
    table.rows.push_back(changeRow(records[records.size() - 1 - index], log));
  }
  return table;
}

ResultTable Queries::leases() const {
  ResultTable table = tableOf(Subject::kLeases);
  for (const LeaseRow& row : providers_.leases()) {
    table.rows.push_back({text(row.zone), text(row.holder), text(row.epoch), Cell{row.held_here}});
  }
  return table;
}

ResultTable Queries::retries() const {
  ResultTable table = tableOf(Subject::kRetries);
  for (const RetryRow& row : providers_.retries()) {
    table.rows.push_back(
        {text(row.service), Cell{row.used}, Cell{row.left}, count(row.refused), Cell{row.share}});
  }
  return table;
}

ResultTable Queries::quarantine() const {
  ResultTable table = tableOf(Subject::kQuarantine);
  for (const QuarantineRow& row : providers_.quarantine()) {
    table.rows.push_back(
        {text(common::toString(row.request)), Cell{common::toSeconds(row.time_left)}});
  }
  return table;
}

ResultTable Queries::limits() const {
  ResultTable table = tableOf(Subject::kLimits);
  for (const RateLimitRow& row : providers_.limits()) {
    table.rows.push_back({text(row.server), Cell{row.requests_per_second}, milliseconds(row.age),
                          text(row.keeper), count(row.granted), count(row.refused)});
  }
  return table;
}

ResultTable Queries::usage() const {
  ResultTable table = tableOf(Subject::kUsage);
  for (const UsageRow& row : providers_.usage()) {
    table.rows.push_back({count(row.window), count(row.requests), count(row.tenants),
                          text(row.state), count(row.token), count(row.nodes_missing),
                          milliseconds(row.age)});
  }
  return table;
}

ResultTable Queries::capacity() const {
  ResultTable table = tableOf(Subject::kCapacity);
  for (const CapacityRow& row : providers_.capacity()) {
    table.rows.push_back({text(row.pool), text(row.location), count(row.lasting),
                          count(row.preemptible), count(row.wanted_lasting),
                          count(row.wanted_preemptible), count(row.token), text(row.reason)});
  }
  return table;
}

ResultTable Queries::nodes() const {
  ResultTable table = tableOf(Subject::kNodes);
  const auto fleet = configuration_.current();
  for (const NodeRow& row : providers_.nodes()) {
    const bool drained =
        fleet->drained_nodes.count(row.address) > 0 || fleet->drained_nodes.count(row.machine) > 0;
    table.rows.push_back({text(row.address), text(zone_), text(row.machine), text(row.state),
                          text(row.gateway_address), count(row.configuration_version),
                          Cell{drained}, count(row.message_set)});
  }
  return table;
}

ResultTable Queries::tenants() const {
  ResultTable table = tableOf(Subject::kTenants);
  std::map<common::TenantName, TenantShareRow> shares;
  for (TenantShareRow& row : providers_.tenantShares()) {
    shares.emplace(row.tenant, row);
  }
  for (const auto& [name, tenant] : configuration_.current()->tenants) {
    const TenantShareRow& row = shares[name];
    table.rows.push_back({text(name), Cell{tenant.requests_per_second},
                          Cell{tenant.tokens_per_second}, Cell{row.share}, count(row.asked),
                          count(row.admitted), count(row.refused)});
  }
  return table;
}

ResultTable Queries::why(const WhyCommand& command) const {
  std::vector<Explanation> lines;
  switch (command.subject) {
    case WhySubject::kEngine:
      lines = providers_.explainEngine(command.name);
      break;
    case WhySubject::kRequest:
      lines = providers_.explainRequest(command.name);
      break;
    case WhySubject::kChange:
      lines = explainChange(command.name);
      break;
  }
  if (lines.empty()) {
    throw CommandError("nothing is known here of " + nameOf(kWhySubjects, command.subject) + " " +
                       command.name);
  }
  return explanationTable(lines);
}

std::vector<Explanation> Queries::explainChange(const std::string& name) const {
  const configuration::ChangeLog& log = replica_.log();
  const auto& records = log.records();
  const auto record = std::find_if(records.begin(), records.end(), [&](const auto& known) {
    return known.change_id == name || std::to_string(known.version) == name;
  });
  if (record == records.end()) {
    return {};
  }
  std::vector<Explanation> lines = {{"version", std::to_string(record->version)},
                                    {"change", record->change_id},
                                    {"author", record->author}};
  if (const configuration::LoggedChange* entry = log.find(record->version)) {
    for (const configuration::ObjectChange& object : entry->change.objects) {
      const std::string what =
          std::string(configuration::toString(object.kind)) + " " + object.name;
      const bool secret = object.kind == configuration::ObjectKind::kTenant;
      const std::string value = secret ? "(not shown: holds a key)" : object.value_json;
      lines.push_back({what, object.removed ? "removed" : value});
    }
  }
  for (const auto& [zone, versions] : replica_.zoneVersions()) {
    const bool in_force = versions.in_force >= record->version;
    lines.push_back({std::string("in force in ").append(zone), in_force ? "yes" : "not yet"});
  }
  return lines;
}

ResultTable Queries::help(const HelpCommand& command) {
  ResultTable table{{"command", "syntax", "meaning"}, {}};
  for (const CommandHelp& help : commandHelp()) {
    if (command.topic.empty() || command.topic == help.command) {
      table.rows.push_back(
          {std::string(help.command), std::string(help.syntax), std::string(help.meaning)});
    }
  }
  return table;
}

}  // namespace cypresswall::operators
