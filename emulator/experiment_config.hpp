#pragma once

#include "emulated_callers.hpp"
#include "fleet_options.hpp"
#include "request_kind.hpp"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace knapweedchute::emulator {

/// \brief A fault of an experiment, in force for its whole measured time.
struct target_fault
{
    double share = 0.0;          ///< Share of the shards whose first replica it affects, 0 to 1.
    double slowdown = 1.0;       ///< Multiple of the processing time.
    double rejected_share = 0.0; ///< Share of requests that affected targets reject.
    bool zone_lost = false;      ///< Whether all targets of the first zone are down.

    [[nodiscard]] auto operator==(const target_fault&) const -> bool = default;
};

/// \brief One experiment: policies side by side over the same loads and faults.
struct experiment_config
{
    std::string name;                   ///< Title of table and plot.
    fleet_options fleet;                ///< Size of the fleet; the policy is set for each run.
    std::vector<request_kind> kinds;    ///< Kinds of requests.
    caller_options callers;             ///< Behaviour of callers.
    std::vector<target_fault> faults;   ///< Faults; all act at once.
    std::vector<fleet_policy> policies; ///< Policies to compare.
    std::vector<double> loads;          ///< Offered loads, as multiples of the capacity.
    std::vector<std::uint64_t> seeds;   ///< Each load is played once with each seed.
    duration warm_up{seconds{3}};       ///< Time that is played before each measurement, at half
                                        ///< of the capacity.
    duration measured{seconds{8}};      ///< Time that is measured.
};

/// \brief Reports a configuration that cannot be used; the text names the key and its value.
class config_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \brief Reads an experiment from TOML.
/// \param text   Document.
/// \param source Name of the document, for messages.
/// \returns The experiment; throws `config_error` for syntax errors, unknown keys and values out of
///          range.
[[nodiscard]] auto parse_experiment(const std::string& text, const std::string& source)
    -> experiment_config;

} // namespace knapweedchute::emulator
