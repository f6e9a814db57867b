#include "operator_client.h"

namespace currantctl
{

using namespace currantstack;

namespace
{

constexpr Duration CallTimeout = seconds(25); // submitting a configuration waits for the store's write

} // namespace

auto OperatorClient::callAll(const std::vector<std::string> &addresses, const std::string &method, const std::string &path,
                             const Json &body) -> std::vector<Response>
{
    std::vector<Response> responses(addresses.size());
    auto pending = addresses.size();
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        HttpCall http;
        http.method = method;
        http.url = urlOf(addresses[index], path);
        http.headers = {{"Authorization", "Bearer " + m_token}, {"Content-Type", "application/json"}};
        http.body = body.is_null() ? std::string() : dumpJson(body);
        http.connectTimeout = seconds(2);
        http.totalTimeout = CallTimeout;
        HttpHandlers handlers;
        handlers.onDone = [this, &responses, &pending, index](const Result<HttpResponse> &response) {
            if (response) {
                responses[index] = {response->status, Json::parse(response->body, nullptr, false), ""};
            } else {
                responses[index].error = response.error().message;
            }
            if (--pending == 0) {
                m_loop.stop();
            }
        };
        m_client.start(std::move(http), std::move(handlers));
    }
    if (pending > 0) {
        m_loop.run();
    }
    return responses;
}

auto OperatorClient::liveVms() -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    const auto status = call("GET", "/operator/status");
    if (status.status == 200) {
        for (const auto &vm : status.body["vms"]) {
            if (vm.value("state", std::string()) == "alive" || vm.value("state", std::string()) == "suspected") {
                addresses.push_back(vm.value("address", std::string()));
            }
        }
    }
    return addresses;
}

} // namespace currantctl
