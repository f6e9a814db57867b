// Orders the revisions of a store that can return from an older copy of itself.
#pragma once

#include <cstdint>

namespace currantstack
{

/// Each return from a copy begins a new history, in which revisions are given out again. A position combines the number of the history
/// with a revision, so that positions rise over all histories. A store that never returns from a copy has one history, 0, whose
/// positions are its revisions.
class StoreHistory
{
public:
    static constexpr int RevisionBits = 40; // 34 years of 1,000 changes a second

    enum class Change
    {
        None,
        Began, // a later history than the one known before: what was written since the copy is lost
        Former, // of a history that has ended
    };

    /// Records the number of the history that a response of the store belongs to.
    auto observe(std::int64_t number) -> Change;

    /// Returns the position of a revision of the current history.
    auto position(std::int64_t revision) const -> std::int64_t
    {
        return (m_number << RevisionBits) | revision;
    }

    /// Returns whether the position is one of the current history, so that its revision means something to the store.
    auto isCurrent(std::int64_t position) const -> bool
    {
        return position >> RevisionBits == m_number;
    }

    static auto revisionOf(std::int64_t position) -> std::int64_t
    {
        return position & ((std::int64_t(1) << RevisionBits) - 1);
    }

    /// Returns whether both positions are of the same history.
    static auto isSame(std::int64_t left, std::int64_t right) -> bool
    {
        return left >> RevisionBits == right >> RevisionBits;
    }

private:
    std::int64_t m_number = 0;
    bool m_known = false;
};

} // namespace currantstack
