// Differences between two configuration documents, and the permissions to change them.
#include "currantstack/config.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

auto findOperator(const Config &config, std::string_view name) -> const Operator *
{
    const auto found =
        std::find_if(config.operators.begin(), config.operators.end(), [name](const Operator &entry) { return entry.name == name; });
    return found == config.operators.end() ? nullptr : &*found;
}

auto collectDifferences(const Json &left, const Json &right, const std::string &path, std::vector<std::string> &paths) -> void
{
    if (left == right) {
        return;
    }
    if (left.is_object() && right.is_object()) {
        std::set<std::string> keys;
        for (const auto &[key, value] : left.items()) {
            keys.insert(key);
        }
        for (const auto &[key, value] : right.items()) {
            keys.insert(key);
        }
        for (const auto &key : keys) {
            const auto inLeft = left.contains(key);
            const auto inRight = right.contains(key);
            if (inLeft && inRight) {
                collectDifferences(left[key], right[key], path + "/" + key, paths);
            } else {
                paths.push_back(path + "/" + key);
            }
        }
        return;
    }
    if (left.is_array() && right.is_array()) {
        for (std::size_t index = 0; index < std::max(left.size(), right.size()); ++index) {
            const auto entry = fmt::format("{}/{}", path, index);
            if (index < left.size() && index < right.size()) {
                collectDifferences(left[index], right[index], entry, paths);
            } else {
                paths.push_back(entry);
            }
        }
        return;
    }
    paths.push_back(path);
}

auto shareOf(const Json &document, std::string_view member) -> double
{
    if (document.is_object() && document.contains("members") && document["members"].is_array()) {
        for (const auto &entry : document["members"]) {
            if (entry.is_object() && entry.value("name", std::string()) == member) {
                return entry.value("share", 1.0);
            }
        }
    }
    return 0;
}

auto totalShare(const Json &document) -> double
{
    double total = 0;
    if (document.is_object() && document.contains("members") && document["members"].is_array()) {
        for (const auto &entry : document["members"]) {
            total += entry.is_object() ? entry.value("share", 1.0) : 0.0;
        }
    }
    return total;
}

} // namespace

auto differingPaths(const Json &left, const Json &right) -> std::vector<std::string>
{
    std::vector<std::string> paths;
    collectDifferences(left, right, "", paths);
    std::erase_if(paths, [](const std::string &path) { return path == "/revision" || path == "/submission"; });
    return paths;
}

auto forbiddenChanges(const Config &before, const Json &beforeDocument, const Json &afterDocument, std::string_view operatorName)
    -> ValidationErrors
{
    ValidationErrors errors;
    const auto *submitter = findOperator(before, operatorName);
    if (submitter == nullptr) {
        errors.push_back({"/operators", "the operator does not exist"});
        return errors;
    }
    const bool mayChangeAll = std::find(submitter->mayChange.begin(), submitter->mayChange.end(), "*") != submitter->mayChange.end();
    for (const auto &path : differingPaths(beforeDocument, afterDocument)) {
        const auto section = path.substr(1, path.find('/', 1) - 1);
        const bool isAllowed =
            mayChangeAll || std::find(submitter->mayChange.begin(), submitter->mayChange.end(), section) != submitter->mayChange.end();
        if (!isAllowed) {
            errors.push_back({path, fmt::format("operator '{}' is not permitted to change '{}'", operatorName, section)});
        }
    }
    if (!submitter->member.empty()) {
        const auto ratio = [&submitter](const Json &document) {
            return shareOf(document, submitter->member) / std::max(1e-12, totalShare(document));
        };
        if (ratio(afterDocument) > ratio(beforeDocument) + 1e-9) {
            errors.push_back(
                {"/members",
                 fmt::format("an operator of member '{}' is not permitted to raise that member's relative share", submitter->member)});
        }
        const auto operatorsOf = [](const Json &document) {
            return document.is_object() && document.contains("operators") ? document["operators"] : Json();
        };
        if (operatorsOf(beforeDocument) != operatorsOf(afterDocument)) {
            errors.push_back({"/operators", "only an operator of the consortium is permitted to change the operators"});
        }
    }
    return errors;
}

} // namespace currantstack
