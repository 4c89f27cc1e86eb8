#pragma once

#include <knapweedchute/query/part_answer.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace knapweedchute::impl {

/// \brief Reads a target's answer while it is parsed, without a tree in between.
///
/// \detail The answer is on the path of every target request; the checks are those of the format:
///         every required key once, the right types, shard below shards, an end mark.
class part_answer_parser final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /// \brief Whether everything required was read.
    [[nodiscard]] auto complete() const noexcept -> bool;

    /// \brief What was read.
    [[nodiscard]] auto take() noexcept -> part_answer { return std::move(answer_); }

    /// \name Events of the parser
    /// @{
    auto null() -> bool override { return ignored(); }
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

    enum class place : std::uint8_t
    {
        outside,
        answer,
        hits,
        hit
    };

    [[nodiscard]] auto ignored() const noexcept -> bool;
    [[nodiscard]] auto seen(field which) const noexcept -> bool;
    auto mark() noexcept -> void;

    part_answer answer_;
    place place_ = place::outside;
    field field_ = field::none;
    std::uint32_t seen_ = 0;
    std::uint32_t skipped_depth_ = 0;
    bool ended_ = false;
};

} // namespace knapweedchute::impl
