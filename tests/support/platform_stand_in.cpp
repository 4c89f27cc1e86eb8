#include "platform_stand_in.hpp"

#include <nlohmann/json.hpp>

namespace knapweedchute::test {
namespace {

constexpr auto largest_value = std::size_t{1'048'576};
const auto prefix = std::string{"/v1/kv/"};

auto status_only(unsigned status) -> http_reply
{
    return {status, "{}", "application/json", false};
}

} // namespace

platform_stand_in::platform_stand_in(const address& where)
{
    server_ = std::make_unique<http_server>(
        where, http_server_options{2U, largest_value},
        [this](const auto& call, auto respond) { respond(handle(call)); },
        [](const auto&) { return status_only(413U); });
}

auto platform_stand_in::values_with(const std::string& prefix) -> std::vector<std::string>
{
    const auto lock = std::lock_guard{mutex_};
    auto found = std::vector<std::string>{};
    for (const auto& [key, stored] : values_) {
        if (key.starts_with(prefix)) {
            found.push_back(stored.value);
        }
    }
    return found;
}

auto platform_stand_in::handle(const http_call& call) -> http_reply
{
    if (outage_) {
        return status_only(503U);
    }
    if (!call.path.starts_with(prefix)) {
        return status_only(404U);
    }
    const auto key = call.path.substr(prefix.size());
    const auto lock = std::lock_guard{mutex_};
    if (call.method == "GET") {
        return read(key);
    }
    if (call.method == "DELETE") {
        values_.erase(key);
        return status_only(200U);
    }
    return write(key, call);
}

auto platform_stand_in::read(const std::string& key) -> http_reply
{
    ++reads_;
    const auto found = values_.find(key);
    if (found == values_.end()) {
        return status_only(404U);
    }
    const auto old = key == "configuration" && found->second.previous_revision != 0 &&
                     old_answers_ > 0 && old_answers_.fetch_sub(1) > 0;
    const auto& value = old ? found->second.previous : found->second.value;
    const auto revision = old ? found->second.previous_revision : found->second.revision;
    return {200U, nlohmann::json{{"revision", revision}, {"value", value}}.dump(),
            "application/json", false};
}

auto platform_stand_in::write(const std::string& key, const http_call& call) -> http_reply
{
    ++writes_;
    const auto expected = call.arguments.find("expected");
    const auto wanted = expected == call.arguments.end() ? 0 : std::stoull("0" + expected->second);
    auto& stored = values_[key];
    if (stored.revision != wanted) {
        return {409U, nlohmann::json{{"revision", stored.revision}}.dump(), "application/json",
                false};
    }
    stored.previous = stored.value;
    stored.previous_revision = stored.revision;
    stored.value = call.body;
    stored.revision = next_revision_++;
    const auto lost = key == "configuration" && lost_answers_ > 0 && lost_answers_.fetch_sub(1) > 0;
    if (lost) {
        return status_only(500U);
    }
    return {200U, nlohmann::json{{"revision", stored.revision}}.dump(), "application/json", false};
}

} // namespace knapweedchute::test
