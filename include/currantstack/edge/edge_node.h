// One VM of the edge: all controllers, wired together on one loop.
#pragma once

#include "currantstack/edge/protocol.h"
#include "currantstack/edge/settings.h"
#include "currantstack/event_log.h"

namespace currantstack
{

/// What an adapter provides.
struct EdgePorts
{
    std::unique_ptr<EdgeProtocol> protocol;
    std::unique_ptr<StoreCodec> codec;
    std::function<std::unique_ptr<Store>(Loop &loop, HttpClient &client, Counters &counters)> openStore;
    std::function<Result<EdgeSettings>()> reload; // reads the settings again
};

/// The whole process but its command line.
class EdgeNode
{
public:
    EdgeNode(EdgeSettings settings, EdgePorts ports, LogSink sink);
    ~EdgeNode();

    /// Opens the addresses and starts the controllers.
    auto start() -> Result<void>;

    /// Runs until drained.
    auto run() -> void;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace currantstack
