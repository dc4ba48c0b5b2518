/// Field lists of the declared objects, shared by the encoder and the decoder. visitFields() calls
/// visitor(field name, field, presence) for each field of an object.
#pragma once

#include "cypresswall/configuration/fleet.h"

namespace cypresswall::configuration {

enum class FieldPresence { kRequired, kOptional };

template <typename Visitor>
void visitFields(Visitor& visitor, ZoneDeclaration& zone) {
  visitor("name", zone.name, FieldPresence::kRequired);
  visitor("region", zone.region, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, AdapterDeclaration& adapter) {
  visitor("name", adapter.name, FieldPresence::kRequired);
  visitor("weights_uri", adapter.weights_uri, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, ModelDeclaration& model) {
  visitor("name", model.name, FieldPresence::kRequired);
  visitor("version", model.version, FieldPresence::kRequired);
  visitor("weights_uri", model.weights_uri, FieldPresence::kOptional);
  visitor("adapters", model.adapters, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, EngineDeclaration& engine) {
  visitor("name", engine.name, FieldPresence::kRequired);
  visitor("zone", engine.zone, FieldPresence::kRequired);
  visitor("machine", engine.machine, FieldPresence::kOptional);
  visitor("address", engine.address, FieldPresence::kRequired);
  visitor("model", engine.model, FieldPresence::kRequired);
  visitor("initial_role", engine.initial_role, FieldPresence::kOptional);
  visitor("build", engine.build, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, ModelServiceDeclaration& service) {
  visitor("name", service.name, FieldPresence::kRequired);
  visitor("model", service.model, FieldPresence::kRequired);
  visitor("adapter", service.adapter, FieldPresence::kOptional);
  visitor("urgency", service.urgency, FieldPresence::kOptional);
  visitor("first_token_limit", service.first_token_limit, FieldPresence::kOptional);
  visitor("first_token_target", service.first_token_target, FieldPresence::kOptional);
  visitor("between_tokens_limit", service.between_tokens_limit, FieldPresence::kOptional);
  visitor("maximum_tokens", service.maximum_tokens, FieldPresence::kOptional);
  visitor("repeatable", service.repeatable, FieldPresence::kOptional);
  visitor("time_limit", service.time_limit, FieldPresence::kOptional);
  visitor("maximum_runs", service.maximum_runs, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, OperationDeclaration& operation) {
  visitor("method", operation.method, FieldPresence::kRequired);
  visitor("path_prefix", operation.path_prefix, FieldPresence::kRequired);
  visitor("repeatable", operation.repeatable, FieldPresence::kOptional);
  visitor("time_limit", operation.time_limit, FieldPresence::kOptional);
  visitor("maximum_runs", operation.maximum_runs, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, BackendDeclaration& backend) {
  visitor("zone", backend.zone, FieldPresence::kRequired);
  visitor("machine", backend.machine, FieldPresence::kOptional);
  visitor("address", backend.address, FieldPresence::kRequired);
}

template <typename Visitor>
void visitFields(Visitor& visitor, HttpServiceDeclaration& service) {
  visitor("name", service.name, FieldPresence::kRequired);
  visitor("urgency", service.urgency, FieldPresence::kOptional);
  visitor("backends", service.backends, FieldPresence::kRequired);
  visitor("operations", service.operations, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, TenantDeclaration& tenant) {
  visitor("name", tenant.name, FieldPresence::kRequired);
  visitor("api_key", tenant.api_key, FieldPresence::kOptional);
  visitor("requests_per_second", tenant.requests_per_second, FieldPresence::kOptional);
  visitor("tokens_per_second", tenant.tokens_per_second, FieldPresence::kOptional);
  visitor("further_api_keys", tenant.further_api_keys, FieldPresence::kOptional);
  visitor("urgency", tenant.urgency, FieldPresence::kOptional);
  visitor("weight", tenant.weight, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, PlanningPolicy& planning) {
  visitor("role_change_weight", planning.role_change_weight, FieldPresence::kOptional);
  visitor("horizon", planning.horizon, FieldPresence::kOptional);
  visitor("automatic_roles", planning.automatic_roles, FieldPresence::kOptional);
}

template <typename Visitor>
void visitFields(Visitor& visitor, EngineOverride& engine_override) {
  visitor("engine", engine_override.engine, FieldPresence::kRequired);
  visitor("drained", engine_override.drained, FieldPresence::kOptional);
  visitor("role_pinned", engine_override.role_pinned, FieldPresence::kOptional);
  visitor("role", engine_override.role, FieldPresence::kOptional);
}

/// Value of an object of kind kNodeDrain. The object's name is the machine's name or the node's
/// address.
struct NodeDrain {
  bool drained = true;
};

template <typename Visitor>
void visitFields(Visitor& visitor, NodeDrain& drain) {
  visitor("drained", drain.drained, FieldPresence::kOptional);
}

}  // namespace cypresswall::configuration
