// One router VM: all its controllers on one event loop.
#pragma once

#include "currantstack/operator_api.h"

namespace currantstack
{

/// Owns everything in the process except the command line.
class Node
{
public:
    explicit Node(Settings settings);
    ~Node();

    /// Listens on the configured addresses and starts the controllers.
    auto start() -> Result<void>;

    /// Runs the event loop until the VM is drained.
    auto run() -> void;

    /// Refuses new work, lets in-flight requests finish, then makes `run` return.
    auto drain() -> void;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace currantstack
