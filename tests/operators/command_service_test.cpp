#include "cypresswall/operators/command_service.h"

#include <algorithm>

#include "cypresswall/operators/command_api.h"
#include "cypresswall/operators/rendering.h"
#include "cypresswall/operators/vocabulary.h"
#include "tests/configuration/replica_fleet.h"
#include "tests/support/property.h"

namespace cypresswall::operators {
namespace {

using namespace std::chrono_literals;
using configuration::testing::ReplicaFleet;

const char* const kFleet = R"(zones: [{name: zone-0}, {name: zone-1}]
models: [{name: dispatch, version: "1"}]
engines:
  - {name: e1, zone: zone-0, address: "127.0.0.1:9001", model: dispatch}
  - {name: e2, zone: zone-1, address: "127.0.0.1:9002", model: dispatch}
)";

class FakeProviders final : public StateProviders {
 public:
  std::vector<EngineRow> engines() const override {
    EngineRow row;
    row.name = "e1";
    row.seen = true;
    row.role = engines::EngineRole::kDecode;
    row.running_streams = 3;
    row.maximum_streams = 48;
    row.token_gap = std::chrono::milliseconds(90);
    row.slowness = 1.704;
    return {row};
  }
  std::vector<Explanation> explainEngine(const common::EngineName& name) const override {
    return name == "e1" ? std::vector<Explanation>{{"decision", "kept"}}
                        : std::vector<Explanation>{};
  }
};

/// Records the response to an HTTP request.
class RecordingResponder final : public http::Responder {
 public:
  void respond(int given_status, const std::vector<http::Header>&, std::string given) override {
    status = given_status;
    body = std::move(given);
  }
  void startStream(int, const std::vector<http::Header>&) override {}
  void write(std::string_view) override {}
  void finishStream() override {}
  void abort() override {}
  std::size_t pendingBytes() const override { return 0; }
  void onDrained(std::function<void()>) override {}
  void onClosed(std::function<void()>) override {}

  int status = 0;
  std::string body;
};

std::size_t columnOf(const std::string& name) {
  const auto& columns = columnsOf(Subject::kEngines);
  return static_cast<std::size_t>(std::find(columns.begin(), columns.end(), name) -
                                  columns.begin());
}

class CommandServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandServiceTest);
  CPPUNIT_TEST(appliesFleetFileAndWaitsUntilInForce);
  CPPUNIT_TEST(showsLocalZoneUnlessAnotherIsNamed);
  CPPUNIT_TEST(drainsAndPinsAndUndoes);
  CPPUNIT_TEST(rollsOutAVersion);
  CPPUNIT_TEST(explains);
  CPPUNIT_TEST(refusesWithTheReason);
  CPPUNIT_TEST(retriedChangeIsAcceptedOnce);
  CPPUNIT_TEST(tenantKeysAreHidden);
  CPPUNIT_TEST(answersOverHttp);
  CPPUNIT_TEST(arbitraryBodiesAreAnsweredOrRejected);
  CPPUNIT_TEST(rendersTableJsonAndYaml);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    fleet_ = std::make_unique<ReplicaFleet>(1, 2, 2);
    CPPUNIT_ASSERT(fleet_->convergesTo(0, 10s));
    fleet_->runFor(2s);
    auto& node = fleet_->nodes[0];
    service_ = std::make_unique<CommandService>(node.process->context(), *node.replica, providers_);
  }
  void tearDown() override {
    fleet_.reset();
    service_.reset();
  }

  void appliesFleetFileAndWaitsUntilInForce() {
    const auto response = apply();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, response.zones.size());
    CPPUNIT_ASSERT(response.zones[0].in_force && response.zones[1].in_force);
    CPPUNIT_ASSERT(fleet_->allAt(1));
    CPPUNIT_ASSERT_EQUAL(std::string("nothing to change"), run(applyRequest()).message);
  }

  void showsLocalZoneUnlessAnotherIsNamed() {
    apply();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run("show engines").table.rows.size());
    const auto busy = run("show engines where running >= 3 and role = decode");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), cellText(busy.table.rows.at(0).at(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("48"),
                         cellText(busy.table.rows.at(0).at(columnOf("maximum"))));
    CPPUNIT_ASSERT_EQUAL(std::string("90"), cellText(busy.table.rows[0].at(columnOf("gap_ms"))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         run("show engines where slowness > 1.69").table.rows.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         run("show engines where slowness > 1.7").table.rows.size());
    const auto other = run("show engines where zone = zone-1");
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), cellText(other.table.rows.at(0).at(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("unseen"), cellText(other.table.rows.at(0).at(7)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, run("show zones").table.rows.size());
  }

  void drainsAndPinsAndUndoes() {
    apply();
    accept("drain engine e1");
    accept("pin engine e1 role prefill");
    const auto& pinned = fleet_->nodes[0].replica->current()->engine_overrides.at("e1");
    CPPUNIT_ASSERT(pinned.drained && pinned.role_pinned);
    accept("undrain engine e1");
    accept("unpin engine e1");
    CPPUNIT_ASSERT(fleet_->nodes[0].replica->current()->engine_overrides.empty());
    accept("drain node 10.0.0.2:7000");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_->nodes[0].replica->current()->drained_nodes.size());
    accept("undrain node 10.0.0.2:7000");
    CPPUNIT_ASSERT(fleet_->nodes[0].replica->current()->drained_nodes.empty());
  }

  void rollsOutAVersion() {
    apply();
    accept("declare model dispatch version 2 adapter customs w://c");
    accept("bind service summary to model dispatch adapter customs urgency high");
    accept("declare model dispatch weights w://d");
    const auto fleet = fleet_->nodes[0].replica->current();
    CPPUNIT_ASSERT_EQUAL(std::string("2"), fleet->models.at("dispatch").version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet->models.at("dispatch").adapters.size());
    CPPUNIT_ASSERT_EQUAL(std::string("customs"), fleet->model_services.at("summary").adapter);
  }

  void explains() {
    apply();
    CPPUNIT_ASSERT_EQUAL(std::string("kept"),
                         cellText(run("why engine e1").table.rows.at(0).at(1)));
    CPPUNIT_ASSERT(run("why engine e2").status == CommandStatus::kRefused);
    CPPUNIT_ASSERT(run("why change 1").table.rows.size() > 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run("history 5").table.rows.size());
  }

  void refusesWithTheReason() {
    apply();
    CPPUNIT_ASSERT(run("remove model dispatch").status == CommandStatus::kInvalid);
    CPPUNIT_ASSERT(run("drain node here").status == CommandStatus::kRefused);
    CPPUNIT_ASSERT(run("undrain engine nosuch").status == CommandStatus::kRefused);
    CPPUNIT_ASSERT(run("pin engine nosuch role mixed").status == CommandStatus::kInvalid);
    CPPUNIT_ASSERT(run("show engine").status == CommandStatus::kParseError);
    CommandRequest stale;
    stale.command = "drain engine e1";
    stale.expected_version = 0;
    CPPUNIT_ASSERT(run(stale).status == CommandStatus::kConflict);
    CommandRequest file = applyRequest();
    file.file.text = "engines: [{name: e1}]\n";
    CPPUNIT_ASSERT_EQUAL(std::string("fleet.yaml:1: engines[0].zone: is required"),
                         run(file).message);
    fleet_->store.objects.setFaults({.down = true});
    CPPUNIT_ASSERT(run("drain engine e1").status == CommandStatus::kStoreUnavailable);
    CPPUNIT_ASSERT(fleet_->nodes[0].replica->current()->engine_overrides.empty());
  }

  void retriedChangeIsAcceptedOnce() {
    apply();
    CommandRequest request;
    request.command = "drain engine e1";
    request.change_id = "mine";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, run(request).version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, run("undrain engine e1").version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, run(request).version);
    CPPUNIT_ASSERT(fleet_->nodes[0].replica->current()->engine_overrides.empty());
  }

  void tenantKeysAreHidden() {
    accept("declare tenant t key very-secret");
    for (const char* command : {"show tenants", "show changes", "why change 1", "history"}) {
      const auto text = encodeResponse(run(command)).dump();
      CPPUNIT_ASSERT_MESSAGE(command, text.find("very-secret") == std::string::npos);
    }
  }

  void answersOverHttp() {
    const auto handler = makeCommandHandler(*service_);
    CPPUNIT_ASSERT_EQUAL(200, post(handler, R"({"command":"show zones"})").status);
    CPPUNIT_ASSERT_EQUAL(400, post(handler, R"({"command":"shwo"})").status);
    CPPUNIT_ASSERT_EQUAL(400, post(handler, R"({"command":7})").status);
    CPPUNIT_ASSERT_EQUAL(400, post(handler, "[]").status);
    CPPUNIT_ASSERT_EQUAL(404, post(handler, "{}", "/operators/v2").status);
    CPPUNIT_ASSERT_EQUAL(405, post(handler, "{}", kCommandPath, "GET").status);
    const auto change = post(handler, R"({"command":"declare zone zone-9","author":"ada"})");
    CPPUNIT_ASSERT_EQUAL(200, change.status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, decodeResponse(change.body).version);
  }

  void arbitraryBodiesAreAnsweredOrRejected() {
    cypresswall::testing::requireProperty("no body crashes the API", 300, [&] {
      std::string body = R"({"command":"show zones","expect_version":3,"wait":false,"file":""})";
      const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
      body.replace(position, *rc::gen::inRange<std::size_t>(0, 6),
                   *rc::gen::arbitrary<std::string>());
      RC_ASSERT(post(makeCommandHandler(*service_), body).status >= 200);
    });
  }

  void rendersTableJsonAndYaml() {
    CommandResponse response;
    response.table = {{"engine", "running"},
                      {{Cell{std::string("e\n1")}, Cell{std::int64_t{3}}},
                       {Cell{std::string("engine-2")}, Cell{std::int64_t{12}}}}};
    CPPUNIT_ASSERT_EQUAL(std::string("engine    running\ne 1       3\nengine-2  12\n"),
                         renderResponse(response, "", OutputFormat::kTable));
    const auto parsed = nlohmann::json::parse(renderResponse(response, "", OutputFormat::kJson));
    CPPUNIT_ASSERT_EQUAL(12, parsed.at(1).at("running").get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("- engine: \"e\\n1\"\n  running: 3\n- engine: \"engine-2\"\n  "
                                     "running: 12\n"),
                         renderResponse(response, "", OutputFormat::kYaml));
  }

 private:
  static CommandRequest applyRequest() {
    CommandRequest request;
    request.command = "apply fleet.yaml";
    request.file = {"fleet.yaml", kFleet};
    request.wait = true;
    return request;
  }

  CommandResponse run(const CommandRequest& request) {
    std::optional<CommandResponse> given;
    service_->execute(request, [&](const CommandResponse& response) { given = response; });
    fleet_->simulation.time().runUntilTrue([&] { return given.has_value(); }, 30s);
    CPPUNIT_ASSERT_MESSAGE(request.command, given.has_value());
    return *given;
  }
  CommandResponse run(const std::string& command) {
    CommandRequest request;
    request.command = command;
    return run(request);
  }
  CommandResponse accept(const std::string& command) {
    auto response = run(command);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(command + ": " + response.message, std::string("accepted"),
                                 std::string(toString(response.status)));
    return response;
  }
  CommandResponse apply() {
    auto response = run(applyRequest());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.message, std::string("accepted"),
                                 std::string(toString(response.status)));
    return response;
  }
  RecordingResponder post(const http::Handler& handler, const std::string& body,
                          const std::string& path = kCommandPath,
                          const std::string& method = "POST") {
    const auto responder = std::make_shared<RecordingResponder>();
    http::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    handler(request, responder);
    fleet_->simulation.time().runUntilTrue([&] { return responder->status != 0; }, 30s);
    return *responder;
  }

  FakeProviders providers_;
  std::unique_ptr<CommandService> service_;
  std::unique_ptr<ReplicaFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandServiceTest);

}  // namespace
}  // namespace cypresswall::operators
