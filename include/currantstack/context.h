// What the controllers of one VM share.
#pragma once

#include "currantstack/config.h"
#include "currantstack/counters.h"
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

/// The parts of one VM that every controller may use. All run on one loop and own their state alone.
struct Context
{
    Loop &loop;
    const Clock &clock;
    Random &random;
    const Settings &settings;
    HttpClient &client;
    PeerClient &peers;
    PeerRouter &router;
    Store &store;
    Counters &counters;
    Timeline &timeline;
    Membership &membership;
    ConfigPtr config = std::make_shared<Config>(); // in force; replaced whole

    /// Returns the peer address of a VM, empty where it is unknown.
    auto addressOf(std::string_view vm) const -> std::string
    {
        const auto *peer = membership.find(vm);
        return peer == nullptr ? std::string() : peer->vm.address;
    }

    auto isSelf(std::string_view vm) const -> bool
    {
        return vm == settings.name;
    }

    /// Returns the VM that owns an engine: of its place, else of its region, else any.
    auto ownerOf(const Engine &engine) const -> std::string;

    /// Owners that were computed for the present list of VMs and configuration.
    struct OwnerCache
    {
        std::int64_t version = 0;
        std::int64_t revision = 0;
        std::unordered_map<std::string, std::string> owners; // by engine
    };
    mutable OwnerCache owners = {};
};

} // namespace currantstack
