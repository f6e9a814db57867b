#include "engine.h"

#include "serve.h"

#include "currantstack/codec.h"
#include "currantstack/log.h"
#include "currantstack/sse.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace standin
{

namespace
{

constexpr Log EngineLog("engine");
constexpr Duration TickPeriod = milliseconds(50);
constexpr int MaxReports = 100; // five seconds of ticks
constexpr std::size_t MaxCacheEvents = 4096;

auto countTokens(std::string_view text) -> std::int64_t
{
    std::int64_t count = 0;
    bool inWord = false;
    for (const char letter : text) {
        const bool space = letter == ' ' || letter == '\n';
        count += (!space && !inWord) ? 1 : 0;
        inWord = !space;
    }
    return count;
}

} // namespace

auto tokenText(std::uint64_t promptHash, std::int64_t index) -> std::string
{
    return fmt::format("{:05x}-{} ", promptHash % 0xfffff, index);
}

Engine::Engine(Loop &loop, HttpClient &client, EngineSettings settings, std::uint64_t seed)
    : m_loop(loop)
    , m_client(client)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_cache(m_settings.cacheBlocks)
    , m_stepTimer(loop.timer([this]() { step(); }))
    , m_tickTimer(loop.timer([this]() { tick(); }))
{
    m_tickTimer->startRepeating(TickPeriod, TickPeriod);
}

Engine::~Engine()
{
    *m_alive = false;
}

auto Engine::open() -> Result<void>
{
    auto server = serve(m_loop, m_settings.address, m_settings.port, [this](const ExchangePtr &exchange) { handle(exchange); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    m_server = std::move(*server);
    m_settings.port = m_server->port();
    return {};
}

auto Engine::respondError(const ExchangePtr &exchange, int status, std::string_view message) -> void
{
    exchange->respond(jsonResponse(status, dumpJson({{"error", {{"message", message}, {"engine", m_settings.name}}}})));
}

auto Engine::handle(const ExchangePtr &exchange) -> void
{
    const auto &path = exchange->request().path;
    const bool isPost = exchange->request().method == "POST";
    if (isPost && path == "/v1/completions") {
        handleCompletion(exchange, false);
    } else if (isPost && path == "/v1/chat/completions") {
        handleCompletion(exchange, true);
    } else if (isPost && path == "/v1/kv/export") {
        handleExport(exchange);
    } else if (isPost && path == "/v1/requests/cancel") {
        handleCancel(exchange);
    } else if (isPost && path == "/v1/orders") {
        handleOrder(exchange);
    } else if (isPost && path == "/standin/faults") {
        handleFault(exchange);
    } else if (path == "/v1/requests/stream") {
        handleResume(exchange);
    } else if (path == "/v1/requests") {
        handleRunningRequests(exchange);
    } else if (path == "/v1/load") {
        handleLoad(exchange);
    } else if (path == "/v1/cache-events") {
        handleCacheEvents(exchange);
    } else if (path == "/standin/counters") {
        exchange->respond(jsonResponse(200, m_counters.dump()));
    } else {
        respondError(exchange, 404, "no such path");
    }
}

auto Engine::occupiedSlots() const -> int
{
    int count = static_cast<int>(m_exports.size()) + static_cast<int>(m_batch.size());
    for (const auto &[id, job] : m_jobs) {
        count += job->phase == "transfer" || job->phase == "prefill" ? 1 : 0;
    }
    return count;
}

auto Engine::slowFactor() const -> double
{
    return m_clock.now() < m_slowUntil ? m_slowdown : 1.0;
}

auto Engine::handleCompletion(const ExchangePtr &exchange, bool /*chat*/) -> void
{
    auto document = parseJson(exchange->request().body, "completion");
    auto request = document ? completionFromJson(*document) : Result<CompletionRequest>(tl::unexpected(document.error()));
    if (!request) {
        return respondError(exchange, 400, request.error().message);
    }
    if (request->requestId.empty()) {
        request->requestId = fmt::format("local.{}", m_nextHandle++);
    }
    if (m_jobs.contains(request->requestId)) {
        return respondError(exchange, 409, "the request id is in use");
    }
    if (m_cancelled.contains(request->requestId)) {
        return respondError(exchange, 499, "the request was cancelled");
    }
    if (request->model != m_settings.model) {
        return respondError(exchange, 404, "the model is not loaded");
    }
    const bool isPrefill = request->transfer.doRemoteDecode;
    if (isPrefill != (m_settings.role == "prefill")) {
        return respondError(exchange, 409, "the engine has another role");
    }
    auto job = std::make_shared<Job>();
    job->request = std::move(*request);
    job->promptHash = hash64(job->request.prompt);
    job->promptTokens = isPrefill ? countTokens(job->request.prompt) : job->request.transfer.promptTokens;
    job->nextToken = job->request.continueFrom;
    job->arrived = m_clock.now();
    job->exchange = exchange;
    m_counters.at("requests").add();
    if (job->request.prompt.find(isPrefill ? "crash-prefill" : "crash-decode") != std::string::npos) {
        EngineLog.warning("{} crashes on {}", m_settings.name, job->request.requestId);
        m_loop.defer([this, alive = m_alive]() {
            if (*alive) {
                crash();
            }
        });
        return;
    }
    exchange->onDisconnect([this, alive = m_alive, weak = std::weak_ptr<Job>(job)]() {
        const auto disconnected = weak.lock();
        if (*alive && disconnected) {
            disconnected->disconnectedAt = m_clock.now();
            disconnected->exchange.reset();
        }
    });
    m_jobs[job->request.requestId] = job;
    m_waiting.push_back(job);
    if (isPrefill) {
        startPrefills();
    } else {
        startImports();
    }
}

auto Engine::popHighestPriority() -> JobPtr
{
    const auto best = std::max_element(m_waiting.begin(), m_waiting.end(), [](const JobPtr &left, const JobPtr &right) {
        return left->request.priority < right->request.priority;
    });
    auto job = *best;
    m_waiting.erase(best);
    return job;
}

auto Engine::startPrefills() -> void
{
    if (m_settings.role != "prefill" || m_prefillJob || m_waiting.empty() || occupiedSlots() >= m_settings.slots) {
        return;
    }
    m_prefillJob = popHighestPriority();
    const auto job = m_prefillJob;
    job->phase = "prefill";
    job->cachedTokens = static_cast<std::int64_t>(m_cache.lookupAndInsert(job->request.prompt) * static_cast<double>(job->promptTokens));
    const auto uncached = static_cast<double>(job->promptTokens - job->cachedTokens + job->request.continueFrom);
    const double prefillMs = (m_settings.prefillOverheadMs + uncached * m_settings.prefillMicrosPerToken / 1000) * slowFactor();
    m_loop.after(fromMilliseconds(prefillMs), [this, alive = m_alive, job]() {
        if (*alive) {
            finishPrefill(job);
        }
    });
}

auto Engine::finishPrefill(const JobPtr &job) -> void
{
    m_prefillJob.reset();
    const auto prefilled = job->promptTokens - job->cachedTokens + job->request.continueFrom;
    m_counters.at("prefill_tokens").add(prefilled);
    if (!m_jobs.contains(job->request.requestId)) {
        m_counters.at("prefill_tokens_wasted").add(prefilled);
        startPrefills();
        return;
    }
    const auto handle = fmt::format("{}-{}", m_settings.name, m_nextHandle++);
    m_exports[handle] = {job->request.requestId, prefilled, m_clock.now() + fromMilliseconds(m_settings.kvExpiryMs), false};
    job->phase = "exportable";
    if (const auto head = PrefixCache::firstBlockHash(job->request.prompt); head != 0) {
        if (std::uniform_real_distribution<double>()(m_random) >= m_settings.eventLossShare) {
            m_cacheEvents.push_back({m_nextEventSequence, head, m_clock.now() + fromMilliseconds(m_settings.eventLagMs)});
        }
        ++m_nextEventSequence;
        if (m_cacheEvents.size() > MaxCacheEvents) {
            m_cacheEvents.pop_front();
        }
    }
    KvTransfer transfer;
    transfer.doRemotePrefill = true;
    transfer.remoteAddress = fmt::format("{}:{}", m_settings.address, m_settings.port);
    transfer.remoteHandle = handle;
    transfer.promptTokens = job->promptTokens;
    transfer.cachedTokens = job->cachedTokens;
    transfer.expiresInMs = static_cast<std::int64_t>(m_settings.kvExpiryMs);
    if (job->exchange && !job->silenced) {
        job->exchange->respond(jsonResponse(200, dumpJson({{"id", job->request.requestId}, {"kv_transfer_params", toJson(transfer)}})));
    }
    startPrefills();
}

auto Engine::handleExport(const ExchangePtr &exchange) -> void
{
    const auto document = parseJson(exchange->request().body, "export");
    const auto transfer = document ? kvTransferFromJson(*document) : Result<KvTransfer>(tl::unexpected(document.error()));
    if (!transfer) {
        return respondError(exchange, 400, transfer.error().message);
    }
    const auto found = m_exports.find(transfer->remoteHandle);
    if (found == m_exports.end()) {
        return respondError(exchange, 410, "the export has expired");
    }
    if (m_clock.now() < m_stallUntil) {
        return; // a stalled transfer is never answered
    }
    found->second.transferring = true;
    const double bytes = static_cast<double>(transfer->promptTokens) * m_settings.kvBytesPerToken;
    m_linkFreeAt = std::max(m_linkFreeAt, m_clock.now()) + fromMilliseconds(1000 * bytes / m_settings.linkBytesPerSecond);
    m_loop.after(m_linkFreeAt - m_clock.now(), [this, alive = m_alive, exchange, handle = transfer->remoteHandle]() {
        if (!*alive) {
            return;
        }
        const auto entry = m_exports.find(handle);
        if (entry == m_exports.end()) {
            return respondError(exchange, 410, "the export was cancelled");
        }
        m_jobs.erase(entry->second.requestId);
        m_exports.erase(entry);
        exchange->respond(jsonResponse(200, "{}"));
        startPrefills();
    });
}

auto Engine::startImports() -> void
{
    if (m_settings.role == "prefill") {
        return;
    }
    while (!m_waiting.empty() && occupiedSlots() < m_settings.slots) {
        const auto job = popHighestPriority();
        job->phase = "transfer";
        HttpCall call;
        call.method = "POST";
        call.url = urlOf(job->request.transfer.remoteAddress, "/v1/kv/export");
        call.body = dumpJson(toJson(job->request.transfer));
        call.totalTimeout = seconds(30);
        HttpHandlers handlers;
        handlers.onDone = [this, alive = m_alive, job](const Result<HttpResponse> &response) {
            if (!*alive || !m_jobs.contains(job->request.requestId)) {
                return;
            }
            if (!response || response->status != 200) {
                if (job->exchange) {
                    respondError(job->exchange, 424, response ? "the KV export has expired" : "the prefill engine is unreachable");
                }
                return dropJob(job);
            }
            joinBatch(job);
        };
        job->importCall = m_client.start(std::move(call), std::move(handlers));
    }
}

auto Engine::joinBatch(const JobPtr &job) -> void
{
    job->phase = "decode";
    m_counters.at("decodes").add();
    if (job->exchange && job->request.stream) {
        job->exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
    }
    m_batch.push_back(job);
    m_counters.at("batch_peak").set(std::max<std::int64_t>(m_counters.value("batch_peak"), occupiedSlots()));
    scheduleStep();
}

auto Engine::scheduleStep() -> void
{
    if (m_stepScheduled || m_batch.empty()) {
        return;
    }
    m_stepScheduled = true;
    const auto now = m_clock.now();
    const double stepMs = (m_settings.stepBaseMs + m_settings.stepPerRequestMs * static_cast<double>(m_batch.size())) * slowFactor();
    const auto due = std::max(now - milliseconds(5), m_lastStep) + fromMilliseconds(stepMs);
    m_stepTimer->startOnce(std::max(Duration::zero(), Duration(due - now)));
    m_lastStep = due;
}

auto Engine::step() -> void
{
    m_stepScheduled = false;
    const auto batch = m_batch;
    for (const auto &job : batch) {
        if (emitToken(job)) {
            dropJob(job);
        }
    }
    scheduleStep();
    startImports();
}

auto Engine::emitToken(const JobPtr &job) -> bool
{
    const auto index = job->nextToken++;
    const bool last = job->nextToken >= job->request.maxTokens;
    m_counters.at("tokens").add();
    if (!job->exchange || job->silenced || !job->request.stream) {
        if (last && job->exchange && !job->silenced) {
            std::string text;
            for (std::int64_t token = job->request.continueFrom; token < job->nextToken; ++token) {
                text += tokenText(job->promptHash, token);
            }
            job->exchange->respond(jsonResponse(
                200, dumpJson({{"id", job->request.requestId}, {"choices", {{{"text", text}, {"finish_reason", "length"}}}}})));
        }
        return last;
    }
    job->exchange->write(fmt::format("data: {{\"id\":\"{}\",\"choices\":[{{\"index\":0,\"text\":\"{}\",\"finish_reason\":{}}}]}}\n\n",
                                     job->request.requestId, tokenText(job->promptHash, index), last ? "\"length\"" : "null"));
    if (last) {
        job->exchange->write("data: [DONE]\n\n");
        job->exchange->end();
    }
    return last;
}

auto Engine::dropJob(const JobPtr &job) -> void
{
    std::erase(m_batch, job);
    std::erase(m_waiting, job);
    if (job->importCall != 0) {
        m_client.cancel(job->importCall);
    }
    std::erase_if(m_exports, [this, &job](const auto &entry) {
        const bool matches = entry.second.requestId == job->request.requestId;
        if (matches) {
            m_counters.at("prefill_tokens_wasted").add(entry.second.tokens);
        }
        return matches;
    });
    m_jobs.erase(job->request.requestId);
    if (job->exchange && !job->exchange->isAnswered()) {
        respondError(job->exchange, 499, "the request was cancelled");
    } else if (job->exchange) {
        job->exchange->abort();
    }
    m_loop.defer([this, alive = m_alive]() {
        if (*alive) {
            startPrefills();
            startImports();
        }
    });
}

auto Engine::tick() -> void
{
    const auto now = m_clock.now();
    LoadReport report;
    report.slots = m_settings.slots;
    report.running = occupiedSlots();
    report.waiting = static_cast<std::int64_t>(m_waiting.size());
    for (const auto &job : m_waiting) {
        report.waitingTokens += job->promptTokens;
    }
    m_reports.emplace_back(now, report);
    if (m_reports.size() > MaxReports) {
        m_reports.pop_front();
    }
    std::vector<JobPtr> ended;
    for (const auto &[id, job] : m_jobs) {
        if (job->disconnectedAt != TimePoint() && now - job->disconnectedAt > fromMilliseconds(m_settings.lingerMs)) {
            ended.push_back(job);
        }
    }
    for (const auto &[handle, entry] : m_exports) {
        const auto owner = m_jobs.find(entry.requestId);
        if (!entry.transferring && entry.expires < now && owner != m_jobs.end()) {
            m_counters.at("exports_expired").add();
            ended.push_back(owner->second);
        }
    }
    for (const auto &job : ended) {
        dropJob(job);
    }
    std::erase_if(m_cancelled, [now](const auto &entry) { return entry.second < now; });
}

} // namespace standin
