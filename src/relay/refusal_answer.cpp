#include <knapweedchute/relay/refusal_answer.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace knapweedchute {

auto error_answer(unsigned status, std::string_view reason) -> relayed_answer
{
    return {
        status, {{"Content-Type", "application/json"}}, nlohmann::json{{"error", reason}}.dump()};
}

auto not_run_answer(std::string_view reason, duration retry_after) -> relayed_answer
{
    constexpr auto unavailable = 503U;
    auto answer = error_answer(unavailable, reason);
    const auto wait = std::chrono::duration<double>(retry_after).count();
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", wait);
    answer.fields.push_back({"Retry-After", text});
    return answer;
}

} // namespace knapweedchute
