#include "load_generator.h"

#include "currantstack/codec.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <random>

namespace bench
{

namespace
{

constexpr double MaxLateGapShare = 0.05; // share of token gaps that may exceed the target

auto expectedToken(std::uint64_t promptHash, std::int64_t index) -> std::string
{
    return fmt::format("{:05x}-{} ", promptHash % 0xfffff, index);
}

auto percentile(std::vector<double> values, double quantile) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size()))) - 1;
    return values[std::min(index, values.size() - 1)];
}

} // namespace

LoadGenerator::LoadGenerator(Loop &loop, Scenario scenario, std::vector<std::string> targets, double capacity, std::uint64_t seed)
    : m_loop(loop)
    , m_client(loop)
    , m_scenario(std::move(scenario))
    , m_targets(std::move(targets))
    , m_capacity(capacity)
    , m_random(seed)
    , m_seed(seed)
{
    for (const auto &spec : m_scenario.streams) {
        auto stream = std::make_unique<Stream>();
        stream->spec = spec;
        for (int group = 0; group < spec.prefix.groups; ++group) {
            std::string prefix;
            for (int token = 0; token < spec.prefix.tokens; ++token) {
                prefix += fmt::format("p{:04x} ", static_cast<unsigned>(m_random() & 0xffff));
            }
            stream->prefixes.push_back(std::move(prefix));
        }
        auto *raw = stream.get();
        stream->timer = loop.timer([this, raw]() { onArrival(*raw); });
        m_streams.push_back(std::move(stream));
    }
}

auto LoadGenerator::start() -> void
{
    m_startedAt = m_clock.now();
    for (auto &stream : m_streams) {
        stream->nextArrival = m_startedAt;
        scheduleArrival(*stream);
    }
    m_loop.after(fromMilliseconds(1000 * (m_scenario.seconds + m_scenario.graceSeconds)), [this]() { m_loop.stop(); });
    m_endTimer = m_loop.timer([this]() {
        const bool arrivalsEnded = elapsedSeconds() > m_scenario.seconds;
        const bool allCompleted =
            std::all_of(m_calls.begin(), m_calls.end(), [](const auto &call) { return !call->outcome.result.empty(); });
        if (arrivalsEnded && allCompleted) {
            m_loop.stop();
        }
    });
    m_endTimer->startRepeating(fromMilliseconds(1000 * m_scenario.seconds), milliseconds(100));
}

auto LoadGenerator::elapsedSeconds() const -> double
{
    return toSeconds(m_clock.now() - m_startedAt);
}

auto LoadGenerator::nextTarget() -> const std::string &
{
    return m_targets[m_nextTarget++ % m_targets.size()];
}

auto LoadGenerator::rateAt(const Stream &stream, double seconds) const -> double
{
    double rate = 0;
    for (const auto &point : stream.spec.load) {
        if (point.atSeconds <= seconds) {
            rate = point.rate;
        }
    }
    return stream.spec.kind == "model" ? rate * m_capacity : rate;
}

auto LoadGenerator::scheduleArrival(Stream &stream) -> void
{
    const auto at = toSeconds(stream.nextArrival - m_startedAt);
    if (at > m_scenario.seconds) {
        return;
    }
    const double rate = rateAt(stream, at);
    // While the rate is 0, the stream is checked again after 50 ms.
    const double wait = rate <= 0 ? 0.05 : std::min(1.0, std::exponential_distribution<double>(rate)(m_random));
    stream.nextArrival += fromMilliseconds(1000 * wait);
    stream.timer->startOnce(std::max(Duration::zero(), Duration(stream.nextArrival - m_clock.now())));
}

auto LoadGenerator::onArrival(Stream &stream) -> void
{
    const auto at = toSeconds(stream.nextArrival - m_startedAt);
    if (at <= m_scenario.seconds && rateAt(stream, at) > 0) {
        if (stream.spec.kind == "model") {
            sendModelRequest(stream);
        } else {
            sendServiceRequest(stream);
        }
    }
    scheduleArrival(stream);
}

auto LoadGenerator::makePrompt(Stream &stream) -> std::string
{
    const auto &distribution = stream.spec.prompt;
    const double length = std::lognormal_distribution<double>(std::log(distribution.median), distribution.sigma)(m_random);
    auto remaining = static_cast<int>(std::clamp(length, distribution.min, distribution.max));
    std::string prompt;
    std::uniform_real_distribution<double> uniform;
    if (!stream.prefixes.empty() && uniform(m_random) < stream.spec.prefix.share) {
        prompt = stream.prefixes[m_random() % stream.prefixes.size()];
        remaining = std::max(1, remaining - stream.spec.prefix.tokens);
    }
    if (stream.spec.crashShare > 0 && uniform(m_random) < stream.spec.crashShare) {
        prompt += "crash-decode ";
    }
    prompt.reserve(prompt.size() + static_cast<std::size_t>(remaining) * 6);
    for (; remaining > 0; --remaining) {
        fmt::format_to(std::back_inserter(prompt), "w{:04x} ", static_cast<unsigned>(m_random() & 0xffff));
    }
    return prompt;
}

auto LoadGenerator::sendModelRequest(Stream &stream) -> void
{
    auto call = std::make_shared<Call>();
    const auto prompt = makePrompt(stream);
    call->promptHash = hash64(prompt);
    call->expectedTokens = std::uniform_int_distribution<int>(stream.spec.minOutput, stream.spec.maxOutput)(m_random);
    call->outcome.stream = stream.spec.name;
    call->outcome.kind = "model";
    call->outcome.arrivedS = elapsedSeconds();
    call->startedAt = m_clock.now();
    HttpCall http;
    http.method = "POST";
    http.url = "/v1/completions";
    http.headers = {{"Authorization", "Bearer " + stream.spec.token}, {"Content-Type", "application/json"}};
    http.body = dumpJson({{"model", stream.spec.model}, {"prompt", prompt}, {"max_tokens", call->expectedTokens}, {"stream", true}});
    http.connectTimeout = seconds(2);
    call->request = std::move(http);
    dispatch(call);
    m_calls.push_back(call);
    if (stream.spec.cancelShare > 0 && std::uniform_real_distribution<double>()(m_random) < stream.spec.cancelShare) {
        m_loop.after(fromMilliseconds(std::uniform_real_distribution<double>(1, 800)(m_random)), [this, call]() {
            if (call->outcome.result.empty()) {
                call->outcome.result = "cancelled";
                m_client.cancel(call->id);
            }
        });
    }
}

auto LoadGenerator::bypassRouter(std::string prefill, std::string decode) -> void
{
    m_directPrefill = std::move(prefill);
    m_directDecode = std::move(decode);
}

auto LoadGenerator::sendDirectly(const std::shared_ptr<Call> &call) -> void
{
    auto body = Json::parse(call->request.body);
    body["request_id"] = fmt::format("load.{}.{}", m_seed, m_sequence++);
    body["stream"] = false;
    body["kv_transfer_params"] = {{"do_remote_decode", true}};
    HttpCall prefill = call->request;
    prefill.url = urlOf(m_directPrefill, call->request.url);
    prefill.body = body.dump();
    HttpHandlers handlers;
    handlers.onDone = [this, call, body](const Result<HttpResponse> &response) mutable {
        if (!response || response->status != 200) {
            return complete(call, response);
        }
        body["kv_transfer_params"] = Json::parse(response->body)["kv_transfer_params"];
        body["stream"] = true;
        call->request.body = body.dump();
        m_targets = {m_directDecode};
        send(call);
    };
    m_client.start(std::move(prefill), std::move(handlers));
}

auto LoadGenerator::dispatch(const std::shared_ptr<Call> &call) -> void
{
    if (m_directPrefill.empty()) {
        send(call);
    } else {
        sendDirectly(call);
    }
}

auto LoadGenerator::send(const std::shared_ptr<Call> &call) -> void
{
    auto http = call->request;
    http.url = urlOf(nextTarget(), http.url);
    HttpHandlers handlers;
    handlers.onHead = [call](int status, const Headers &) { call->status = status; };
    handlers.onData = [this, call](std::string_view data) {
        if (call->outcome.kind == "model" && call->status == 200) {
            call->parser.feed(data, [this, call](std::string_view event) { onEvent(*call, event); });
        } else {
            call->body.append(data);
        }
    };
    handlers.onDone = [this, call](const Result<HttpResponse> &response) {
        const bool notSent = !response && response.error().code == ErrorCode::Unreachable;
        if (notSent && call->connectRetries < 3) {
            ++call->connectRetries;
            return send(call);
        }
        complete(call, response);
    };
    call->id = m_client.start(std::move(http), std::move(handlers));
}

auto LoadGenerator::onEvent(Call &call, std::string_view data) -> void
{
    if (data == "[DONE]") {
        call.receivedDone = true;
        return;
    }
    const auto now = m_clock.now();
    const auto event = Json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices")) {
        call.mismatched = true;
        return;
    }
    const auto text = event["choices"][0].value("text", std::string());
    call.mismatched = call.mismatched || text != expectedToken(call.promptHash, call.outcome.tokens);
    if (call.outcome.tokens == 0) {
        call.outcome.firstTokenMs = toMilliseconds(now - call.startedAt);
    } else if (toMilliseconds(now - call.lastTokenAt) > m_scenario.gapTargetMs) {
        ++call.outcome.lateGaps;
    }
    call.lastTokenAt = now;
    ++call.outcome.tokens;
}

auto LoadGenerator::sendServiceRequest(Stream &stream) -> void
{
    auto call = std::make_shared<Call>();
    call->outcome.stream = stream.spec.name;
    call->outcome.kind = "service";
    call->outcome.arrivedS = elapsedSeconds();
    call->startedAt = m_clock.now();
    HttpCall http;
    http.method = stream.spec.method;
    http.url = stream.spec.path;
    http.headers = {{"Authorization", "Bearer " + stream.spec.token}};
    http.connectTimeout = seconds(2);
    http.totalTimeout = seconds(15);
    if (stream.spec.method == "POST") {
        call->outcome.booking = fmt::format("{}-{}-{}", stream.spec.name, m_seed, m_sequence++);
        http.headers.push_back({"Idempotency-Key", call->outcome.booking});
        http.headers.push_back({"Content-Type", "application/json"});
        http.body = dumpJson({{"booking", call->outcome.booking}});
    }
    call->request = std::move(http);
    dispatch(call);
    m_calls.push_back(call);
}

auto LoadGenerator::complete(const std::shared_ptr<Call> &call, const Result<HttpResponse> &response) -> void
{
    auto &outcome = call->outcome;
    if (!outcome.result.empty()) {
        return;
    }
    outcome.status = call->status;
    outcome.totalMs = toMilliseconds(m_clock.now() - call->startedAt);
    const bool isService = outcome.kind == "service";
    const bool answered = isService ? call->status >= 200 && call->status < 300 : call->status == 200;
    if (!response && (isService || call->status == 0 || call->status == 200)) {
        outcome.result = "broken";
    } else if (!answered) {
        outcome.result = "refused";
        const auto body = Json::parse(call->body, nullptr, false);
        outcome.executed = body.is_object() ? body.value("ran", std::string()) : std::string();
    } else if (isService) {
        outcome.result = "answered";
        outcome.firstTokenMs = outcome.totalMs;
        const auto body = Json::parse(call->body, nullptr, false);
        if (!outcome.booking.empty() && (!body.is_object() || body.value("booking", std::string()) != outcome.booking)) {
            outcome.result = "wrong";
        }
    } else if (call->mismatched) {
        outcome.result = "wrong";
    } else {
        outcome.result = call->receivedDone && outcome.tokens == call->expectedTokens ? "answered" : "broken";
    }
    if (outcome.result == "answered" && !isService) {
        const bool gapsOnTarget = outcome.lateGaps <= MaxLateGapShare * std::max(1, outcome.tokens - 1);
        outcome.good = gapsOnTarget && outcome.firstTokenMs <= m_scenario.firstTokenTargetMs;
    }
    const auto spec =
        std::find_if(m_streams.begin(), m_streams.end(), [&outcome](const auto &stream) { return stream->spec.name == outcome.stream; });
    if (outcome.result == "answered" && isService) {
        outcome.good = outcome.totalMs <= (*spec)->spec.targetMs;
    }
    call->body.clear();
}

auto LoadGenerator::summary(const std::string &stream) const -> Json
{
    std::map<std::string, int> results;
    std::vector<double> first;
    std::vector<double> total;
    int count = 0;
    int good = 0;
    int lateFirst = 0;
    int lateGaps = 0;
    std::int64_t tokens = 0;
    for (const auto &call : m_calls) {
        const auto &outcome = call->outcome;
        if (outcome.stream != stream) {
            continue;
        }
        ++count;
        ++results[outcome.result.empty() ? "unfinished" : outcome.result];
        good += outcome.good ? 1 : 0;
        tokens += outcome.tokens;
        if (outcome.result == "answered") {
            first.push_back(outcome.firstTokenMs);
            total.push_back(outcome.totalMs);
            const bool late = outcome.kind == "model" && outcome.firstTokenMs > m_scenario.firstTokenTargetMs;
            lateFirst += late ? 1 : 0;
            lateGaps += !late && !outcome.good ? 1 : 0;
        }
    }
    return {{"requests", count},
            {"good", good},
            {"late_first", lateFirst},
            {"late_gaps", lateGaps},
            {"results", results},
            {"tokens", tokens},
            {"first_token_ms", {{"p50", percentile(first, 0.5)}, {"p95", percentile(first, 0.95)}, {"p99", percentile(first, 0.99)}}},
            {"total_ms", {{"p50", percentile(total, 0.5)}, {"p99", percentile(total, 0.99)}}}};
}

auto LoadGenerator::report() const -> Json
{
    Json streams = Json::object();
    for (const auto &stream : m_streams) {
        streams[stream->spec.name] = summary(stream->spec.name);
    }
    return {{"scenario", m_scenario.name},
            {"seed", m_seed},
            {"capacity", m_capacity},
            {"seconds", m_scenario.seconds},
            {"streams", std::move(streams)}};
}

auto LoadGenerator::outcomes() const -> Json
{
    auto list = Json::array();
    for (const auto &call : m_calls) {
        const auto &outcome = call->outcome;
        list.push_back({{"stream", outcome.stream},
                        {"kind", outcome.kind},
                        {"booking", outcome.booking},
                        {"result", outcome.result.empty() ? "unfinished" : outcome.result},
                        {"status", outcome.status},
                        {"ran", outcome.executed},
                        {"arrived_s", outcome.arrivedS},
                        {"first_token_ms", outcome.firstTokenMs},
                        {"total_ms", outcome.totalMs},
                        {"tokens", outcome.tokens},
                        {"late_gaps", outcome.lateGaps},
                        {"good", outcome.good}});
    }
    return list;
}

} // namespace bench
