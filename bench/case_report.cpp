#include "case_report.hpp"

#include <algorithm>
#include <cstdio>

namespace knapweedchute::bench {
namespace {

auto print_figures(const std::string& name, const std::vector<double>& measured) -> void
{
    const auto [lowest, highest] = std::minmax_element(measured.begin(), measured.end());
    std::printf("%-58s %10.4g  (%.4g to %.4g)", name.c_str(), quantile(measured, 0.5), *lowest,
                *highest);
}

} // namespace

auto case_report::add(const std::string& name, const std::vector<double>& measured, bound_kind kind,
                      double bound) -> void
{
    const auto holds = std::all_of(measured.begin(), measured.end(), [&](double value) {
        return kind == bound_kind::at_most ? value <= bound : value >= bound;
    });
    short_cases_ += holds ? 0 : 1;
    print_figures(name, measured);
    std::printf("  bound %s %.4g  %s\n", kind == bound_kind::at_most ? "<=" : ">=", bound,
                holds ? "holds" : "short");
    std::fflush(stdout);
}

auto case_report::note(const std::string& name, const std::vector<double>& measured) -> void
{
    print_figures(name, measured);
    std::printf("  no bound\n");
    std::fflush(stdout);
}

auto quantile(std::vector<double> values, double part) -> double
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * part)];
}

} // namespace knapweedchute::bench
