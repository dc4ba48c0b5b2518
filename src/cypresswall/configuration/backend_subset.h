/// Chooses the back ends that one node of a large fleet uses.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cypresswall/configuration/fleet.h"

namespace cypresswall::configuration {

/// With a few back ends for each node, connections are reused, and a node's state and work do not
/// grow with the number of back ends. The choice is by rendezvous hashing: nodes choose different
/// back ends, each back end is chosen by about as many nodes as the others, and a back end that
/// appears or leaves concerns only the nodes that choose it.
/// \param node identifies the node that chooses
/// \param maximum size of the subset; zero returns all
/// \return the chosen back ends in the order of `backends`
std::vector<BackendDeclaration> backendSubset(const std::vector<BackendDeclaration>& backends,
                                              const std::string& node, std::size_t maximum);

}  // namespace cypresswall::configuration
