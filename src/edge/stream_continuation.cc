// A caller that comes back to go on with a stream: finds the software version that began it, and restricts the stream to its engines.
#include "event_order.h"
#include "stream_request.h"

#include <algorithm>
#include <set>

namespace currantstack
{

namespace
{

auto name(Continuation continuation) -> std::string_view
{
    switch (continuation) {
    case Continuation::AtAnyEngine:
        return "at_any_engine";
    case Continuation::AtItsVersion:
        return "at_its_version";
    case Continuation::Nowhere:
        break;
    }
    return "nowhere";
}

} // namespace

/// Returns the attempt by which all VMs know the stream.
auto StreamRequest::firstAttemptId() const -> const std::string &
{
    const auto &metadata = m_request.metadata;
    return metadata.firstAttemptId.empty() ? metadata.requestId : metadata.firstAttemptId;
}

auto StreamRequest::versionKnowledge() const -> VersionKnowledge
{
    const auto &versions = m_context.versions;
    VersionKnowledge knowledge{false, m_context.originHooks.mayMissVersions(), versions.onlyVersion(m_request.service)};
    std::set<SoftwareVersionKey> origins;
    for (const auto &target : m_request.route->targets) {
        knowledge.isMixed = knowledge.isMixed || versions.isMixed(target.service);
        knowledge.mayBeOutdated = knowledge.mayBeOutdated || !versions.hasRecord(target.service);
        const auto ofService = versions.possibleOrigins(target.service, m_context.clock.now());
        origins.insert(ofService.begin(), ofService.end());
    }
    knowledge.mayBeOutdated = knowledge.mayBeOutdated || (!knowledge.isMixed && knowledge.onlyVersion == AnySoftwareVersion);
    if (knowledge.isMixed) {
        knowledge.onlyVersion = origins.size() == 1 ? *origins.begin() : AnySoftwareVersion;
    }
    return knowledge;
}

auto StreamRequest::continueStream() -> void
{
    const auto &firstAttemptId = m_request.metadata.firstAttemptId;
    const auto knowledge = versionKnowledge();
    const bool isAnonymous = firstAttemptId.empty() && !knowledge.mayBeOutdated; // otherwise peers tell at least the versions
    if (isAnonymous || planContinuation(knowledge, std::nullopt).where == Continuation::AtAnyEngine) {
        continueFrom(std::nullopt);
        return;
    }
    m_context.originHooks.find(firstAttemptId, [self = shared_from_this()](const auto &origin) {
        if (!self->m_done) {
            self->continueFrom(origin);
        }
    });
}

/// Chooses the service of the route that has the version, if any is known to have it.
auto StreamRequest::chooseServiceOf(SoftwareVersionKey version) -> void
{
    const auto &targets = m_request.route->targets;
    const auto found =
        std::find_if(targets.begin(), targets.end(), [&](const auto &target) { return m_context.versions.has(target.service, version); });
    if (found != targets.end()) {
        m_request.service = found->service;
    }
}

auto StreamRequest::continueFrom(const std::optional<StreamOrigin> &origin) -> void
{
    const auto now = m_context.clock.now();
    const auto knowledge = versionKnowledge();
    const auto [continuation, version] = planContinuation(knowledge, origin);
    if (continuation == Continuation::AtItsVersion) {
        chooseServiceOf(version);
    }
    m_version = version; // also if it is the only one: another one may appear while the stream waits
    const bool isPossible =
        continuation == Continuation::AtAnyEngine || (continuation == Continuation::AtItsVersion && enginesOfVersion() > 0);
    m_context.counters.at(fmt::format("streams_continued_by_callers{{outcome=\"{}\"}}", isPossible ? name(continuation) : "nowhere")).add();
    const auto evidence = m_context.originHooks.versionEvidence();
    m_context.log.writeEvidence("stream", "caller_continues",
                                {{"request", m_request.metadata.requestId},
                                 {"first_attempt", m_request.metadata.firstAttemptId},
                                 {"after_event", eventField(m_request.metadata.lastEventId)},
                                 {"continues", name(continuation)},
                                 {"service", m_request.service},
                                 {"software_version", m_context.versions.nameOf(m_request.service, version)},
                                 {"engines_of_version", enginesOfVersion()},
                                 {"known_from",
                                  !origin             ? "nobody"
                                      : origin->isOwn ? "own"
                                                      : "peer"},
                                 {"known_for_ms", origin ? toMilliseconds(now - origin->at) : 0.0},
                                 {"several_versions", knowledge.isMixed},
                                 {"possible_origins", m_context.versions.possibleOrigins(m_request.service, now).size()},
                                 {"versions_may_be_outdated", knowledge.mayBeOutdated},
                                 {"recorded_as_of_ms_ago", toMilliseconds(now - evidence.recordedAsOf)},
                                 {"most_vms_heard_ms_ago", toMilliseconds(now - evidence.mostHeardAt)},
                                 {"store_silent", evidence.isStoreSilent}});
    if (continuation == Continuation::Nowhere) {
        fail(false, "the software version that began the stream is not known", Duration::zero());
    } else if (isPossible) {
        admit();
    } else if (m_context.originHooks.mayMissUpstreams()) {
        waitForEngines();
    } else {
        fail(false, "no engine of the software version that began the stream is left", Duration::zero());
    }
}

} // namespace currantstack
