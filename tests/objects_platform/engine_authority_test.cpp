/// Guards against nodes of several regions giving orders to one engine. Each region elects its own
/// lease holder and counts its terms from 1, so an engine that two regions consider theirs gets
/// orders of two holders under one fencing token.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/common/random.h"
#include "cypresswall/routing/engine_table.h"
#include "platform/fleet_translation.h"

namespace cypresswall::objects_platform {
namespace {

constexpr int kSeeds = 20;
constexpr int kChanges = 200;
constexpr std::size_t kZonesPerRegion = 2;
constexpr const char* kService = "llm";

/// Several regions, each of which translates the same runners and keeps its own engine table.
class Regions {
 public:
  Regions(std::size_t count, std::uint64_t seed) : random_(seed) {
    OperatorService service;
    service.name = kService;
    service.is_model = true;
    service.models = {"m"};
    declared_.version = 1;
    declared_.services[kService] = service;
    std::map<std::string, std::string> regions;
    for (std::size_t region = 0; region < count; ++region) {
      names_.push_back("region-" + std::to_string(region));
      for (std::size_t zone = 0; zone < kZonesPerRegion; ++zone) {
        zones_.push_back(names_.back() + "-" + std::to_string(zone));
        regions[zones_.back()] = names_.back();
      }
    }
    for (const std::string& name : names_) {
      views_.emplace_back(name, regions);
      tables_.push_back(std::make_unique<routing::EngineTable>(settings_));
    }
  }

  /// A runner starts, starts again under its id, begins to drain, or ends.
  void change() {
    const std::string id = "i-" + std::to_string(random_.below(60));
    const std::uint64_t kind = random_.below(4);
    if (kind == 0) {
      runners_.erase(id);
      return;
    }
    Runner& runner = runners_[id];
    const bool started = runner.id.empty() || kind == 1;
    if (started) {
      runner.id = id;
      runner.start_time_ms = ++clock_;
      runner.service = kService;
      runner.zone = zones_[random_.below(zones_.size())];
      runner.address = "10.0.0.1:" + std::to_string(1000 + clock_);
    }
    runner.state = kind == 2 ? RunnerState::kDraining : RunnerState::kReady;
  }

  void requireOneRegionPerEngine() {
    std::map<common::EngineName, std::vector<std::string>> regions_of;
    for (std::size_t region = 0; region < names_.size(); ++region) {
      const auto fleet = translateFleet(declared_, runners_, views_[region], {});
      tables_[region]->declare(fleet, names_[region], common::MonotonicTime{});
      for (const auto& name : tables_[region]->names()) {
        regions_of[name].push_back(names_[region]);
      }
    }
    for (const auto& [id, runner] : runners_) {
      const auto& regions = regions_of[engineNameOf(runner)];
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, regions.size());
      CPPUNIT_ASSERT_EQUAL(views_.front().regionOf(runner.zone), regions.front());
    }
  }

 private:
  common::SeededRandom random_;
  routing::DirectorySettings settings_;
  OperatorConfiguration declared_;
  std::vector<std::string> names_;
  std::vector<std::string> zones_;
  std::vector<ZoneRegions> views_;
  std::vector<std::unique_ptr<routing::EngineTable>> tables_;
  std::map<std::string, Runner> runners_;
  std::uint64_t clock_ = 0;
};

class EngineAuthorityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineAuthorityTest);
  CPPUNIT_TEST(eachEngineBelongsToOneRegion);
  CPPUNIT_TEST(engineOfUnknownRegionBelongsToNone);
  CPPUNIT_TEST(unlistedZoneOfOnlyRegionBelongsToIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void eachEngineBelongsToOneRegion() {
    for (const std::size_t count : {2, 3, 5}) {
      for (int seed = 1; seed <= kSeeds; ++seed) {
        Regions regions(count, static_cast<std::uint64_t>(seed));
        for (int change = 0; change < kChanges; ++change) {
          regions.change();
        }
        regions.requireOneRegionPerEngine();
        regions.change();
        regions.requireOneRegionPerEngine();
      }
    }
  }

  void engineOfUnknownRegionBelongsToNone() {
    const ZoneRegions view("region-0", {{"a", "region-0"}, {"b", "region-1"}});
    CPPUNIT_ASSERT_EQUAL(std::string(), view.regionOf("not listed"));
  }

  void unlistedZoneOfOnlyRegionBelongsToIt() {
    CPPUNIT_ASSERT_EQUAL(std::string("only"), ZoneRegions("only").regionOf("a"));
    const ZoneRegions listed("only", {{"a", "only"}});
    CPPUNIT_ASSERT_EQUAL(std::string("only"), listed.regionOf("b"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineAuthorityTest);

}  // namespace
}  // namespace cypresswall::objects_platform
