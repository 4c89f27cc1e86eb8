#include <knapweedchute/move/move_result.hpp>

namespace knapweedchute {

auto to_string(move_result result) noexcept -> std::string_view
{
    switch (result) {
    case move_result::running:
        return "running";
    case move_result::finished:
        return "finished";
    case move_result::taken_back:
        return "taken_back";
    }
    return "invalid";
}

auto to_string(move_fault fault) noexcept -> std::string_view
{
    switch (fault) {
    case move_fault::none:
        return "none";
    case move_fault::incomplete:
        return "incomplete";
    case move_fault::empty:
        return "empty";
    case move_fault::slow:
        return "slow";
    case move_fault::too_little_evidence:
        return "too_little_evidence";
    }
    return "invalid";
}

} // namespace knapweedchute
