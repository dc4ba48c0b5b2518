/// Back ends of plain HTTP services that misbehave as a script says, and claims of idempotency keys
/// that may be lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/idempotency/key_claims.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/services/service_client.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::testing {

/// How one call to a back end goes.
enum class CallScript {
  kGood,
  kServerError,  ///< runs, answers 500
  kUnavailable,  ///< runs, answers 503
  kNotSent,
  kRefused,
  kBrokenBeforeRun,
  kBrokenAfterRun,
  kDoubledAnswer,
  kSlow,  ///< runs, answers only near the time limit
};
constexpr int kCallScripts = static_cast<int>(CallScript::kSlow) + 1;

/// The n-th call gets the n-th script, later ones are good.
class FakeServiceClient final : public services::ServiceClient {
 public:
  explicit FakeServiceClient(simulation::VirtualTime& time) : time_(time) {}
  std::unique_ptr<services::ServiceCall> call(
      const common::Address& address, services::ServiceRequest request,
      std::function<void(services::ServiceResponse)> callback) override;

  std::vector<CallScript> scripts;
  /// Every call made, with the back end that it went to.
  std::vector<std::pair<common::Address, services::ServiceRequest>> calls;
  /// The ledger: how often each request, and each idempotency key, was run.
  std::map<std::string, int> runs_by_request;
  std::map<std::string, int> runs_by_key;
  std::map<CallScript, int> faults;
  common::Duration answer_time = std::chrono::milliseconds(30);
  /// What each answer names.
  std::optional<common::RateLimitNotice> rate_limit;

 private:
  class FakeCall;
  simulation::VirtualTime& time_;
};

/// Claims over virtual time: one table for all nodes, which can forget and be unreachable.
class FakeClaims final : public idempotency::KeyClaims {
 public:
  explicit FakeClaims(simulation::VirtualTime& time) : time_(time) {}
  void claim(const std::string& key, std::uint64_t digest,
             std::function<void(idempotency::ClaimAnswer)> callback) override;
  void complete(const std::string& key, std::string answer) override;
  void release(const std::string& key) override;
  /// Loses all claims; what was claimed before is uncertain from now on.
  void forget();

  bool unavailable = false;
  common::Duration answer_time = std::chrono::milliseconds(5);
  std::map<idempotency::ClaimVerdict, int> verdicts;

 private:
  struct Claim {
    std::uint64_t digest = 0;
    bool completed = false;
    std::string answer;
  };
  idempotency::ClaimAnswer decide(const std::string& key, std::uint64_t digest);

  simulation::VirtualTime& time_;
  std::map<std::string, Claim> claims_;
  std::set<std::string> uncertain_;
};

/// A zone of one node, with machines that can be leaving.
class FakeMembership final : public membership::MembershipView {
 public:
  const common::NodeId& self() const override { return node; }
  const common::ZoneName& zone() const override { return zone_name; }
  const std::vector<membership::Member>& members() const override { return member_list; }
  bool machineLeaving(const common::MachineName& machine) const override {
    return leaving.count(machine) != 0;
  }
  bool addressLeaving(const common::Address&) const override { return false; }
  bool confirmedDead(const common::NodeId&) const override { return false; }
  void setDigest(membership::DigestTopic, std::uint64_t) override {}
  std::optional<std::uint64_t> digest(const common::NodeId&,
                                      membership::DigestTopic) const override {
    return std::nullopt;
  }
  void onChange(std::function<void()> listener) override { listeners.push_back(listener); }
  void changed() const {
    for (const auto& listener : listeners) {
      listener();
    }
  }

  common::NodeId node{"127.0.0.1:1", 7};
  common::ZoneName zone_name = "quay";
  std::vector<membership::Member> member_list;
  std::set<common::MachineName> leaving;
  std::vector<std::function<void()>> listeners;
};

}  // namespace cypresswall::testing
