// One model request: a decode slot and a prefill turn are reserved, the prompt is prefilled, its KV cache moved, and the tokens relayed.
#pragma once

#include "currantstack/moves.h"
#include "currantstack/relay.h"
#include "currantstack/sse.h"

namespace currantstack
{

/// Serves one completion or chat request, over as many tries as the budget allows. A token is relayed once.
class ModelRelay : public Relay, public std::enable_shared_from_this<ModelRelay>
{
public:
    static constexpr Duration AnswerPatience = seconds(30); // for which an answer that has begun is tried to go on

    ModelRelay(RelayParts &parts, CallerRequest request);
    ~ModelRelay() override;

    auto start() -> void override;

private:
    /// One engine's part in a try.
    struct Stage
    {
        std::string engine;
        std::string address;
        std::string requestId; // on the engine
        HttpClient::CallId call = 0;
        TimePoint begun;
        bool sent = false;
        bool reserved = false;
    };

    enum class Failure
    {
        Refused, // the engine answered with an error
        Unreached, // no connection was made, so the engine never had the request
        Lost, // the connection broke under the request
        Silent, // no progress in time
    };

    auto askDecode() -> void;
    auto onDecodeSlot(Result<SlotGrant> grant) -> void;
    auto avoidable(Role role) const -> std::vector<std::string>;
    auto onNoSlot(const Error &error, std::function<void()> again) -> void;
    auto askPrefill() -> void;
    auto onPrefillSlot(Result<SlotGrant> grant) -> void;
    auto chooseByBaseline(Role role) -> const Engine *;
    auto sendPrefill() -> void;
    auto onPrefilled(const Result<HttpResponse> &response) -> void;
    auto sendDecode() -> void;
    auto streamHandlers() -> HttpHandlers;
    auto onDecodeHead(int status) -> void;
    auto onDecodeData(std::string_view data) -> void;
    auto onDecodeEvent(std::string_view data) -> void;
    auto onDecodeEnd(const Result<HttpResponse> &response) -> void;
    auto resumeStream() -> void;
    auto retryPrefill(Failure failure, std::string_view cause) -> void;
    auto retryDecode(Failure failure, std::string_view cause) -> void;
    auto afterBudget(std::string_view cause, std::function<void()> next) -> bool;
    auto relayToken(std::string_view text, std::string_view finishReason) -> void;
    auto beginAnswer() -> void;
    auto complete(std::string_view finishReason) -> void;
    auto refuse(const Error &error) -> void;
    auto callerGone() -> void;
    auto endStage(Stage &stage, bool cancel, std::string_view cause, const SlotObservation &seen) -> void;
    auto cleanUp(std::string_view cause) -> void;
    auto slotRequest(Role role, const std::string &requestId) const -> SlotRequest;
    auto poolOf(Role role) const -> std::string;
    auto reservesSlots() const -> bool;
    auto estimate() -> ModelEstimate &;
    auto prefillMs() -> double;
    static auto failureOf(const Error &error) -> Failure;
    auto noteDeath(const Stage &stage, Failure failure) -> void;
    auto kvIsAlive() const -> bool;
    auto nextId(std::string_view stage) -> std::string;
    auto noteGap(TimePoint now) -> void;
    auto considerMove() -> void;
    auto addTime(std::string_view counter, TimePoint since) -> void;

    RelayParts &m_parts;
    CallerRequest m_request;
    Stage m_prefill;
    Stage m_decode;
    EventStreamParser m_parser;
    KvTransfer m_transfer;
    TimePoint m_kvExpires;
    bool m_kvTaken = false;
    std::int64_t m_delivered = 0; // tokens that the caller has, or that are collected for it
    std::string m_collected; // of an answer that is not streamed
    TimePoint m_lastToken;
    TimePoint m_slotSince;
    TimePoint m_failingSince; // of an answer that has begun
    TimePoint m_askedAt; // for the slot or turn that is waited for
    StreamPace m_pace;
    std::string m_lastPrefill; // engine that prefilled the prompt last; empty: none, or it has died
    std::string m_preferred; // engine that was thought to hold the prefix
    std::string m_repeatCause; // why a prompt is prefilled once more; empty the first time
    int m_tries = 0;
    int m_nextId = 0;
    bool m_firstRun = false; // whether anything was sent to an engine
    bool m_answering = false;
    bool m_finished = false;
    bool m_resumed = false;
    bool m_streamBegan = false; // of the present try
    bool m_errorStatus = false;
    std::vector<std::string> m_avoid;
};

} // namespace currantstack
