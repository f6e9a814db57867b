// The fields in which a VM reports its protocol, in its datagrams and in its entry in the store.
#pragma once

#include "currantstack/decisions/peer_protocol.h"
#include "currantstack/json.h"

namespace currantstack
{

/// Adds the fields, unless the protocol is that of a build that does not report it.
auto writeProtocol(Json &document, const PeerProtocol &protocol) -> void;

/// Returns the protocol of a build that does not report it if the fields are absent. Ignores abilities that this build does not know.
auto readProtocol(ObjectReader &reader) -> PeerProtocol;

} // namespace currantstack
