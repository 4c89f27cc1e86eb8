#include "answer_head_checker.hpp"

#include <knapweedchute/runtime/http_client.hpp>

#include <curl/curl.h>

#include <mutex>

namespace knapweedchute {
namespace {

auto append_body(char* data, std::size_t size, std::size_t count, void* body_text) -> std::size_t
{
    static_cast<std::string*>(body_text)->append(data, size * count);
    return size * count;
}

} // namespace

auto http_client::handle_closer::operator()(void* handle) const noexcept -> void
{
    curl_easy_cleanup(handle);
}

http_client::http_client()
{
    static auto init_flag = std::once_flag{};
    std::call_once(init_flag, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    handle_.reset(curl_easy_init());
}

auto http_client::perform(const http_request& request, error& reason)
    -> std::optional<http_response>
{
    auto* handle = handle_.get();
    curl_easy_reset(handle);
    auto response = http_response{};
    auto head = impl::answer_head_checker{};
    head.attach(handle);
    auto* header_list = static_cast<curl_slist*>(nullptr);
    for (const auto& line : request.headers) {
        header_list = curl_slist_append(header_list, line.c_str());
    }
    header_list = curl_slist_append(header_list, "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, header_list);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    if (!request.body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    const auto result = curl_easy_perform(handle);
    curl_slist_free_all(header_list);
    if (result != CURLE_OK) {
        const auto unsent = result == CURLE_COULDNT_CONNECT;
        reason = {unsent ? error_code::store_unavailable : error_code::outcome_unknown, request.url,
                  curl_easy_strerror(result)};
        return std::nullopt;
    }
    if (!head.valid()) {
        reason = {error_code::outcome_unknown, request.url,
                  "the head of the answer is incomplete or malformed"};
        return std::nullopt;
    }
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &response.status);
    return response;
}

} // namespace knapweedchute
