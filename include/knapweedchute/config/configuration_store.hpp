#pragma once

#include <knapweedchute/config/configuration.hpp>
#include <knapweedchute/config/configuration_head.hpp>
#include <knapweedchute/store/key_value_store.hpp>

#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Reads and writes the accepted operators' file in the platform's key-value service.
class configuration_store
{
public:
    /// \brief Maximum size of a stored part in bytes, below the service's limit of one megabyte.
    static constexpr auto max_part_bytes = std::size_t{900'000};

    /// \brief Maximum size of an operators' file in bytes.
    static constexpr auto max_file_bytes = std::size_t{16'000'000};

    /// \brief Number of changes listed in the head, to resolve the outcome of an unanswered write.
    static constexpr auto max_recent_changes = std::size_t{64};

    /// \param store    The platform's key-value service.
    /// \param attempts Attempts of one call before the outcome is reported as unknown.
    configuration_store(key_value_store& store, std::size_t attempts);

    /// \brief Reads the head; its version is 0 if no file was ever accepted.
    [[nodiscard]] auto read_head(error& reason) -> std::optional<configuration_head>;

    /// \brief Reads the file that a head names and verifies its digest.
    [[nodiscard]] auto read_file(const configuration_head& head, error& reason)
        -> std::optional<configuration>;

    /// \brief Writes a file and makes it the accepted one.
    /// \param text         The operators' file.
    /// \param base_version Version that the file is based on.
    /// \param change       Identifier of this change, never used again.
    /// \param reason       `too_large` if the file is empty or exceeds `max_file_bytes`;
    ///                     `conflict` if another file was accepted since `base_version`;
    ///                     `store_unavailable` if it is certain that the file was not accepted;
    ///                     otherwise `outcome_unknown`.
    /// \returns The version of the accepted file.
    [[nodiscard]] auto apply(const std::string& text, std::uint64_t base_version,
                             const std::string& change, error& reason)
        -> std::optional<std::uint64_t>;

private:
    struct stored_head
    {
        std::uint64_t revision = 0;
        configuration_head head;
    };

    [[nodiscard]] auto read_stored_head(error& reason) -> std::optional<stored_head>;
    [[nodiscard]] auto write_parts(const std::string& text, const std::string& change,
                                   error& reason) -> bool;
    [[nodiscard]] auto resolve_outcome(const std::string& change, error& reason)
        -> std::optional<std::uint64_t>;
    auto remove_parts(const std::string& change, std::uint64_t parts) -> void;

    key_value_store* store_;
    std::size_t attempts_;
};

/// \brief Decodes an accepted file; text that was accepted once stays valid.
/// \param reason Filled when nothing is returned.
[[nodiscard]] auto decode_configuration(std::uint64_t version, std::string change, std::string text,
                                        error& reason) -> std::optional<configuration>;

} // namespace knapweedchute
