// One entry VM: all controllers, wired together on one loop.
#pragma once

#include "currantstack/operator_api.h"

namespace currantstack
{

/// The whole process but its command line.
class Node
{
public:
    explicit Node(Settings settings);
    ~Node();

    /// Opens the addresses and starts the controllers.
    auto start() -> Result<void>;

    /// Runs until drained or stopped.
    auto run() -> void;

    /// Takes no new work, lets all that is under way finish, then ends `run`.
    auto drain() -> void;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace currantstack
