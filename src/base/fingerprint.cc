#include "currantstack/fingerprint.h"

#include "currantstack/codec.h"

#include <charconv>
#include <fmt/format.h>

namespace currantstack
{

auto fingerprintText(Fingerprint fingerprint) -> std::string
{
    return fmt::format("{:016x}", fingerprint);
}

auto fingerprintTexts(std::span<const Fingerprint> fingerprints) -> std::vector<std::string>
{
    std::vector<std::string> texts;
    for (const auto fingerprint : fingerprints) {
        texts.push_back(fingerprintText(fingerprint));
    }
    return texts;
}

auto fingerprintFromText(std::string_view text) -> Fingerprint
{
    Fingerprint fingerprint = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
    return error == std::errc() && end == text.data() + text.size() ? fingerprint : 0;
}

auto requestFingerprint(const HttpRequest &request) -> Fingerprint
{
    Fingerprint fingerprint = 0;
    for (const auto part : {std::string_view(request.method), request.header("Host"), std::string_view(request.target),
                            request.header("Authorization"), std::string_view(request.body)}) {
        fingerprint = hash64(part, fingerprint);
    }
    return fingerprint;
}

} // namespace currantstack
