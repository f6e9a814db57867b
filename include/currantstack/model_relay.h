// Relay of one model request: reserves a decode slot and a prefill slot, has the prompt prefilled and its KV cache transferred, and
// relays the tokens.
#pragma once

#include "currantstack/relay.h"
#include "currantstack/sse.h"
#include "currantstack/stream_moves.h"

namespace currantstack
{

/// Serves one completion or chat request. Failed attempts are retried within the retry budget; no token is relayed twice.
class ModelRelay : public Relay, public std::enable_shared_from_this<ModelRelay>
{
public:
    static constexpr Duration AnswerRetryTime = seconds(30); // a started answer fails after retries without a token for this time

    ModelRelay(RelayParts &parts, CallerRequest request);
    ~ModelRelay() override;

    auto start() -> void override;

private:
    /// The prefill or the decode of one attempt, at one engine.
    struct Stage
    {
        std::string engine;
        std::string address;
        std::string requestId; // at the engine
        HttpClient::CallId call = 0;
        TimePoint startedAt;
        bool sent = false; // the request was sent to the engine
        bool reserved = false; // holds a slot of the engine
    };

    enum class Failure
    {
        Refused, // the engine answered with an error
        NotConnected, // no connection was made, so the engine never received the request
        ConnectionLost, // the connection broke during the request
        TimedOut, // no progress within the limit
    };

    auto requestDecodeSlot() -> void;
    auto onDecodeSlot(Result<SlotGrant> grant) -> void;
    /// Returns the excluded engines, or an empty list if no other engine of the role remains.
    auto exclusionsFor(Role role) const -> std::vector<std::string>;
    auto onSlotRefused(const Error &error, std::function<void()> retry) -> void;
    auto requestPrefillSlot() -> void;
    auto onPrefillSlot(Result<SlotGrant> grant) -> void;
    auto chooseByBaseline(Role role) -> const Engine *;
    auto sendPrefill() -> void;
    auto onPrefillDone(const Result<HttpResponse> &response) -> void;
    auto sendDecode() -> void;
    auto streamHandlers() -> HttpHandlers;
    auto onDecodeHead(int status) -> void;
    auto onDecodeData(std::string_view data) -> void;
    auto onDecodeEvent(std::string_view data) -> void;
    auto onDecodeEnd(const Result<HttpResponse> &response) -> void;
    auto resumeStream() -> void;
    auto retryPrefill(Failure failure, std::string_view cause) -> void;
    auto retryDecode(Failure failure, std::string_view cause) -> void;
    /// Runs `next` after a back-off. Returns false if the retry budget or time is used up or the request is quarantined.
    auto scheduleRetry(std::string_view cause, std::function<void()> next) -> bool;
    auto relayToken(std::string_view text, std::string_view finishReason) -> void;
    auto startAnswer() -> void;
    auto complete(std::string_view finishReason) -> void;
    auto failRequest(const Error &error) -> void;
    auto onCallerDisconnected() -> void;
    /// Ends the stage's call and releases its slot. If `cancel`, the request is cancelled at the engine first,
    /// and the slot is released once the engine confirms that.
    auto endStage(Stage &stage, bool cancel, std::string_view cause, const SlotObservation &observation) -> void;
    auto cleanUp(std::string_view cause) -> void;
    auto slotRequest(Role role, const std::string &requestId) const -> SlotRequest;
    auto poolOf(Role role) const -> std::string;
    auto reservesSlots() const -> bool;
    auto estimate() -> ModelEstimate &;
    auto prefillMs() -> double;
    static auto failureOf(const Error &error) -> Failure;
    auto reportCrash(const Stage &stage, Failure failure) -> void;
    auto hasUsableKv() const -> bool;
    auto nextId(std::string_view stage) -> std::string;
    auto recordTokenGap(TimePoint now) -> void;
    auto moveIfSlow() -> void;
    auto addElapsed(std::string_view counter, TimePoint since) -> void;

    RelayParts &m_parts;
    CallerRequest m_request;
    Stage m_prefill;
    Stage m_decode;
    EventStreamParser m_parser;
    KvTransfer m_transfer;
    TimePoint m_kvExpiresAt;
    bool m_kvConsumed = false; // the decode engine fetched the prefill's KV cache, or it can't be fetched
    std::int64_t m_delivered = 0; // tokens relayed, or collected for an answer that is not streamed
    std::string m_collectedText; // of an answer that is not streamed
    TimePoint m_lastTokenAt;
    TimePoint m_slotGrantedAt;
    TimePoint m_failingSince; // first failure since the last token; unset: none
    TimePoint m_slotRequestedAt; // of the pending slot request
    StreamProgress m_progress;
    std::string m_lastPrefillEngine; // that prefilled the prompt last; empty: none, or it crashed
    std::string m_preferredEngine; // that was expected to cache the prompt's prefix
    std::string m_reprefillCause; // of a repeated prefill: "failure" or "move"; empty for the first
    int m_failedAttempts = 0;
    int m_nextId = 0; // suffix of the next request id at an engine
    bool m_dispatched = false; // something was sent to an engine
    bool m_answerStarted = false; // the first token was received
    bool m_finished = false;
    bool m_resumed = false; // the decode stream of this attempt was resumed on a new connection
    bool m_streamOpened = false; // the decode engine of this attempt answered with status 200
    bool m_errorStatus = false; // of the decode response
    std::vector<std::string> m_excludedEngines;
};

} // namespace currantstack
