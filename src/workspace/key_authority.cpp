#include <knapweedchute/workspace/key_authority.hpp>

#include <array>
#include <utility>

namespace knapweedchute {

auto to_string(key_verdict verdict) noexcept -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3>{"valid", "unknown", "unproved"};
    return names.at(static_cast<std::size_t>(verdict));
}

key_authority::key_authority(key_limits limits, table_lookup active_table, age_lookup age)
    : limits_{limits}, active_table_{std::move(active_table)}, age_{std::move(age)}
{
}

auto key_authority::judge(const key_digest& key, std::string_view holder) const -> key_verdict
{
    const auto* const table = active_table_();
    const auto* const owner = table != nullptr && table->workspaces() != nullptr
                                  ? table->workspaces()->find(key)
                                  : nullptr;
    if (owner == nullptr) {
        return judge_missing();
    }
    return owner->name == holder && accepts() ? key_verdict::valid : key_verdict::unproved;
}

auto key_authority::judge_missing() const -> key_verdict
{
    const auto known_age = age_();
    return known_age && *known_age <= limits_.max_refuse_age ? key_verdict::unknown
                                                             : key_verdict::unproved;
}

auto key_authority::accepts() const -> bool
{
    if (!limits_.max_accept_age) {
        return true;
    }
    const auto known_age = age_();
    return known_age && *known_age <= *limits_.max_accept_age;
}

} // namespace knapweedchute
