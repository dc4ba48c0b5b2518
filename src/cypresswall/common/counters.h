/// Named counters and gauges. Modules count every dropped message, rejected request and retry. The
/// daemon exports the registry in the Prometheus text format; the simulator and tests read it
/// directly.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cypresswall::common {

/// A numeric metric. Not thread-safe: a process updates its metrics from a single thread.
class Counter {
 public:
  void add(std::uint64_t amount = 1) { value_ += static_cast<double>(amount); }
  /// Used for gauges only.
  void set(double value) { value_ = value; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

enum class CounterKind : std::uint8_t { kCounter, kGauge };

/// All counters and gauges of one process. Names follow the Prometheus conventions
/// ("cypresswall_lease_acquired_total"). A metric has at most one label, with one counter for each
/// label value.
class CounterRegistry {
 public:
  struct Entry {
    CounterKind kind = CounterKind::kCounter;
    std::string help;
    /// Keyed by label value; the key is empty for a metric without a label.
    std::map<std::string, std::unique_ptr<Counter>> by_label;
    /// Empty if the metric has no label.
    std::string label_name;
  };

  /// \return the counter, created on first use; the reference is valid for the registry's lifetime.
  Counter& counter(const std::string& name, const std::string& help,
                   const std::string& label_name = "", const std::string& label_value = "") {
    return find(CounterKind::kCounter, name, help, label_name, label_value);
  }
  Counter& gauge(const std::string& name, const std::string& help,
                 const std::string& label_name = "", const std::string& label_value = "") {
    return find(CounterKind::kGauge, name, help, label_name, label_value);
  }
  const std::map<std::string, Entry>& entries() const { return entries_; }
  /// \return the sum of the metric `name` over all its label values, zero if there is no such
  ///   metric.
  double total(const std::string& name) const {
    const auto entry = entries_.find(name);
    double sum = 0;
    if (entry != entries_.end()) {
      for (const auto& [label, counter] : entry->second.by_label) {
        sum += counter->value();
      }
    }
    return sum;
  }

 private:
  Counter& find(CounterKind kind, const std::string& name, const std::string& help,
                const std::string& label_name, const std::string& label_value) {
    Entry& entry = entries_[name];
    entry.kind = kind;
    entry.help = help;
    entry.label_name = label_name;
    auto& slot = entry.by_label[label_value];
    if (!slot) {
      slot = std::make_unique<Counter>();
    }
    return *slot;
  }

  std::map<std::string, Entry> entries_;
};

}  // namespace cypresswall::common
