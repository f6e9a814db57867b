#include "currantstack/estimate.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr double PrefillOverheadMs = 5; // fixed cost of one prefill
constexpr std::int64_t LongPromptTokens = 4000; // from which the KV transfer dominates the start of a decode

} // namespace

auto ModelEstimate::observePrefill(std::int64_t computedTokens, std::int64_t promptTokens, std::size_t promptBytes, Duration duration)
    -> void
{
    if (promptTokens > 0) {
        m_bytesPerToken.observe(static_cast<double>(promptBytes) / static_cast<double>(promptTokens));
    }
    if (computedTokens >= 64) {
        const double work = std::max(0.0, toMilliseconds(duration) - PrefillOverheadMs);
        m_prefillMicrosPerToken.observe(std::min(1000 * work / static_cast<double>(computedTokens), 3 * m_prefillMicrosPerToken.value()));
    }
}

auto ModelEstimate::observeDecodeStart(std::int64_t promptTokens, Duration duration) -> void
{
    const double total = toMilliseconds(duration);
    if (promptTokens < LongPromptTokens) {
        const double start = total - static_cast<double>(promptTokens) * m_decodeStartMicrosPerToken.value() / 1000;
        m_decodeStartMs.observe(std::clamp(start, 0.0, 3 * std::max(10.0, m_decodeStartMs.value())));
    } else {
        const double rate = 1000 * std::max(0.0, total - m_decodeStartMs.value()) / static_cast<double>(promptTokens);
        m_decodeStartMicrosPerToken.observe(std::min(rate, 3 * m_decodeStartMicrosPerToken.value()));
    }
}

auto ModelEstimate::observeTokenGap(Duration gap) -> void
{
    m_tokenGapMs.observe(toMilliseconds(gap));
}

auto ModelEstimate::observeCacheHit(double cachedShare) -> void
{
    m_cacheHitShare.observe(cachedShare);
}

auto ModelEstimate::cacheHitShare() const -> double
{
    return m_cacheHitShare.value();
}

auto ModelEstimate::estimateTokens(std::size_t promptBytes) const -> std::int64_t
{
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(static_cast<double>(promptBytes) / std::max(0.5, m_bytesPerToken.value())));
}

auto ModelEstimate::prefillMs(std::int64_t computedTokens) const -> double
{
    return PrefillOverheadMs + static_cast<double>(computedTokens) * m_prefillMicrosPerToken.value() / 1000;
}

auto ModelEstimate::decodeStartMs(std::int64_t promptTokens) const -> double
{
    return m_decodeStartMs.value() + static_cast<double>(promptTokens) * m_decodeStartMicrosPerToken.value() / 1000;
}

auto ModelEstimate::tokenGapMs() const -> double
{
    return m_tokenGapMs.value();
}

auto ModelEstimate::microsPerToken() const -> double
{
    return m_prefillMicrosPerToken.value();
}

} // namespace currantstack
