#pragma once

#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/config/operators_file.hpp>

#include <optional>
#include <string_view>

namespace knapweedchute {

/// \brief Reads and validates a complete operators' file.
class operators_file_reader
{
public:
    /// \brief Parses `text`; returns nothing if there is any fault.
    [[nodiscard]] auto read(std::string_view text) -> std::optional<operators_file>;

    /// \brief Returns the faults of the last call of `read`, each with its path.
    [[nodiscard]] auto faults() const noexcept -> const fault_list& { return faults_; }

private:
    [[nodiscard]] auto read_service(const nlohmann::json& json, const std::string& path)
        -> service_spec;
    [[nodiscard]] auto read_version(const nlohmann::json& json, const std::string& path)
        -> version_spec;
    [[nodiscard]] auto read_rollout(const nlohmann::json& json, const std::string& path)
        -> rollout_spec;
    auto check_names(const operators_file& file) -> void;
    auto check_service(const operators_file& file, const service_spec& service,
                       const std::string& path) -> void;

    fault_list faults_;
};

} // namespace knapweedchute
