#include <knapweedchute/core/counter_set.hpp>

namespace knapweedchute {

auto counter_set::add(counter which, std::uint64_t amount) noexcept -> void
{
    values_[static_cast<std::size_t>(which)].fetch_add(amount, std::memory_order_relaxed);
}

auto counter_set::value(counter which) const noexcept -> std::uint64_t
{
    return values_[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
}

auto counter_set::prometheus_text() const -> std::string
{
    auto text = std::string{};
    for (auto index = std::size_t{0}; index < counter_count; ++index) {
        const auto which = static_cast<counter>(index);
        const auto name = "knapweedchute_" + std::string{to_string(which)} + "_total";
        text += "# TYPE ";
        text += name;
        text += " counter\n";
        text += name;
        text += " ";
        text += std::to_string(value(which));
        text += "\n";
    }
    return text;
}

} // namespace knapweedchute
