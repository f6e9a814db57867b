#include "currantstack/decisions/watch_progress.h"

namespace currantstack
{

auto name(WatchProgress::State state) -> std::string_view
{
    switch (state) {
    case WatchProgress::State::Paused:
        return "paused";
    case WatchProgress::State::Receiving:
        return "receiving";
    case WatchProgress::State::Waiting:
        break;
    }
    return "waiting";
}

} // namespace currantstack
