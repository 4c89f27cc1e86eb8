#pragma once

#include <knapweedchute/config/configuration.hpp>
#include <knapweedchute/config/configuration_head.hpp>
#include <knapweedchute/store/key_value_store.hpp>

#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Reads and writes the accepted operators' file in the platform's service.
class configuration_store
{
public:
    /// \brief Largest text of one stored part, below the service's limit of one megabyte.
    static constexpr auto part_bytes = std::size_t{900'000};

    /// \brief Largest operators' file.
    static constexpr auto largest_file = std::size_t{16'000'000};

    /// \brief Changes that the head remembers, to settle a lost answer.
    static constexpr auto remembered_changes = std::size_t{64};

    /// \param store    The platform's service.
    /// \param attempts Tries of one call before the outcome is reported as unknown.
    configuration_store(key_value_store& store, std::size_t attempts);

    /// \brief Reads the head alone; version 0 means that nothing was ever accepted.
    [[nodiscard]] auto read_head(error& reason) -> std::optional<configuration_head>;

    /// \brief Reads the file that a head names, checked against its digest.
    [[nodiscard]] auto read_file(const configuration_head& head, error& reason)
        -> std::optional<configuration>;

    /// \brief Has a file accepted.
    /// \param text         The operators' file.
    /// \param base_version Version that the file was made against.
    /// \param change       Identity of this change, unique for ever.
    /// \param reason       `conflict` if another file was accepted since `base_version`;
    ///                     `store_unavailable` if provably not accepted; `outcome_unknown` else.
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
    [[nodiscard]] auto settle(const std::string& change, error& reason)
        -> std::optional<std::uint64_t>;
    auto remove_parts(const std::string& change, std::uint64_t parts) -> void;

    key_value_store* store_;
    std::size_t attempts_;
};

/// \brief Decodes an accepted file. Text that was accepted once is always valid.
/// \param reason Filled when nothing is returned.
[[nodiscard]] auto decode_configuration(std::uint64_t version, std::string change, std::string text,
                                        error& reason) -> std::optional<configuration>;

} // namespace knapweedchute
