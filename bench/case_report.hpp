#pragma once

#include <string>
#include <vector>

namespace knapweedchute::bench {

/// \brief Which side of the bound holds.
enum class bound_kind
{
    at_most, ///< The measured value must not be above the bound.
    at_least ///< The measured value must not be below the bound.
};

/// \brief Collects measurements and prints one line per case.
class case_report
{
public:
    /// \brief Prints name, median over the seeds, spread, bound, and `holds` or `short`.
    /// \detail The case holds only if every seed does.
    auto add(const std::string& name, const std::vector<double>& measured, bound_kind kind,
             double bound) -> void;

    /// \brief Prints a figure without a bound.
    auto note(const std::string& name, const std::vector<double>& measured) -> void;

    /// \brief Cases whose bound does not hold.
    [[nodiscard]] auto short_cases() const noexcept -> int { return short_cases_; }

private:
    int short_cases_ = 0;
};

/// \brief Value below which a part of the sorted copy lies.
[[nodiscard]] auto quantile(std::vector<double> values, double part) -> double;

} // namespace knapweedchute::bench
