#include "currantstack/edge/peer_protocol_codec.h"

#include <algorithm>
#include <limits>

namespace currantstack
{

namespace
{

constexpr std::string_view NumberField = "proto";
constexpr std::string_view AbilitiesField = "can";
constexpr std::string_view TakesRelays = "relay";

} // namespace

auto writeProtocol(Json &document, const PeerProtocol &protocol) -> void
{
    if (!protocol.isReported()) {
        return;
    }
    auto abilities = Json::array();
    if (protocol.takesRelays) {
        abilities.push_back(TakesRelays);
    }
    document[std::string(NumberField)] = protocol.number;
    document[std::string(AbilitiesField)] = std::move(abilities);
}

auto readProtocol(ObjectReader &reader) -> PeerProtocol
{
    PeerProtocol protocol;
    protocol.number = reader.integer(NumberField, 0, std::numeric_limits<std::int64_t>::max(), UnreportedProtocol);
    const auto abilities = reader.texts(AbilitiesField);
    protocol.takesRelays = std::find(abilities.begin(), abilities.end(), TakesRelays) != abilities.end();
    return protocol;
}

} // namespace currantstack
