#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/store/http_key_value_store.hpp>

#include <utility>

namespace knapweedchute {
namespace {

constexpr auto status_ok = 200L;
constexpr auto status_not_found = 404L;
constexpr auto status_conflict = 409L;
constexpr auto status_too_many_requests = 429L;

auto decode_value(const std::string& body, error& reason) -> std::optional<stored_value>
{
    return decode_object(body, reason, [](auto& reader) {
        auto value = stored_value{};
        value.revision = static_cast<std::uint64_t>(
            reader.integer("revision", 0, std::numeric_limits<std::int64_t>::max()));
        value.value = reader.text_or("value", {});
        return value;
    });
}

} // namespace

http_key_value_store::http_key_value_store(address service_address, milliseconds timeout,
                                           counter_set& counters)
    : service_address_{service_address}, timeout_{timeout}, counters_{&counters}
{
}

auto http_key_value_store::read(std::string_view key, error& reason) -> std::optional<stored_value>
{
    const auto response = call({"GET", url_of(key), {}, {}, timeout_}, reason);
    if (!response) {
        return std::nullopt;
    }
    if (response->status == status_not_found) {
        return stored_value{};
    }
    if (response->status != status_ok) {
        reason = {error_code::store_unavailable, std::string{key},
                  "the key-value service rejected the read"};
        return std::nullopt;
    }
    return decode_value(response->body, reason);
}

auto http_key_value_store::compare_and_swap(std::string_view key, std::uint64_t expected,
                                            const std::string& value, error& reason)
    -> std::optional<std::uint64_t>
{
    const auto url = url_of(key) + "?expected=" + std::to_string(expected);
    const auto response = call({"PUT", url, value, {}, timeout_}, reason);
    if (!response) {
        return std::nullopt;
    }
    if (response->status == status_conflict) {
        reason = {error_code::conflict, std::string{key},
                  "the stored revision differs from the expected one"};
        return std::nullopt;
    }
    if (response->status == status_too_many_requests) {
        reason = {error_code::store_unavailable, std::string{key},
                  "the key-value service limited the request rate"};
        return std::nullopt;
    }
    if (response->status != status_ok) {
        reason = {error_code::outcome_unknown, std::string{key},
                  "the key-value service reported an error for the write"};
        return std::nullopt;
    }
    const auto decoded = decode_value(response->body, reason);
    if (!decoded) {
        reason.code = error_code::outcome_unknown;
        return std::nullopt;
    }
    return decoded->revision;
}

auto http_key_value_store::remove(std::string_view key) -> void
{
    auto reason = error{};
    static_cast<void>(call({"DELETE", url_of(key), {}, {}, timeout_}, reason));
}

auto http_key_value_store::call(const http_request& request, error& reason)
    -> std::optional<http_response>
{
    counters_->add(counter::platform_calls);
    auto response = client_.perform(request, reason);
    if (!response || response->status >= status_too_many_requests) {
        counters_->add(counter::platform_failures);
    }
    return response;
}

auto http_key_value_store::url_of(std::string_view key) const -> std::string
{
    return "http://" + to_string(service_address_) + "/v1/kv/" + std::string{key};
}

} // namespace knapweedchute
