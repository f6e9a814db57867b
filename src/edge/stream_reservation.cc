// Reserves KV memory at the decode engine before the prefill starts, so that no prefill is wasted on a full decode engine.
#include "currantstack/edge/upstream_links.h"
#include "stream_request.h"

namespace currantstack
{

namespace
{

constexpr Duration CallTimeout = milliseconds(500); // of a reservation call; after it another engine is tried
// A reservation lasts for the expected prefill time multiplied by this factor, plus this margin.
constexpr double ReservationLifetimeFactor = 2;
constexpr Duration ReservationLifetimeMargin = milliseconds(600);
// An engine that refuses while its known requests take at least this share of its KV memory is considered full; below that, the
// refusal has another cause.
constexpr double BusyKvShare = 0.5;

} // namespace

auto StreamRequest::takesReservations(const Upstream &engine) const -> bool
{
    const auto *service = m_request.routeTable->service(m_request.service);
    // An engine in need gets no calls besides the request itself.
    return service->engine->reservationLifetime > Duration::zero() && !m_context.rateLimiter.limitOf(engine.id);
}

auto StreamRequest::startReservation(const Upstream &engine, Duration lifetime, ReservationDone done) -> void
{
    const auto *service = m_request.routeTable->service(m_request.service);
    const auto tokens = std::min(m_context.speedsOf(m_request.service).expectedKvTokens(m_request.metadata.shape),
                                 static_cast<double>(service->engine->kvTokens));
    auto call =
        m_context.protocol.reserveCall(engine, static_cast<std::int64_t>(tokens), std::min(lifetime, service->engine->reservationLifetime));
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = CallTimeout;
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this(), engine, done = std::move(done),
                       sentAt = m_context.clock.now()](const Result<HttpResponse> &result) {
        auto &context = self->m_context;
        if (!result) {
            recordFailedCall(context, engine, result.error(), sentAt);
        }
        if (self->m_done) {
            return;
        }
        self->m_reserveCall = 0;
        observeNotices(context, engine, result);
        auto reserved = result ? context.protocol.parseReservation(*result) : Result<std::string>(tl::unexpected(result.error()));
        if (reserved) {
            context.exclusions.onAccepted(engine.id);
        }
        done(reserved);
    };
    m_reserveCall = m_context.client.start(std::move(call), std::move(handlers));
}

auto StreamRequest::reserve(const StreamPlan &plan) -> void
{
    if (!maySendTo(m_decodeEngine, "reservation")) {
        placeAgain();
        return;
    }
    if (!takesReservations(m_decodeEngine)) {
        execute(plan.prefill != nullptr);
        return;
    }
    const auto lifetime = fromMilliseconds(ReservationLifetimeFactor * toMilliseconds(plan.prefillTime)) + ReservationLifetimeMargin;
    startReservation(m_decodeEngine, lifetime,
                     [self = shared_from_this(), separatePrefill = plan.prefill != nullptr](const Result<std::string> &reserved) {
                         self->onReserved(reserved, separatePrefill);
                     });
}

auto StreamRequest::onReserved(const Result<std::string> &reserved, bool separatePrefill) -> void
{
    if (reserved) {
        m_reservation = *reserved;
        execute(separatePrefill);
        return;
    }
    release(m_decodeClaim);
    release(m_prefillClaim);
    recordRefusedReservation(m_decodeEngine, reserved.error());
    if (!m_handle.empty() && redirect()) {
        return;
    }
    freeHandle();
    placeOrEnqueue();
}

/// Excludes an engine that has not granted a reservation for a back-off time.
auto StreamRequest::recordRefusedReservation(const Upstream &engine, const Error &error) -> void
{
    const auto now = m_context.clock.now();
    const auto load = m_context.loads.total(engine.id, now);
    m_context.counters.at("reservations_refused").add();
    m_context.log.write(
        "stream", "reservation_refused",
        {{"request", m_request.metadata.requestId}, {"engine", engine.id}, {"error", describe(error)}, {"kv_booked", load.kvTokens}});
    if (error.code == ErrorCode::Overloaded && engine.place != m_context.settings.place) {
        m_context.remoteRefusals.onRefused(engine.place, now);
    }
    if (error.code == ErrorCode::Overloaded && isBusy(engine)) {
        m_context.exclusions.onFull(engine.id, load.requests, m_context.speedsOf(m_request.service).streamDuration(), now);
    } else if (error.code == ErrorCode::Overloaded) {
        m_context.exclusions.onRefused(engine.id, now);
    } else {
        recordFailure(engine, evidenceOf(error));
    }
}

auto StreamRequest::evidenceOf(const Error &error) -> FailureEvidence
{
    return {false, error.connectionClosed};
}

/// Excludes the engine for a back-off time. If the engine proves that the directory entry is outdated (status 421), the exclusion is also
/// announced to the other VMs, so that it does not cost each of them a failed request.
auto StreamRequest::recordFailure(const Upstream &engine, FailureEvidence evidence) -> void
{
    const auto now = m_context.clock.now();
    m_context.health.observeFailure(engine.id, now);
    m_context.exclusions.onRefused(engine.id, now);
    if (evidence.entryOutdated) {
        m_context.exclusions.add({engine.id, ExclusionReason::Outdated, EngineRole::None, ExclusionList::OutdatedLifetime}, now);
        m_context.log.write("stream", "entry_outdated", {{"request", m_request.metadata.requestId}, {"engine", engine.id}});
    }
}

auto StreamRequest::isBusy(const Upstream &engine) const -> bool
{
    const auto *service = m_request.routeTable->service(m_request.service);
    const auto known = m_context.loads.total(engine.id, m_context.clock.now()).kvTokens;
    return known >= BusyKvShare * static_cast<double>(service->engine->kvTokens);
}

auto StreamRequest::dropReservation() -> void
{
    if (!m_reservation.empty()) {
        startRelease(m_context, m_decodeEngine, m_context.protocol.dropReservationCall(m_decodeEngine, std::exchange(m_reservation, {})));
    }
}

} // namespace currantstack
