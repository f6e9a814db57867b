// The HTTP client of currantctl for the operator API of VMs.
#pragma once

#include "currantstack/http_client.h"
#include "currantstack/json.h"

#include <string>
#include <vector>

namespace currantctl
{

/// The response of one VM.
struct Response
{
    int status = 0; // 0: no response
    currantstack::Json body;
    std::string error; // why there is no response
};

/// Makes blocking calls to one VM or to several VMs concurrently.
class OperatorClient
{
public:
    OperatorClient(std::string vm, std::string token)
        : m_client(m_loop)
        , m_vm(std::move(vm))
        , m_token(std::move(token))
    { }

    auto call(const std::string &method, const std::string &path, const currantstack::Json &body = {}) -> Response
    {
        return callAll({m_vm}, method, path, body).front();
    }

    /// Makes the same call to all addresses concurrently and returns the responses in the order of the addresses.
    auto callAll(const std::vector<std::string> &addresses, const std::string &method, const std::string &path,
                 const currantstack::Json &body = {}) -> std::vector<Response>;

    /// Returns the peer addresses of all VMs that the VM given on the command line considers alive or suspected.
    auto liveVms() -> std::vector<std::string>;

private:
    currantstack::Loop m_loop;
    currantstack::HttpClient m_client;
    std::string m_vm;
    std::string m_token;
};

} // namespace currantctl
