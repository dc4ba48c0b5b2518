/// Nodes of a fleet declared by the platform. Guards against nodes that ignore or modify the
/// declared configuration, and against corrupted or repeated pass-through requests after an engine
/// crash.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/static_view.h"
#include "cypresswall/emulation/answer.h"
#include "cypresswall/membership/messages.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::node {
namespace {

using configuration::FleetConfiguration;
using simulation::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kTokens = 200;
constexpr std::uint64_t kContentHash = 77;
constexpr std::uint64_t kVersion = 41;
constexpr const char* kNonRepeatableService = "once";

struct PassThroughCaller final : execution::ModelCallObserver {
  void onHead(const engines::AnswerHead& head) override { heads.push_back(head); }
  void onToken(std::uint32_t, const std::string& text) override { body += text; }
  void onFinished(const engines::StreamUsage&) override { done = true; }
  void onError(const execution::ExecutionError& given) override { error = given; }
  bool ended() const { return done || error.has_value(); }

  std::vector<engines::AnswerHead> heads;
  std::string body;
  bool done = false;
  std::optional<execution::ExecutionError> error;
};

class DeclaredFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeclaredFleetTest);
  CPPUNIT_TEST(notReadyBeforeDeclaration);
  CPPUNIT_TEST(declaredFleetIsReadOnlyForOperators);
  CPPUNIT_TEST(resumedPassThroughAnswerKeepsBytesAndFirstHead);
  CPPUNIT_TEST(operatorsSeeAdvertisedRateLimits);
  CPPUNIT_TEST(nonRepeatableRequestRunsOnceAndEndsUnknown);
  CPPUNIT_TEST(nodeEndsAlthoughItsLastMessageCouldNotBeSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    settings_.topology.zones = 1;
    settings_.topology.engines_per_zone = 3;
    settings_.declared = &declared_;
    fleet_ = std::make_unique<SimulatedFleet>(1, settings_);
  }
  void tearDown() override {
    caller_handle_.reset();
    fleet_.reset();
  }

  void notReadyBeforeDeclaration() {
    fleet_->startNode(0);
    fleet_->time().runFor(seconds(30));
    CPPUNIT_ASSERT(!node().ready());
    declared_.set(declaration());
    CPPUNIT_ASSERT(node().ready());
    CPPUNIT_ASSERT_EQUAL(kVersion, node().configurationView().current()->version);
    CPPUNIT_ASSERT(!node().configuration().ready());
  }

  void declaredFleetIsReadOnlyForOperators() {
    bringUp();
    const auto engines = command("show engines");
    CPPUNIT_ASSERT(engines.status == operators::CommandStatus::kOk);
    CPPUNIT_ASSERT_EQUAL(kVersion, engines.version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, engines.table.rows.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, command("show services").table.rows.size());
    const auto zone = command("show zones").table.rows.at(0);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(kVersion), std::get<std::int64_t>(zone.at(4)));
    for (const auto& row : command("show nodes").table.rows) {
      CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(kVersion), std::get<std::int64_t>(row.at(5)));
    }
    const auto refused = command("drain engine " + simulation::engineName(0, 0));
    CPPUNIT_ASSERT(refused.status == operators::CommandStatus::kRefused);
    CPPUNIT_ASSERT(refused.message.find("declared by the platform") != std::string::npos);
  }

  void resumedPassThroughAnswerKeepsBytesAndFirstHead() {
    bringUp();
    sendRequest(simulation::kModelServiceName);
    const auto first = crashEngineMidStream();
    fleet_->time().runFor(seconds(60));
    CPPUNIT_ASSERT(caller_.done);
    CPPUNIT_ASSERT_EQUAL(wholeAnswer(), caller_.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller_.heads.size());
    CPPUNIT_ASSERT_EQUAL(first, caller_.heads[0].headers.at(0).value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs());
    const auto account = command("show retries").table.rows.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string(simulation::kModelName), std::get<std::string>(account.at(0)));
    CPPUNIT_ASSERT(std::get<double>(account.at(4)) > 0);
  }

  void operatorsSeeAdvertisedRateLimits() {
    bringUp();
    for (const auto& [address, engine] : fleet_->engines().all()) {
      emulation::EngineFaults faults;
      faults.rate_limit = 1.5;
      engine->setFaults(faults);
    }
    sendRequest(simulation::kModelServiceName);
    fleet_->time().runFor(seconds(5));
    const auto limits = command("show limits").table.rows;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits.size());
    CPPUNIT_ASSERT_EQUAL(1.5, std::get<double>(limits[0].at(1)));
    CPPUNIT_ASSERT(!std::get<std::string>(limits[0].at(3)).empty());
    const auto engine = std::get<std::string>(limits[0].at(0));
    bool explained = false;
    for (const auto& row : command("why engine " + engine).table.rows) {
      explained = explained || std::get<std::string>(row.at(0)) == "limit";
    }
    CPPUNIT_ASSERT(explained);
  }

  void nonRepeatableRequestRunsOnceAndEndsUnknown() {
    bringUp();
    sendRequest(kNonRepeatableService);
    crashEngineMidStream();
    fleet_->time().runFor(seconds(60));
    CPPUNIT_ASSERT(caller_.error.has_value());
    CPPUNIT_ASSERT(caller_.error->outcome == execution::Outcome::kUnknown);
    CPPUNIT_ASSERT(caller_.error->kind == execution::ErrorKind::kBackendFailed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, wholeAnswer().find(caller_.body));
  }

  // A node that was told to stop went on for good if its last message couldn't be sent.
  void nodeEndsAlthoughItsLastMessageCouldNotBeSent() {
    bringUp();
    fleet_->simulation().network().onSend([failed = false](const api::Envelope& envelope) mutable {
      if (envelope.type == membership::ShutdownNotice::kType && !std::exchange(failed, true)) {
        throw std::runtime_error("send");
      }
    });
    const auto stop = [this] {
      fleet_->stopNode(0);
      fleet_->time().runFor(seconds(60));
    };
    CPPUNIT_ASSERT_THROW(stop(), std::runtime_error);
    CPPUNIT_ASSERT(fleet_->running(0));
    fleet_->time().runFor(seconds(60));
    CPPUNIT_ASSERT(!fleet_->running(0));
  }

 private:
  FleetConfiguration declaration() const {
    configuration::ConfigurationChange change;
    change.version = kVersion;
    change.objects = simulation::declarations(settings_.topology);
    auto fleet = configuration::applyChange({}, change);
    auto once = fleet.model_services.at(simulation::kModelServiceName);
    once.name = kNonRepeatableService;
    once.repeatable = false;
    fleet.model_services[kNonRepeatableService] = once;
    return fleet;
  }

  void bringUp() {
    declared_.set(declaration());
    fleet_->bringUp();
    fleet_->time().runFor(seconds(10));
  }

  Node& node() { return *fleet_->slot(0).node; }

  operators::CommandResponse command(const std::string& text) {
    operators::CommandRequest request;
    request.command = text;
    std::optional<operators::CommandResponse> response;
    node().commands().execute(
        request, [&](operators::CommandResponse given) { response = std::move(given); });
    return response.value();
  }

  void sendRequest(const std::string& service) {
    execution::ModelCall call;
    call.request_id = "request";
    call.service = service;
    call.maximum_tokens = kTokens;
    call.shape.tokens = 600;
    call.shape.content_hash = kContentHash;
    call.pass_through = std::make_shared<const engines::PassThroughRequest>(
        engines::PassThroughRequest{"POST", "/chat?a=%20b", {{"X-One", "1"}}, "raw body"});
    fleet_->slot(0).process->deliver(
        [this, call] { caller_handle_ = node().modelExecutor().start(call, caller_); });
  }

  /// \return the address of the engine that had started the response
  std::string crashEngineMidStream() {
    CPPUNIT_ASSERT(
        fleet_->time().runUntilTrue([this] { return !caller_.body.empty(); }, seconds(10)));
    CPPUNIT_ASSERT(!caller_.ended());
    auto address = caller_.heads.at(0).headers.at(0).value;
    fleet_->engines().crash(address);
    return address;
  }

  std::size_t runs() const {
    std::size_t streams = 0;
    for (const auto& [address, engine] : fleet_->engines().all()) {
      streams += engine->ledger().streams.size();
    }
    return streams;
  }

  static std::string wholeAnswer() {
    return emulation::expectedAnswer(
        emulation::answerSeed(simulation::kModelName, simulation::kModelVersion, "", kContentHash),
        kTokens);
  }

  configuration::StaticConfigurationView declared_;
  simulation::FleetSettings settings_;
  PassThroughCaller caller_;
  std::unique_ptr<SimulatedFleet> fleet_;
  std::unique_ptr<execution::ModelExecution> caller_handle_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeclaredFleetTest);

}  // namespace
}  // namespace cypresswall::node
