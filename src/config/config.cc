#include "currantstack/config.h"

#include "currantstack/codec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

template<typename List>
auto findByName(const List &list, std::string_view name) -> const typename List::value_type *
{
    const auto found = std::find_if(list.begin(), list.end(), [name](const auto &entry) { return entry.name == name; });
    return found == list.end() ? nullptr : &*found;
}

auto isAddress(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    in_addr number{};
    const auto port = std::atoi(std::string(text.substr(colon + 1)).c_str());
    return inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &number) == 1 && port > 0 && port < 65536;
}

auto isTokenHash(std::string_view text) -> bool
{
    if (!text.starts_with("sha256:") || text.size() != 71) {
        return false;
    }
    return text.substr(7).find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto isName(std::string_view text) -> bool
{
    constexpr std::string_view AllowedCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= 64 && text.find_first_not_of(AllowedCharacters) == std::string_view::npos;
}

/// Reads a document and collects all its errors.
class ConfigParser
{
public:
    explicit ConfigParser(const Json &document)
        : m_root(document, "", m_errors)
    { }

    auto parse() -> tl::expected<Config, ValidationErrors>
    {
        m_config.revision = m_root.integer("revision", 0, 1LL << 53, 0);
        m_config.submission = m_root.text("submission", "");
        readPlaces();
        readModels();
        readPools();
        readServices();
        readMembers();
        readOperators();
        readLimits();
        readTimeouts();
        m_root.rejectUnknownFields();
        if (!m_errors.empty()) {
            return tl::unexpected(std::move(m_errors));
        }
        buildIndex();
        return std::move(m_config);
    }

private:
    auto buildIndex() -> void
    {
        auto &index = m_config.index;
        for (std::size_t position = 0; position < m_config.engines.size(); ++position) {
            const auto &engine = m_config.engines[position];
            index.engines[engine.name] = position;
            index.pools.try_emplace(engine.model + "/" + std::string(currantstack::name(engine.role)), engine.pool);
        }
        for (std::size_t position = 0; position < m_config.members.size(); ++position) {
            for (const auto &hash : m_config.members[position].tokenHashes) {
                index.memberTokens[hash] = position;
            }
        }
    }

    auto readName(ObjectReader &reader, std::set<std::string> &usedNames) -> std::string
    {
        auto value = reader.text("name");
        if (!isName(value)) {
            reader.addError("name", "must be 1 to 64 letters, digits, '-', '_' or '.'");
        } else if (!usedNames.insert(value).second) {
            reader.addError("name", fmt::format("name '{}' is not unique", value));
        }
        return value;
    }

    auto readAddress(ObjectReader &reader) -> std::string
    {
        auto value = reader.text("address");
        if (!isAddress(value)) {
            reader.addError("address", "must be an IPv4 address and a port, such as 10.0.0.1:8000");
        }
        return value;
    }

    auto readPlace(ObjectReader &reader) -> std::string
    {
        auto value = reader.text("place");
        if (m_config.findPlace(value) == nullptr) {
            reader.addError("place", fmt::format("place '{}' is not defined", value));
        }
        return value;
    }

    auto readHashes(ObjectReader &reader) -> std::vector<std::string>
    {
        auto hashes = reader.texts("token_hashes");
        for (const auto &hash : hashes) {
            if (!isTokenHash(hash)) {
                reader.addError("token_hashes", "must be 'sha256:' and 64 hexadecimal digits");
            } else if (!m_tokenHashes.insert(hash).second) {
                reader.addError("token_hashes", "the same token hash is used twice");
            }
        }
        return hashes;
    }

    auto readPlaces() -> void
    {
        std::set<std::string> names;
        for (auto &reader : m_root.objects("places")) {
            Place place;
            place.name = readName(reader, names);
            place.region = reader.text("region");
            reader.rejectUnknownFields();
            m_config.places.push_back(std::move(place));
        }
        if (m_config.places.empty()) {
            m_root.addError("places", "must have at least one place");
        }
    }

    auto readModels() -> void
    {
        std::set<std::string> names;
        for (auto &reader : m_root.objects("models")) {
            Model model;
            model.name = readName(reader, names);
            model.firstTokenTarget = milliseconds(reader.integer("first_token_target_ms", 1, 600000, 1700));
            model.tokenGapTarget = milliseconds(reader.integer("token_gap_target_ms", 1, 60000, 26));
            model.kvBytesPerToken = reader.number("kv_bytes_per_token", 1, 1e9, 131072);
            reader.rejectUnknownFields();
            m_config.models.push_back(std::move(model));
        }
    }

    auto readPools() -> void
    {
        std::set<std::string> pools;
        std::set<std::string> engines;
        std::set<std::string> roles;
        for (auto &reader : m_root.objects("pools")) {
            const auto pool = readName(reader, pools);
            const auto model = reader.text("model");
            if (m_config.findModel(model) == nullptr) {
                reader.addError("model", fmt::format("model '{}' is not defined", model));
            }
            const auto role = reader.text("role");
            if (role != "prefill" && role != "decode") {
                reader.addError("role", "must be prefill or decode");
            }
            roles.insert(model + "/" + role);
            for (auto &entry : reader.objects("engines")) {
                readEngine(entry, engines, pool, model, role == "prefill" ? Role::Prefill : Role::Decode);
            }
            reader.rejectUnknownFields();
        }
        for (const auto &model : m_config.models) {
            const auto prefill = roles.contains(model.name + "/prefill");
            const auto decode = roles.contains(model.name + "/decode");
            if (prefill != decode) {
                m_root.addError("pools", fmt::format("model '{}' must have both a prefill and a decode pool, or neither", model.name));
            }
        }
    }

    auto readEngine(ObjectReader &reader, std::set<std::string> &names, const std::string &pool, const std::string &model, Role role)
        -> void
    {
        Engine engine;
        engine.name = readName(reader, names);
        engine.address = readAddress(reader);
        engine.place = readPlace(reader);
        engine.pool = pool;
        engine.model = model;
        engine.role = role;
        engine.slots = static_cast<int>(reader.integer("slots", 1, 10000, 20));
        engine.linkBytesPerSecond = reader.number("link_bytes_per_second", 1, 1e15, 10e9);
        engine.checksFencing = reader.boolean("checks_fencing", false);
        engine.checksSender = reader.boolean("checks_sender", false);
        engine.draining = reader.boolean("leaving", false);
        reader.rejectUnknownFields();
        if (!m_addresses.insert(engine.address).second) {
            reader.addError("address", fmt::format("address {} is not unique", engine.address));
        }
        m_config.engines.push_back(std::move(engine));
    }

    auto readServices() -> void
    {
        std::set<std::string> names;
        for (auto &reader : m_root.objects("services")) {
            Service service;
            service.name = readName(reader, names);
            service.target = milliseconds(reader.integer("target_ms", 1, 600000, 300));
            service.maxInFlight = static_cast<int>(reader.integer("max_in_flight", 1, 100000, 64));
            std::set<std::string> upstreams;
            for (auto &entry : reader.objects("upstreams")) {
                ServiceUpstream upstream;
                upstream.name = readName(entry, upstreams);
                upstream.address = readAddress(entry);
                upstream.place = readPlace(entry);
                upstream.draining = entry.boolean("leaving", false);
                entry.rejectUnknownFields();
                service.upstreams.push_back(std::move(upstream));
            }
            if (service.upstreams.empty()) {
                reader.addError("upstreams", "must have at least one upstream");
            }
            for (auto &entry : reader.objects("calls")) {
                CallRule rule;
                rule.method = entry.text("method");
                rule.pathPrefix = entry.text("path_prefix", "/");
                rule.idempotent = entry.boolean("idempotent");
                entry.rejectUnknownFields();
                service.calls.push_back(std::move(rule));
            }
            reader.rejectUnknownFields();
            m_config.services.push_back(std::move(service));
        }
    }

    auto checkNames(ObjectReader &reader, std::string_view key, const std::vector<std::string> &names, auto exists) -> void
    {
        for (const auto &entry : names) {
            if (entry != "*" && !exists(entry)) {
                reader.addError(key, fmt::format("'{}' is not defined; must be a defined name or '*'", entry));
            }
        }
    }

    auto readMembers() -> void
    {
        std::set<std::string> names;
        for (auto &reader : m_root.objects("members")) {
            Member member;
            member.name = readName(reader, names);
            member.tokenHashes = readHashes(reader);
            member.share = reader.number("share", 0.000001, 1e6, 1);
            member.maxPriority = static_cast<int>(reader.integer("max_priority", 0, 9, 0));
            member.models = reader.texts("models");
            member.services = reader.texts("services");
            checkNames(reader, "models", member.models, [this](const auto &entry) { return m_config.findModel(entry) != nullptr; });
            checkNames(reader, "services", member.services, [this](const auto &entry) { return m_config.findService(entry) != nullptr; });
            reader.rejectUnknownFields();
            m_config.members.push_back(std::move(member));
        }
        if (m_config.members.empty()) {
            m_root.addError("members", "must have at least one member");
        }
    }

    auto readOperators() -> void
    {
        std::set<std::string> names;
        for (auto &reader : m_root.objects("operators")) {
            Operator entry;
            entry.name = readName(reader, names);
            entry.member = reader.text("member", "");
            if (!entry.member.empty() && m_config.findMember(entry.member) == nullptr) {
                reader.addError("member", fmt::format("member '{}' is not defined", entry.member));
            }
            entry.tokenHashes = readHashes(reader);
            entry.mayChange = reader.texts("may_change");
            reader.rejectUnknownFields();
            m_config.operators.push_back(std::move(entry));
        }
        if (m_config.operators.empty()) {
            m_root.addError("operators", "must have at least one operator, without whom the configuration cannot be changed");
        }
    }

    auto readLimits() -> void
    {
        auto reader = m_root.object("limits");
        auto &limits = m_config.limits;
        limits.maxQueuedRequests = reader.integer("max_queued_requests", 0, 1000000, limits.maxQueuedRequests);
        limits.maxQueuedTokens = reader.integer("max_queued_tokens", 0, 1LL << 40, limits.maxQueuedTokens);
        limits.maxPromptBytes = reader.integer("max_prompt_bytes", 1, 64 << 20, limits.maxPromptBytes);
        limits.retryShare = reader.number("retry_share", 0, 1, limits.retryShare);
        limits.maxEjectedShare = reader.number("max_ejected_share", 0, 1, limits.maxEjectedShare);
        limits.defaultDeadline = milliseconds(reader.integer("default_deadline_ms", 1, 3600000, 1700));
        limits.quarantine = seconds(reader.integer("quarantine_s", 1, 86400, 600));
        limits.answerRetention = seconds(reader.integer("answer_retention_s", 1, 864000, 86400));
        reader.rejectUnknownFields();
    }

    auto readTimeouts() -> void
    {
        auto reader = m_root.object("timeouts");
        auto &timeouts = m_config.timeouts;
        timeouts.connect = milliseconds(reader.integer("connect_ms", 1, 60000, 300));
        timeouts.progress = milliseconds(reader.integer("progress_ms", 10, 600000, 2000));
        timeouts.peer = milliseconds(reader.integer("peer_ms", 10, 60000, 800));
        timeouts.drain = seconds(reader.integer("drain_s", 1, 3600, 60));
        reader.rejectUnknownFields();
    }

    ValidationErrors m_errors;
    ObjectReader m_root;
    Config m_config;
    std::set<std::string> m_tokenHashes;
    std::set<std::string> m_addresses;
};

} // namespace

auto name(Role role) -> std::string_view
{
    return role == Role::Prefill ? "prefill" : "decode";
}

auto Service::isIdempotent(std::string_view method, std::string_view path) const -> bool
{
    const CallRule *best = nullptr;
    for (const auto &rule : calls) {
        const bool matches = rule.method == method && path.starts_with(rule.pathPrefix);
        if (matches && (best == nullptr || rule.pathPrefix.size() > best->pathPrefix.size())) {
            best = &rule;
        }
    }
    if (best != nullptr) {
        return best->idempotent;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" || method == "DELETE";
}

auto Config::findModel(std::string_view name) const -> const Model *
{
    return findByName(models, name);
}

auto Config::findEngine(std::string_view name) const -> const Engine *
{
    const auto found = index.engines.find(std::string(name));
    return found == index.engines.end() ? nullptr : &engines[found->second];
}

auto Config::findService(std::string_view name) const -> const Service *
{
    return findByName(services, name);
}

auto Config::findMember(std::string_view name) const -> const Member *
{
    return findByName(members, name);
}

auto Config::findPlace(std::string_view name) const -> const Place *
{
    return findByName(places, name);
}

auto Config::regionOf(std::string_view place) const -> std::string_view
{
    const auto *found = findPlace(place);
    return found == nullptr ? std::string_view() : std::string_view(found->region);
}

auto Config::poolOf(std::string_view model, Role role) const -> std::string
{
    const auto found = index.pools.find(fmt::format("{}/{}", model, currantstack::name(role)));
    return found == index.pools.end() ? std::string() : found->second;
}

auto Config::memberOfToken(std::string_view token) const -> const Member *
{
    const auto found = index.memberTokens.find(tokenHash(token));
    return found == index.memberTokens.end() ? nullptr : &members[found->second];
}

auto Config::operatorOfToken(std::string_view token) const -> const Operator *
{
    const auto hash = tokenHash(token);
    for (const auto &entry : operators) {
        for (const auto &stored : entry.tokenHashes) {
            if (equalConstantTime(stored, hash)) {
                return &entry;
            }
        }
    }
    return nullptr;
}

auto parseConfig(const Json &document) -> tl::expected<Config, ValidationErrors>
{
    return ConfigParser(document).parse();
}

auto tokenHash(std::string_view token) -> std::string
{
    return "sha256:" + sha256(token);
}

} // namespace currantstack
