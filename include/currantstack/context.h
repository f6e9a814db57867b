// The components that the controllers of a VM share.
#pragma once

#include "currantstack/config.h"
#include "currantstack/counters.h"
#include "currantstack/decisions/memory_budget.h"
#include "currantstack/http_client.h"
#include "currantstack/membership.h"
#include "currantstack/peers.h"
#include "currantstack/placement.h"
#include "currantstack/settings.h"
#include "currantstack/store.h"
#include "currantstack/timeline.h"

#include <memory>
#include <unordered_map>

namespace currantstack
{

using ConfigPtr = std::shared_ptr<const Config>;

/// References to the shared components of a VM. All controllers run on one event loop, and none changes the state of another.
struct Context
{
    Loop &loop;
    const Clock &clock;
    Random &random;
    const Settings &settings;
    HttpClient &client;
    MemoryBudget &memory; // of the whole process
    PeerClient &peers;
    PeerRouter &router;
    Store &store;
    Counters &counters;
    Timeline &timeline;
    Membership &membership;
    ConfigPtr config = std::make_shared<Config>(); // in force; immutable, and replaced as a whole

    /// Returns the peer address of a VM, or an empty string if it is unknown.
    auto addressOf(std::string_view vm) const -> std::string
    {
        const auto *peer = membership.find(vm);
        return peer == nullptr ? std::string() : peer->vm.address;
    }

    auto isSelf(std::string_view vm) const -> bool
    {
        return vm == settings.name;
    }

    /// Returns the VM that owns an engine, by rendezvous hashing over the live VMs of its place; if there are none, of its region,
    /// else over all live VMs.
    auto ownerOf(const Engine &engine) const -> std::string;

    /// Owners computed for one version of the membership and one revision of the configuration.
    struct OwnerCache
    {
        std::int64_t version = 0; // of the membership
        std::int64_t revision = 0; // of the configuration
        std::unordered_map<std::string, std::string> owners; // by engine
    };
    mutable OwnerCache owners = {};
};

} // namespace currantstack
