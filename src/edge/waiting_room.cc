#include "currantstack/edge/waiting_room.h"

#include <utility>

namespace currantstack
{

WaitingRoom::WaitingRoom(Loop &loop)
    : m_timer(loop.timer([this]() { tryAll(); }))
{ }

auto WaitingRoom::add(const std::string &service, bool first, Try attempt) -> void
{
    auto &queue = m_queues[service];
    queue.insert(first ? queue.begin() : queue.end(), std::move(attempt));
    m_timer->startOnce(TryPeriod);
}

auto WaitingRoom::isEmpty(const std::string &service) const -> bool
{
    const auto found = m_queues.find(service);
    return found == m_queues.end() || found->second.empty();
}

auto WaitingRoom::tryAll() -> void
{
    if (std::exchange(m_trying, true)) {
        return; // a placement has freed room; the running pass sees it
    }
    bool waiting = false;
    for (auto &[service, queue] : m_queues) {
        while (!queue.empty()) {
            // The request may join again at the head while it is tried, so it is taken out first.
            auto attempt = std::move(queue.front());
            queue.pop_front();
            if (!attempt()) {
                queue.push_front(std::move(attempt));
                break;
            }
        }
        waiting = waiting || !queue.empty();
    }
    m_trying = false;
    if (waiting) {
        m_timer->startOnce(TryPeriod);
    }
}

} // namespace currantstack
