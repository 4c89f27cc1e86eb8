#include <knapweedchute/admission/return_schedule.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>
#include <knapweedchute/workspace/request_authorizer.hpp>

#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto key_header = std::string_view{"Authorization"};
constexpr auto scheme = std::string_view{"bearer"};
constexpr auto max_value_bytes = std::size_t{1'024};
constexpr auto status_bad_request = 400U;
constexpr auto status_unauthorized = 401U;

/// \brief The key that a request presents, and what is wrong with the way in which it does.
struct presented_key
{
    std::optional<std::string> key;
    std::string_view fault; ///< Empty if the header is well-formed or missing.
};

auto take_fields(field_list& fields, std::string_view name) -> field_list
{
    const auto others = std::stable_partition(fields.begin(), fields.end(), [&](const auto& field) {
        return !same_name(field.name, name);
    });
    auto taken = field_list{std::make_move_iterator(others), std::make_move_iterator(fields.end())};
    fields.erase(others, fields.end());
    return taken;
}

/// \returns The key behind the scheme; nothing if the value has another form.
auto parse_value(const std::string& value) -> std::optional<std::string>
{
    const auto blank = value.find(' ');
    if (blank == std::string::npos ||
        !same_name(std::string_view{value}.substr(0, blank), scheme)) {
        return std::nullopt;
    }
    auto key = boost::algorithm::trim_copy(value.substr(blank + 1));
    const auto is_visible = [](char letter) { return letter > ' ' && letter < '\x7f'; };
    const auto readable = !key.empty() && std::all_of(key.begin(), key.end(), is_visible);
    return readable ? std::optional{std::move(key)} : std::nullopt;
}

auto take_key(field_list& fields) -> presented_key
{
    const auto taken = take_fields(fields, key_header);
    if (taken.empty()) {
        return {};
    }
    if (taken.size() > 1) {
        return {std::nullopt, "more than one Authorization header"};
    }
    if (taken.front().value.size() > max_value_bytes) {
        return {std::nullopt, "Authorization header too long"};
    }
    return {parse_value(taken.front().value), {}};
}

} // namespace

request_authorizer::request_authorizer(std::string workspace_header, const key_digester& digester,
                                       const key_authority& authority)
    : workspace_header_{std::move(workspace_header)}, digester_{&digester}, authority_{&authority}
{
}

auto request_authorizer::authorize(const route_table& table, const route& matched,
                                   relayed_request& request) const -> authorization
{
    if (table.workspaces() == nullptr) {
        return {};
    }
    const auto presented = take_key(request.fields);
    std::ignore = take_fields(request.fields, workspace_header_);
    if (!presented.fault.empty()) {
        return {nullptr, std::nullopt, error_answer(status_bad_request, presented.fault)};
    }
    auto result = authorization{};
    if (presented.key) {
        const auto digest = digester_->digest(*presented.key);
        result.owner = table.workspaces()->find(digest);
        result.key = digest;
    }
    if (!matched.is_public) {
        const auto verdict = result.owner != nullptr
                                 ? authority_->judge(*result.key, result.owner->name)
                                 : authority_->judge_missing();
        if (verdict != key_verdict::valid) {
            return {nullptr, std::nullopt, refusal(verdict)};
        }
    } else {
        result.key.reset();
    }
    if (result.owner != nullptr) {
        request.fields.push_back({workspace_header_, result.owner->name});
    }
    return result;
}

auto request_authorizer::refusal(key_verdict verdict) const -> relayed_answer
{
    if (verdict == key_verdict::unproved) {
        return not_run_answer("configuration not proved to be in force",
                              retry_after_start(authority_->age().value_or(duration::zero())));
    }
    auto answer = error_answer(status_unauthorized, "unknown key");
    answer.fields.push_back({"WWW-Authenticate", "Bearer"});
    return answer;
}

} // namespace knapweedchute
