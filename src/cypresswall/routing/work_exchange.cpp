#include "cypresswall/routing/work_exchange.h"

#include <string>
#include <utility>

namespace cypresswall::routing {

WorkExchange::WorkExchange(const api::ProcessContext& context, const EngineGroups& groups,
                           const EngineTable& table)
    : context_(context),
      groups_(groups),
      table_(table),
      sent_(context.counters.counter("cypresswall_work_notices_sent_total",
                                     "Notices of long prompts sent to peers")),
      received_(context.counters.counter("cypresswall_work_notices_received_total",
                                         "Notices of long prompts taken from peers")),
      unknown_engine_(
          context.counters.counter("cypresswall_work_notices_unknown_engine_total",
                                   "Prompts of peers on engines that this node doesn't know")) {
  context_.dispatcher.handle<WorkNotice>(
      [this](const common::NodeId& sender, const WorkNotice& notice) { onNotice(sender, notice); });
}

PromptKey WorkExchange::keyOf(const common::NodeId& node, std::uint32_t number) {
  return common::hash64(node.toString(), number);
}

std::uint32_t WorkExchange::started(EngineSlot engine, EngineSlot output, StartedPrompt prompt) {
  prompt.engine = table_.record(engine).declaration.name;
  if (output != kNoEngineSlot) {
    prompt.output_engine = table_.record(output).declaration.name;
  }
  prompt.number = next_number_++;
  const std::uint32_t number = prompt.number;
  WorkNotice notice;
  notice.started.push_back(std::move(prompt));
  send(engine, notice);
  return number;
}

void WorkExchange::ended(EngineSlot engine, EndedPrompt prompt) {
  prompt.engine = table_.record(engine).declaration.name;
  WorkNotice notice;
  notice.ended.push_back(std::move(prompt));
  send(engine, notice);
}

void WorkExchange::send(EngineSlot engine, const WorkNotice& notice) {
  const auto& receivers = groups_.otherRoutingNodes(engine);
  context_.sendToAll(receivers, notice);
  sent_.add(receivers.size());
}

void WorkExchange::onNotice(const common::NodeId& sender, const WorkNotice& notice) {
  received_.add();
  if (listener_ == nullptr) {
    return;
  }
  for (const StartedPrompt& prompt : notice.started) {
    const EngineSlot slot = table_.slotOf(prompt.engine);
    if (slot == kNoEngineSlot) {
      unknown_engine_.add();
      continue;
    }
    listener_->onPeerStarted(slot, table_.slotOf(prompt.output_engine),
                             keyOf(sender, prompt.number), prompt);
  }
  for (const EndedPrompt& prompt : notice.ended) {
    const EngineSlot slot = table_.slotOf(prompt.engine);
    if (slot != kNoEngineSlot) {
      listener_->onPeerEnded(slot, keyOf(sender, prompt.number), prompt);
    }
  }
}

}  // namespace cypresswall::routing
