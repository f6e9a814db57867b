// The scenario of a load run: streams of callers, from a YAML file.
#pragma once

#include "currantstack/error.h"
#include "currantstack/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace bench
{

/// A point of a load profile; the rate holds until the next point.
struct LoadPoint
{
    double atSeconds = 0;
    double rate = 0; // a share of capacity for models, requests a second for services
};

/// Prompt lengths: log-normal with a median, cut at both ends.
struct LengthRange
{
    double median = 900;
    double sigma = 0.9;
    double min = 20;
    double max = 20000;
};

/// Prompts that begin with the same tokens.
struct SharedPrefix
{
    int groups = 0;
    int tokens = 0;
    double share = 0; // of prompts that have one
};

struct StreamSpec
{
    std::string name;
    std::string kind = "model"; // "model" or "service"
    std::string model = "caseworker";
    std::string token;
    std::vector<LoadPoint> load;
    LengthRange prompt;
    int minOutput = 20;
    int maxOutput = 180;
    SharedPrefix prefix;
    std::string method = "GET";
    std::string path = "/services/adoption/availability";
    double killShare = 0; // of prompts that crash the engine which runs them
    double cancelShare = 0; // of callers that leave before the answer is whole
    double targetMs = 300; // of a service's answer
};

struct Scenario
{
    std::string name;
    double seconds = 10;
    double firstTokenMs = 1700;
    double gapMs = 26;
    double graceSeconds = 10; // for answers after the last arrival
    std::vector<StreamSpec> streams;
};

auto loadScenario(const std::string &file) -> currantstack::Result<Scenario>;

/// Returns the whole YAML file as JSON, with the parts that other tools read, such as faults.
auto showScenario(const std::string &file) -> currantstack::Result<currantstack::Json>;

} // namespace bench
