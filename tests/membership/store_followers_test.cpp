#include "cypresswall/membership/store_followers.h"

#include <set>

#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTopic = DigestTopic::kListedEnginesRevision;

/// A membership whose digests a test sets.
class DigestMembership final : public MembershipView {
 public:
  explicit DigestMembership(common::NodeId self) : self_(std::move(self)) {}

  const common::NodeId& self() const override { return self_; }
  const common::ZoneName& zone() const override { return zone_; }
  std::vector<Member> members() const override { return members_; }
  bool machineLeaving(const common::MachineName&) const override { return false; }
  bool addressLeaving(const common::Address&) const override { return false; }
  bool surelyDead(const common::NodeId&) const override { return false; }
  void setDigest(DigestTopic, std::uint64_t value) override { own_digest = value; }
  std::optional<std::uint64_t> digest(const common::NodeId& node, DigestTopic) const override {
    const auto found = digests_.find(node);
    return found == digests_.end() ? std::nullopt : std::make_optional(found->second);
  }
  void onChange(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }
  void setMembers(std::vector<Member> members) {
    members_ = std::move(members);
    notify();
  }
  void tell(const common::NodeId& node, std::uint64_t revision) {
    digests_[node] = revision;
    notify();
  }

  std::uint64_t own_digest = 0;

 private:
  void notify() {
    for (const auto& listener : listeners_) {
      listener();
    }
  }

  common::NodeId self_;
  common::ZoneName zone_ = "z";
  std::vector<Member> members_;
  std::map<common::NodeId, std::uint64_t> digests_;
  std::vector<std::function<void()>> listeners_;
};

common::NodeId nodeOf(int number) { return {"10.0.0." + std::to_string(number + 1) + ":7000", 1}; }

std::vector<Member> membersOf(int count) {
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back(Member{nodeOf(i), "", MemberState::kAlive, ""});
  }
  return members;
}

class StoreFollowersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreFollowersTest);
  CPPUNIT_TEST(aFewNodesAskOften);
  CPPUNIT_TEST(nodesThatAreNotAliveAskForNobody);
  CPPUNIT_TEST(asksAgainForWhatAPeerKnows);
  CPPUNIT_TEST(ownWatchComesFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aFewNodesAskOften() {
    for (const int count : {1, 2, 3, 9, 59}) {
      CPPUNIT_ASSERT_EQUAL(std::min(count, 3), frequentNodes(membersOf(count)));
    }
  }

  void nodesThatAreNotAliveAskForNobody() {
    auto members = membersOf(9);
    for (int i = 0; i < 9; i += 2) {
      members[static_cast<std::size_t>(i)].state = MemberState::kSuspect;
    }
    int alive_that_ask = 0;
    for (int i = 1; i < 9; i += 2) {
      alive_that_ask += asksOften(nodeOf(i), members) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(3, alive_that_ask);
  }

  void asksAgainForWhatAPeerKnows() {
    Follower follower;
    follower.membership.tell(nodeOf(1), 8);
    follower.run(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, follower.looks);
    // With 0.4 s a storm of configurations after a silent store broke the bound of 2 s: hinokuni
    // hunt-76f4-19.
    follower.run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1, follower.looks);
    follower.revision = 8;
    follower.membership.tell(nodeOf(2), 8);
    follower.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(1, follower.looks);
  }

  void ownWatchComesFirst() {
    Follower follower;
    follower.membership.tell(nodeOf(1), 8);
    follower.run(milliseconds(50));
    follower.revision = 9;
    follower.followers->changed(kTopic, 9);
    follower.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, follower.looks);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, follower.membership.own_digest);
  }

 private:
  /// Node 0 of three, which knows revision 7.
  struct Follower {
    Follower() {
      membership.setMembers(membersOf(3));
      followers =
          &process.emplace<StoreFollowers>(StoreFollowerSettings{}, process.context(), membership);
      followers->follow(
          kTopic, [this] { return revision; }, [this] { ++looks; });
    }
    void run(common::Duration time) { simulation.time().runFor(time); }

    DigestMembership membership{nodeOf(0)};
    simulation::Simulation simulation{1};
    simulation::SimulatedProcess& process = simulation.start("10.0.0.1:7000", "z");
    StoreFollowers* followers = nullptr;
    std::uint64_t revision = 7;
    int looks = 0;
  };

  static bool asksOften(const common::NodeId& node, const std::vector<Member>& members) {
    simulation::Simulation simulation(1);
    auto& process = simulation.start(node.address, "z");
    DigestMembership membership(node);
    membership.setMembers(members);
    const StoreFollowers followers({}, process.context(), membership);
    return followers.pollTime(kTopic) == StoreFollowerSettings{}.frequent_poll_time;
  }

  static int frequentNodes(const std::vector<Member>& members) {
    int count = 0;
    for (const Member& member : members) {
      count += asksOften(member.node, members) ? 1 : 0;
    }
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowersTest);

}  // namespace
}  // namespace cypresswall::membership
