// The scenario of a load test, read from a YAML file.
#pragma once

#include "currantstack/error.h"
#include "currantstack/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace bench
{

/// A step of a load profile; the rate applies until the next step.
struct LoadPoint
{
    double atSeconds = 0;
    double rate = 0; // share of the capacity for models, requests per second for services
};

/// A log-normal distribution of prompt lengths in tokens, clamped to a minimum and a maximum.
struct LengthDistribution
{
    double median = 900;
    double sigma = 0.9;
    double min = 20;
    double max = 20000;
};

/// Prefixes that several prompts have in common.
struct SharedPrefix
{
    int groups = 0; // number of distinct prefixes
    int tokens = 0; // length of each prefix
    double share = 0; // share of prompts with such a prefix
};

/// A stream of similar requests of one member.
struct StreamSpec
{
    std::string name;
    std::string kind = "model"; // "model" or "service"
    std::string model = "caseworker";
    std::string token; // the member's bearer token
    std::vector<LoadPoint> load;
    LengthDistribution prompt;
    int minOutput = 20; // tokens
    int maxOutput = 180; // tokens
    SharedPrefix prefix;
    std::string method = "GET";
    std::string path = "/services/adoption/availability";
    double crashShare = 0; // share of prompts that crash their decode engine
    double cancelShare = 0; // share of requests that the caller cancels before the response is complete
    double targetMs = 300; // latency target of service requests
};

struct Scenario
{
    std::string name;
    double seconds = 10;
    double firstTokenTargetMs = 1700; // target of the time to first token
    double gapTargetMs = 26; // target of the time between tokens
    double graceSeconds = 10; // wait for responses after the last arrival
    std::vector<StreamSpec> streams;
};

auto loadScenario(const std::string &file) -> currantstack::Result<Scenario>;

/// Returns the complete YAML file as JSON, including the sections that only other tools use, such as injected faults.
auto scenarioToJson(const std::string &file) -> currantstack::Result<currantstack::Json>;

} // namespace bench
