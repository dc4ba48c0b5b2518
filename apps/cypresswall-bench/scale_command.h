/// The subcommand "scale" of cypresswall-bench.
#pragma once

namespace cypresswall::bench {

/// Runs the fleet that the flags describe and prints its figures. \return the program's exit code
int runScaleCommand();

}  // namespace cypresswall::bench
