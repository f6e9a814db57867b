// The calls that currantctl makes to VMs.
#pragma once

#include "currantstack/http_client.h"
#include "currantstack/json.h"

#include <string>
#include <vector>

namespace currantctl
{

/// What one VM answered.
struct Answer
{
    int status = 0; // 0: no answer
    currantstack::Json body;
    std::string problem;
};

/// Makes calls one after the other, or to many VMs at once.
class Console
{
public:
    Console(std::string vm, std::string token)
        : m_client(m_loop)
        , m_vm(std::move(vm))
        , m_token(std::move(token))
    { }

    auto call(const std::string &method, const std::string &path, const currantstack::Json &body = {}) -> Answer
    {
        return callAll({m_vm}, method, path, body).front();
    }

    /// Makes the same call to all addresses at once; the answers have their order.
    auto callAll(const std::vector<std::string> &addresses, const std::string &method, const std::string &path,
                 const currantstack::Json &body = {}) -> std::vector<Answer>;

    /// Returns the peer addresses of the live VMs, by way of the one named on the command line.
    auto liveVms() -> std::vector<std::string>;

private:
    currantstack::Loop m_loop;
    currantstack::HttpClient m_client;
    std::string m_vm;
    std::string m_token;
};

} // namespace currantctl
