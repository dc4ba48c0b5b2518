/// A replica's log must not go back to an older snapshot or accept an altered change or one of a
/// diverging history, and a corrupt stored text must not crash it.
#include "cypresswall/configuration/change_log.h"

#include "cypresswall/configuration/change_encoding.h"
#include "cypresswall/configuration/object_codec.h"
#include "tests/support/property.h"

namespace cypresswall::configuration {
namespace {

LoggedChange nextChange(const ChangeLog& log, const std::string& name) {
  const TenantDeclaration tenant{name, name, 1, 1};
  return chainChange(
      log.digest(),
      {log.version() + 1, name, "author", {setObject(ObjectKind::kTenant, name, tenant)}});
}

class ChangeLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeLogTest);
  CPPUNIT_TEST(olderSnapshotIsRefused);
  CPPUNIT_TEST(otherHistoryIsRefused);
  CPPUNIT_TEST(alteredChangeIsRefused);
  CPPUNIT_TEST(undecodableChangeKeepsItsVersion);
  CPPUNIT_TEST(oldChangesAreDroppedAndRecordsKept);
  CPPUNIT_TEST(arbitraryTextIsDecodedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void olderSnapshotIsRefused() {
    ChangeLog log(settings_);
    log.append(nextChange(log, "a"));
    const ConfigurationSnapshot old = decodeSnapshot(encodeSnapshot(log.snapshot()));
    log.append(nextChange(log, "b"));
    CPPUNIT_ASSERT(!log.install(old));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, log.version());
    ChangeLog fresh(settings_);
    CPPUNIT_ASSERT(fresh.install(old));
    CPPUNIT_ASSERT(fresh.append(*log.find(2)) == AppendResult::kApplied);
    CPPUNIT_ASSERT_EQUAL(log.digest(), fresh.digest());
    CPPUNIT_ASSERT(fresh.findChangeId("a") != nullptr);
  }

  void otherHistoryIsRefused() {
    ChangeLog log(settings_);
    ChangeLog other(settings_);
    log.append(nextChange(log, "a"));
    other.append(nextChange(other, "b"));
    CPPUNIT_ASSERT(log.append(*other.find(1)) == AppendResult::kFork);
    CPPUNIT_ASSERT(log.append(nextChange(other, "c")) == AppendResult::kFork);
    CPPUNIT_ASSERT(log.append(*log.find(1)) == AppendResult::kKnown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.version());
  }

  void alteredChangeIsRefused() {
    ChangeLog log(settings_);
    LoggedChange entry = nextChange(log, "a");
    entry.change.author = "someone else";
    CPPUNIT_ASSERT(log.append(entry) == AppendResult::kFork);
    entry = nextChange(log, "a");
    entry.change.version = 2;
    CPPUNIT_ASSERT(log.append(entry) == AppendResult::kGap);
  }

  void undecodableChangeKeepsItsVersion() {
    ChangeLog log(settings_);
    const auto entry =
        chainChange(0, {1, "a", "author", {{ObjectKind::kTenant, "t", false, R"({"name":5})"}}});
    CPPUNIT_ASSERT(log.append(entry) == AppendResult::kAppliedWithoutEffect);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.current()->version);
    CPPUNIT_ASSERT(log.current()->tenants.empty());
  }

  void oldChangesAreDroppedAndRecordsKept() {
    settings_.retained_changes = 3;
    ChangeLog log(settings_);
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      log.append(nextChange(log, name));
    }
    CPPUNIT_ASSERT(log.find(2) == nullptr);
    CPPUNIT_ASSERT(log.from(2, 1000).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log.from(3, 1000000).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.from(3, 1).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.findChangeId("a")->version);
    CPPUNIT_ASSERT(log.digestAt(1).has_value());
  }

  void arbitraryTextIsDecodedOrRejected() {
    ChangeLog log(settings_);
    log.append(nextChange(log, "a"));
    const std::string change = encodeChange(*log.find(1));
    const std::string snapshot = encodeSnapshot(log.snapshot());
    cypresswall::testing::requireProperty("no stored text crashes a replica", 500, [&] {
      std::string text = *rc::gen::arbitrary<bool>() ? change : snapshot;
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto length = *rc::gen::inRange<std::size_t>(0, 6);
      text.replace(position, length, *rc::gen::arbitrary<std::string>());
      try {
        decodeChange(text);
      } catch (const EncodingError&) {  // NOLINT(bugprone-empty-catch): an error is a valid outcome
      }
      try {
        decodeSnapshot(text);
      } catch (const EncodingError&) {  // NOLINT(bugprone-empty-catch): an error is a valid outcome
      }
    });
  }

 private:
  ConfigurationSettings settings_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeLogTest);

}  // namespace
}  // namespace cypresswall::configuration
