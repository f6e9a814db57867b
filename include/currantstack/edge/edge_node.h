// One edge VM: all controllers on one event loop.
#pragma once

#include "currantstack/edge/protocol.h"
#include "currantstack/edge/settings.h"
#include "currantstack/event_log.h"

namespace currantstack
{

/// Platform-specific parts, provided by an adapter.
struct EdgeAdapter
{
    std::unique_ptr<EdgeProtocol> protocol;
    std::unique_ptr<StoreCodec> codec;
    std::function<std::unique_ptr<Store>(Loop &loop, const Clock &clock, HttpClient &client, Counters &counters, Random &random)> openStore;
    std::function<Result<EdgeSettings>()> reload; // reads the settings again; may be empty
};

/// The router process, except for its command line.
class EdgeNode
{
public:
    EdgeNode(EdgeSettings settings, EdgeAdapter adapter, LogSink sink);
    ~EdgeNode();

    /// Binds the listening addresses and starts the controllers.
    auto start() -> Result<void>;

    /// Runs the event loop until the node has drained.
    auto run() -> void;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace currantstack
