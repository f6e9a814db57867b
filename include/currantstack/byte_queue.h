// A queue of bytes whose memory stays close to their number.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace currantstack
{

/// Bytes that are appended and read in order, held in blocks, which end as they are read. A single text would keep what has been read,
/// and double its memory when it grows.
class ByteQueue
{
public:
    static constexpr std::size_t BlockBytes = 8U << 10;

    auto append(std::string_view bytes) -> void
    {
        m_size += bytes.size();
        while (!bytes.empty()) {
            if (m_blocks.empty() || m_blocks.back().size() == BlockBytes) {
                m_blocks.emplace_back();
            }
            auto &block = m_blocks.back();
            const auto part = bytes.substr(0, BlockBytes - block.size());
            block.append(part);
            bytes.remove_prefix(part.size());
        }
    }

    /// Moves up to `size` bytes into the buffer and returns their number.
    auto read(char *buffer, std::size_t size) -> std::size_t
    {
        std::size_t copied = 0;
        while (copied < size && m_size > 0) {
            const auto part = std::string_view(m_blocks.front()).substr(m_offset, size - copied);
            std::copy(part.begin(), part.end(), buffer + copied);
            copied += part.size();
            m_offset += part.size();
            m_size -= part.size();
            if (m_offset == m_blocks.front().size()) {
                m_blocks.pop_front();
                m_offset = 0;
            }
        }
        return copied;
    }

    /// Returns the first bytes, as many as one block holds.
    auto front() const -> std::string_view
    {
        return m_blocks.empty() ? std::string_view() : std::string_view(m_blocks.front()).substr(m_offset);
    }

    /// Drops the first `size` bytes of `front`.
    auto drop(std::size_t size) -> void
    {
        m_offset += size;
        m_size -= size;
        if (!m_blocks.empty() && m_offset == m_blocks.front().size()) {
            m_blocks.pop_front();
            m_offset = 0;
        }
    }

    auto size() const -> std::size_t
    {
        return m_size;
    }

    /// Returns the bytes of memory that the queue holds, without a constant.
    auto heldBytes() const -> std::size_t
    {
        return m_blocks.empty() ? 0 : (m_blocks.size() - 1) * BlockBytes + m_blocks.back().capacity();
    }

private:
    std::deque<std::string> m_blocks;
    std::size_t m_offset = 0; // of the first unread byte in the first block
    std::size_t m_size = 0; // unread bytes
};

} // namespace currantstack
