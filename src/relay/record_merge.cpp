#include <knapweedchute/relay/record_merge.hpp>

#include <algorithm>
#include <functional>
#include <string_view>

namespace knapweedchute {

auto merge_records(const std::vector<std::string>& parts, std::size_t top) -> std::string
{
    auto records = std::vector<std::string_view>{};
    for (const auto& part : parts) {
        const auto view = std::string_view{part};
        for (auto begin = std::size_t{0}; begin + record_bytes <= view.size();
             begin += record_bytes) {
            records.push_back(view.substr(begin, record_bytes));
        }
    }
    const auto kept = std::min(top, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), end, records.end(), std::greater<>{});
    auto merged = std::string{};
    merged.reserve(kept * record_bytes);
    for (auto record = records.begin(); record != end; ++record) {
        merged += *record;
    }
    return merged;
}

} // namespace knapweedchute
