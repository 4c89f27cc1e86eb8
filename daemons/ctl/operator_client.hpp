#pragma once

#include "command_options.hpp"
#include "exit_code.hpp"

#include <knapweedchute/config/configuration_store.hpp>
#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/runtime/http_client.hpp>
#include <knapweedchute/store/http_key_value_store.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace knapweedchute::ctl {

/// \brief Version in force at each instance; nothing where the instance did not answer.
using version_report = std::map<std::string, std::optional<std::uint64_t>>;

/// \brief What knapweedctl does at the platform and at the instances.
class operator_client
{
public:
    /// \brief Changes an operators' file; false if there is nothing to change.
    using edit = std::function<bool(nlohmann::json&)>;

    explicit operator_client(command_options options);

    /// \brief The accepted file, or nothing.
    [[nodiscard]] auto fetch(error& reason) -> std::optional<configuration>;

    /// \brief Checks a file and prints its faults.
    [[nodiscard]] static auto check(const std::string& text) -> bool;

    /// \brief Applies a file made against a base, tells instances, reports where it is in force.
    [[nodiscard]] auto apply(const std::string& text, std::uint64_t base) -> exit_code;

    /// \brief Edits the accepted file and applies the result, again after a conflict.
    [[nodiscard]] auto change(const edit& apply_edit) -> exit_code;

    /// \brief The stored final report of the move that a service declares; empty before it ends.
    [[nodiscard]] auto move_report_text(const std::string& service, error& reason)
        -> std::optional<std::string>;

    /// \brief Version in force at every known instance.
    [[nodiscard]] auto versions() -> version_report;

    /// \brief Sends a request to an instance; prints a reason on failure.
    [[nodiscard]] auto ask(const http_request& request) -> std::optional<http_response>;

private:
    [[nodiscard]] auto store() -> std::optional<address>;
    [[nodiscard]] auto accept(const std::string& text, std::uint64_t base,
                              const std::string& change_id, error& reason)
        -> std::optional<std::uint64_t>;
    [[nodiscard]] auto report_failure(const error& reason, const std::string& text) -> exit_code;
    auto tell_instances(std::uint64_t version, const std::string& change_id,
                        const std::string& text) -> void;
    [[nodiscard]] auto report_in_force(std::uint64_t version) -> exit_code;
    [[nodiscard]] auto admin_addresses() -> std::map<std::string, std::string>;

    command_options options_;
    counter_set counters_;
    http_client client_;
};

} // namespace knapweedchute::ctl
