// Messages between a VM that requests slots and the owner that grants them.
#pragma once

#include "currantstack/slots.h"

namespace currantstack
{

/// What a request observed of an engine, reported to the owner with the release of its slot.
struct SlotObservation
{
    bool failed = false;
    double ratio = 1; // observed / expected time
    double microsPerToken = 0; // of a prefill; 0: not measured
};

auto toJson(const PoolView &view) -> Json;
auto poolViewFromJson(const Json &value) -> Result<PoolView>;
auto toJson(const SlotRequest &request, TimePoint now) -> Json;
auto slotRequestFromJson(const Json &value, TimePoint now) -> Result<SlotRequest>;

/// Writes the fields of an observation into a message, or reads them from one.
auto writeObservation(Json &value, const SlotObservation &observation) -> void;
auto readObservation(ObjectReader &reader) -> SlotObservation;

} // namespace currantstack
