// The messages between a VM that asks for slots and the owner that grants them.
#pragma once

#include "currantstack/slots.h"

namespace currantstack
{

/// What a request saw of an engine, reported with the release.
struct SlotObservation
{
    bool failed = false;
    double ratio = 1; // seen over expected time
    double microsPerToken = 0; // of a prefill; 0: none
};

auto toJson(const PoolView &view) -> Json;
auto poolViewFromJson(const Json &value) -> Result<PoolView>;
auto toJson(const SlotRequest &request, TimePoint now) -> Json;
auto slotRequestFromJson(const Json &value, TimePoint now) -> Result<SlotRequest>;

/// Adds the fields of an observation to a message, and reads them.
auto writeObservation(Json &value, const SlotObservation &seen) -> void;
auto readObservation(ObjectReader &reader) -> SlotObservation;

} // namespace currantstack
