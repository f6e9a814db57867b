// What has arrived of an answer of the store.
#pragma once

#include "currantstack/clock.h"

#include <cstddef>
#include <string_view>

namespace currantstack
{

/// The state of a read or a watch at one moment.
struct AnswerProgress
{
    enum class State
    {
        Paused, // no call is in flight; the next one follows soon by itself
        Waiting, // a call is in flight, and nothing of its answer has arrived
        Receiving, // a part of the answer has arrived
    };

    State state = State::Waiting;
    Duration age = Duration::zero(); // since the call began
    Duration silence = Duration::zero(); // since anything of the answer arrived, or since the call began
    std::size_t received = 0; // bytes of the answer's body
    std::size_t expected = 0; // declared bytes of the answer's body; 0: unknown
};

/// Returns the name in logs, such as "receiving".
auto name(AnswerProgress::State state) -> std::string_view;

} // namespace currantstack
