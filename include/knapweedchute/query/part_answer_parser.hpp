#pragma once

#include <knapweedchute/query/part_answer.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace knapweedchute::impl {

/// \brief SAX handler that decodes a target's answer without building a JSON tree.
///
/// \detail Every target request goes through it, hence the streaming parse. It checks the format:
///         the required keys, the value types, a shard index below the number of shards and the end
///         marker. Unknown keys are skipped.
class part_answer_parser final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /// \brief Whether all required keys and the end marker were read.
    [[nodiscard]] auto complete() const noexcept -> bool;

    /// \brief Moves the decoded answer out of the parser.
    [[nodiscard]] auto take_answer() noexcept -> part_answer { return std::move(answer_); }

    /// \name Callbacks of the JSON parser
    /// @{
    auto null() -> bool override { return value_ignored(); }
    auto boolean(bool value) -> bool override;
    auto number_integer(number_integer_t value) -> bool override;
    auto number_unsigned(number_unsigned_t value) -> bool override;
    auto number_float(number_float_t value, const string_t& text) -> bool override;
    auto string(string_t& value) -> bool override;
    auto binary(binary_t& /*value*/) -> bool override { return false; }
    auto start_object(std::size_t elements) -> bool override;
    auto key(string_t& value) -> bool override;
    auto end_object() -> bool override;
    auto start_array(std::size_t elements) -> bool override;
    auto end_array() -> bool override;
    auto parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*reason*/) -> bool override
    {
        return false;
    }
    /// @}

private:
    enum class field : std::uint8_t
    {
        none,
        other,
        snapshot,
        shards,
        shard,
        attempt,
        incarnation,
        leaving,
        hits,
        end,
        document,
        score,
        text
    };

    enum class scope : std::uint8_t
    {
        outside,
        answer,
        hits,
        hit
    };

    [[nodiscard]] auto value_ignored() const noexcept -> bool;
    [[nodiscard]] auto was_seen(field which) const noexcept -> bool;
    auto mark_seen() noexcept -> void;

    part_answer answer_;
    scope scope_ = scope::outside;
    field field_ = field::none;
    std::uint32_t seen_fields_ = 0;
    std::uint32_t skipped_depth_ = 0;
    bool ended_ = false;
};

} // namespace knapweedchute::impl
