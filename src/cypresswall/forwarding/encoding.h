/// Conversion between requests, errors and headers and their forwarded forms.
#pragma once

#include <vector>

#include "cypresswall/execution/model_executor.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/forwarding/messages.h"

namespace cypresswall::forwarding {

std::vector<ForwardedHeader> encodeHeaders(const std::vector<common::HeaderField>& headers);
std::vector<common::HeaderField> decodeHeaders(const std::vector<ForwardedHeader>& headers);

/// \param time_left time left for the complete answer; zero if there is no limit
ForwardedModelCall encodeModelCall(const execution::ModelCall& call, common::Duration time_left);
execution::ModelCall decodeModelCall(const ForwardedModelCall& message);

ForwardedServiceCall encodeServiceCall(const execution::ServiceCallRequest& call,
                                       common::Duration time_left);
execution::ServiceCallRequest decodeServiceCall(const ForwardedServiceCall& message);

ForwardedServiceAnswer encodeServiceAnswer(std::uint64_t number,
                                           const execution::ServiceCallAnswer& answer);
execution::ServiceCallAnswer decodeServiceAnswer(const ForwardedServiceAnswer& message);

ForwardedError encodeError(const execution::ExecutionError& error);
/// An unknown kind, as from a later build, becomes kBackendFailed; an unknown outcome kUnknown.
execution::ExecutionError decodeError(const ForwardedError& error);

}  // namespace cypresswall::forwarding
