/// Readers and writers of one zone's checkpoint, with faults of the store, in virtual time.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/checkpoint/checkpoint_reader.h"
#include "cypresswall/checkpoint/checkpoint_writer.h"
#include "tests/support/engine_world.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::checkpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::VirtualWorld;

constexpr const char* kZone = "hall-a";

class TextPart final : public CheckpointPart {
 public:
  explicit TextPart(std::string part_name) : name_(std::move(part_name)) {}
  std::string name() const override { return name_; }
  std::string encode() const override { return learnt; }
  void restore(const std::string& bytes, common::Duration age) override {
    restored.push_back(bytes);
    restored_age = age;
  }

  std::string learnt;
  std::vector<std::string> restored;
  common::Duration restored_age{0};

 private:
  std::string name_;
};

/// Nodes that share a store; `writer` is the node that all believe to be the writer.
class CheckpointZone {
 public:
  struct Node {
    std::unique_ptr<api::ProcessContext> context;
    std::unique_ptr<testing::SettableMembership> membership;
    TextPart part{"demand"};
    std::unique_ptr<CheckpointReader> reader;
    std::unique_ptr<CheckpointWriter> writer;
  };

  CheckpointZone() { settings.enabled = true; }

  /// Starts a process; an earlier one of the same number ends.
  Node& start(int number) {
    nodes.erase(number);
    auto& process = world.spawn({addressOf(number), ++incarnation_}, kZone);
    Node& node = nodes[number];
    node.context = std::make_unique<api::ProcessContext>(process.context());
    node.membership = std::make_unique<testing::SettableMembership>(process.node(), kZone);
    const auto time_of_day = [this] { return wall_clock + world.now(); };
    const auto lookup = [this, number] {
      return both_write || number == writer ? nodes.at(number).context->self : common::NodeId{};
    };
    node.reader = std::make_unique<CheckpointReader>(settings, *node.context, *node.membership,
                                                     process, time_of_day, lookup);
    node.writer = std::make_unique<CheckpointWriter>(settings, *node.context, process, time_of_day,
                                                     lookup, *node.reader);
    node.reader->addPart(node.part);
    node.reader->start();
    node.writer->start();
    return node;
  }
  void kill(int number) {
    world.kill(addressOf(number));
    nodes.erase(number);
  }
  double count(int number, const std::string& metric) const {
    return world.process(addressOf(number)).counters().total(metric);
  }
  std::string& stored() { return world.store.objects.at(checkpointKey(kZone)).value; }
  void store(const std::string& value) {
    world.store.objects[checkpointKey(kZone)] = {checkpointKey(kZone), 7, value, "test"};
  }
  Checkpoint savedNow(const std::string& bytes) const {
    Checkpoint checkpoint;
    checkpoint.zone = kZone;
    checkpoint.store_incarnation = world.store.incarnation;
    checkpoint.parts["demand"] = {bytes, wall_clock + world.now()};
    return checkpoint;
  }
  static common::Address addressOf(int number) {
    return "10.0.0." + std::to_string(number) + ":7000";
  }

  VirtualWorld world{1};
  CheckpointSettings settings;
  common::Duration wall_clock = std::chrono::hours(100);
  int writer = 1;
  bool both_write = false;
  std::map<int, Node> nodes;

 private:
  std::uint64_t incarnation_ = 0;
};

class CheckpointZoneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckpointZoneTest);
  CPPUNIT_TEST(learntStateSurvivesRestartOfAllNodes);
  CPPUNIT_TEST(callsDoNotGrowWithTheZone);
  CPPUNIT_TEST(unchangedStateIsNotWritten);
  CPPUNIT_TEST(uselessObjectsDoNoHarm);
  CPPUNIT_TEST(unknownPartsSurviveARewrite);
  CPPUNIT_TEST(newerSchemaIsLeftAlone);
  CPPUNIT_TEST(writerThatDiesLeavesAUsableObject);
  CPPUNIT_TEST(storeAwayAtStartIsReadLater);
  CPPUNIT_TEST(storeAwayForLongIsNotAskedForEver);
  CPPUNIT_TEST(twoWritersDoNotLoseEachOthersParts);
  CPPUNIT_TEST(lostAnswerIsReadBack);
  CPPUNIT_TEST(partsBeyondTheLimitAreDropped);
  CPPUNIT_TEST(restoredStoreIsWrittenAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void learntStateSurvivesRestartOfAllNodes() {
    CheckpointZone zone;
    for (int number = 1; number <= 3; ++number) {
      zone.start(number);
    }
    zone.world.runFor(seconds(1));
    zone.nodes.at(1).part.learnt = "rates";
    zone.world.runFor(seconds(20));
    for (int number = 1; number <= 3; ++number) {
      zone.start(number);
    }
    zone.world.runFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.nodes.at(1).part.restored.size());
    CPPUNIT_ASSERT_EQUAL(std::string("rates"), zone.nodes.at(1).part.restored[0]);
    CPPUNIT_ASSERT(zone.nodes.at(1).part.restored_age <= seconds(21));
    CPPUNIT_ASSERT(zone.nodes.at(2).part.restored.empty());
  }

  void callsDoNotGrowWithTheZone() {
    for (const int count : {1, 13, 66, 300}) {
      CheckpointZone zone;
      for (int number = 1; number <= count; ++number) {
        zone.start(number);
      }
      for (int second = 0; second < 60; ++second) {
        zone.nodes.at(1).part.learnt = std::to_string(second);
        zone.world.runFor(seconds(1));
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, zone.world.store.writes);
    }
  }

  void unchangedStateIsNotWritten() {
    CheckpointZone zone;
    zone.start(1).part.learnt = "rates";
    zone.world.runFor(minutes(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.world.store.writes);
    // It is written again before it would be too old to be used.
    zone.world.runFor(minutes(6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, zone.world.store.writes);
  }

  void uselessObjectsDoNoHarm() {
    CheckpointZone good;
    const Checkpoint valid = good.savedNow("rates");
    const std::string text = encodeCheckpoint(valid);
    std::map<std::string, std::string> objects = {
        {"truncated", text.substr(0, text.size() / 2)},
        {"empty", ""},
        {"not JSON", "\xff\xfe"},
        {"huge", text + std::string(1U << 20, ' ')},
    };
    Checkpoint other = valid;
    other.schema = kSchemaVersion + 1;
    objects["other schema"] = encodeCheckpoint(other);
    other = valid;
    other.zone = "hall-b";
    objects["other zone"] = encodeCheckpoint(other);
    other = valid;
    other.store_incarnation = 99;
    objects["other incarnation"] = encodeCheckpoint(other);
    other = valid;
    other.parts["demand"].saved_at -= std::chrono::hours(1);
    objects["too old"] = encodeCheckpoint(other);
    other.parts["demand"].saved_at += std::chrono::hours(2);
    objects["from the future"] = encodeCheckpoint(other);
    for (const auto& [name, value] : objects) {
      CheckpointZone zone;
      zone.store(value);
      zone.start(1);
      zone.world.runFor(seconds(1));
      CPPUNIT_ASSERT_MESSAGE(name, zone.nodes.at(1).part.restored.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1.0,
                                   zone.count(1, "cypresswall_checkpoint_ignored_total"));
    }
    CheckpointZone zone;
    zone.store(text);
    zone.start(1);
    zone.world.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.nodes.at(1).part.restored.size());
  }

  /// Failure: an older build writes the object that a newer one has written.
  void unknownPartsSurviveARewrite() {
    CheckpointZone zone;
    Checkpoint checkpoint = zone.savedNow("old rates");
    checkpoint.parts["later-part"] = {"kept", zone.wall_clock};
    zone.store(encodeCheckpoint(checkpoint));
    zone.start(1).part.learnt = "new rates";
    zone.world.runFor(seconds(20));
    const Checkpoint stored = decodeCheckpoint(zone.stored());
    CPPUNIT_ASSERT_EQUAL(std::string("new rates"), stored.parts.at("demand").bytes);
    CPPUNIT_ASSERT(stored.parts.at("later-part") == checkpoint.parts.at("later-part"));
  }

  void newerSchemaIsLeftAlone() {
    CheckpointZone zone;
    Checkpoint checkpoint = zone.savedNow("rates");
    checkpoint.schema = kSchemaVersion + 1;
    zone.store(encodeCheckpoint(checkpoint));
    zone.start(1).part.learnt = "new rates";
    zone.world.runFor(minutes(9));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.world.store.writes);
    // The newer build has gone for good.
    zone.world.runFor(minutes(3));
    CPPUNIT_ASSERT_EQUAL(kSchemaVersion, decodeCheckpoint(zone.stored()).schema);
  }

  /// Failure: the writer ends between its read and its write.
  void writerThatDiesLeavesAUsableObject() {
    CheckpointZone zone;
    zone.start(1).part.learnt = "first";
    zone.world.runFor(seconds(20));
    zone.start(2);
    zone.world.runFor(seconds(1));
    zone.kill(1);
    zone.writer = 2;
    zone.nodes.at(2).part.learnt = "second";
    zone.world.runFor(seconds(40));
    CPPUNIT_ASSERT_EQUAL(std::string("second"),
                         decodeCheckpoint(zone.stored()).parts.at("demand").bytes);
  }

  void storeAwayAtStartIsReadLater() {
    CheckpointZone zone;
    zone.store(encodeCheckpoint(zone.savedNow("rates")));
    zone.world.store.down = true;
    zone.start(1);
    zone.world.runFor(seconds(2));
    zone.world.store.down = false;
    zone.world.runFor(seconds(7));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.nodes.at(1).part.restored.size());
  }

  void storeAwayForLongIsNotAskedForEver() {
    CheckpointZone zone;
    zone.world.store.down = true;
    zone.start(1).part.learnt = "rates";
    zone.world.runFor(minutes(10));
    CPPUNIT_ASSERT(zone.nodes.at(1).reader->finished());
    CPPUNIT_ASSERT(zone.nodes.at(1).part.restored.empty());
    zone.world.store.down = false;
    zone.world.runFor(minutes(20));
    CPPUNIT_ASSERT(zone.world.store.writes >= 1);
    CPPUNIT_ASSERT(zone.nodes.at(1).part.restored.empty());
  }

  /// Failure: in a partition, each side believes that one of its nodes is the writer.
  void twoWritersDoNotLoseEachOthersParts() {
    CheckpointZone zone;
    zone.both_write = true;
    zone.start(1).part.learnt = "first";
    CheckpointZone::Node& second = zone.start(2);
    TextPart other("other");
    other.learnt = "beside";
    second.reader->addPart(other);
    zone.world.runFor(minutes(2));
    const Checkpoint stored = decodeCheckpoint(zone.stored());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), stored.parts.at("demand").bytes);
    CPPUNIT_ASSERT_EQUAL(std::string("beside"), stored.parts.at("other").bytes);
    zone.kill(2);
  }

  void lostAnswerIsReadBack() {
    CheckpointZone zone;
    zone.world.store.lost_answers = 1;
    zone.start(1).part.learnt = "first";
    zone.world.runFor(seconds(20));
    zone.world.store.lost_answers = 0;
    zone.nodes.at(1).part.learnt = "second";
    zone.world.runFor(minutes(2));
    CPPUNIT_ASSERT_EQUAL(std::string("second"),
                         decodeCheckpoint(zone.stored()).parts.at("demand").bytes);
  }

  void partsBeyondTheLimitAreDropped() {
    CheckpointZone zone;
    Checkpoint checkpoint = zone.savedNow("rates");
    checkpoint.parts["later-part"] = {std::string(20000, 'x'), zone.wall_clock};
    zone.store(encodeCheckpoint(checkpoint));
    zone.start(1).part.learnt = std::string(10000, 'y');
    zone.world.runFor(seconds(20));
    const Checkpoint stored = decodeCheckpoint(zone.stored());
    CPPUNIT_ASSERT(zone.stored().size() <= zone.settings.maximum_bytes);
    CPPUNIT_ASSERT(stored.parts.contains("demand"));
    CPPUNIT_ASSERT(!stored.parts.contains("later-part"));
  }

  void restoredStoreIsWrittenAgain() {
    CheckpointZone zone;
    zone.world.store.copy();
    zone.start(1).part.learnt = "first";
    zone.world.runFor(seconds(20));
    zone.world.store.restore();
    zone.nodes.at(1).part.learnt = "second";
    zone.world.runFor(minutes(2));
    CPPUNIT_ASSERT_EQUAL(std::string("second"),
                         decodeCheckpoint(zone.stored()).parts.at("demand").bytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckpointZoneTest);

}  // namespace
}  // namespace cypresswall::checkpoint
