// Decides how a VM that is behind others gets up to date with the store.
#pragma once

#include <cstddef>

namespace currantstack
{

/// Weighs a read of the latest state against the changes that lead to it: a watch sends each superseded value as well, which takes long if
/// the values are long and the link to the store is narrow.
class CatchUp
{
public:
    /// What the follower of a prefix needs.
    enum class Needs
    {
        EachChange,
        LatestState,
    };

    static constexpr std::size_t LongValue = 128U << 10; // bytes from which a read costs less than the changes
    static constexpr int MostReads = 3; // in a row, if changes follow each other

    explicit CatchUp(Needs needs)
        : m_needs(needs)
    { }

    /// Records the size in bytes of the value that was received last, of a read the longest one.
    auto onValue(std::size_t bytes) -> void
    {
        m_valueBytes = bytes;
    }

    /// Records that a read has ended. Returns whether another one follows, because the VM is behind again.
    auto onRead(bool isBehind) -> bool
    {
        m_reads = prefersRead(isBehind) ? m_reads + 1 : 0;
        return m_reads > 0 && m_reads <= MostReads;
    }

    /// Returns whether a read is the shortest way to the changes that other VMs have observed.
    auto prefersRead(bool isBehind) const -> bool
    {
        return m_needs == Needs::LatestState && m_valueBytes >= LongValue && isBehind;
    }

private:
    Needs m_needs;
    std::size_t m_valueBytes = 0;
    int m_reads = 0; // in a row, after which the VM was behind
};

} // namespace currantstack
