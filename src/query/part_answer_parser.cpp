#include <knapweedchute/query/part_answer_parser.hpp>
#include <knapweedchute/query/target_codec.hpp>

#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace knapweedchute::impl {

auto part_answer_parser::complete() const noexcept -> bool
{
    const auto required = {field::snapshot, field::shards, field::shard, field::attempt,
                           field::incarnation};
    auto whole = ended_ && answer_.source.shard < answer_.source.shards;
    for (const auto which : required) {
        whole = whole && seen(which);
    }
    return whole;
}

auto part_answer_parser::boolean(bool value) -> bool
{
    if (place_ == place::answer && field_ == field::leaving) {
        answer_.leaving = value;
        return true;
    }
    if (place_ == place::answer && field_ == field::end) {
        ended_ = value;
        return true;
    }
    return ignored();
}

auto part_answer_parser::number_integer(number_integer_t value) -> bool
{
    if (place_ == place::hit && field_ == field::score) {
        return number_float(static_cast<double>(value), {});
    }
    return ignored(); // Only negative numbers arrive here, and no count is negative.
}

auto part_answer_parser::number_unsigned(number_unsigned_t value) -> bool
{
    mark();
    switch (field_) {
    case field::snapshot:
        answer_.source.snapshot = value;
        return true;
    case field::attempt:
        answer_.attempt = value;
        return true;
    case field::incarnation:
        answer_.incarnation = value;
        return true;
    case field::shards:
        answer_.source.shards = static_cast<std::uint32_t>(value);
        return value > 0 && value <= most_shards;
    case field::shard:
        answer_.source.shard = static_cast<std::uint32_t>(value);
        return value < most_shards;
    case field::score:
        return number_float(static_cast<double>(value), {});
    default:
        return ignored();
    }
}

auto part_answer_parser::number_float(number_float_t value, const string_t& /*text*/) -> bool
{
    if (place_ == place::hit && field_ == field::score) {
        answer_.hits.back().score = value;
        return true;
    }
    return ignored();
}

auto part_answer_parser::string(string_t& value) -> bool
{
    if (place_ == place::hit && field_ == field::document) {
        answer_.hits.back().document = std::move(value);
        return !answer_.hits.back().document.empty();
    }
    if (place_ == place::hit && field_ == field::text) {
        answer_.hits.back().text = std::move(value);
        return true;
    }
    return ignored();
}

auto part_answer_parser::start_object(std::size_t /*elements*/) -> bool
{
    if (skipped_depth_ > 0 || (place_ == place::answer && field_ == field::other) ||
        (place_ == place::hit && field_ == field::other)) {
        ++skipped_depth_;
        return true;
    }
    if (place_ == place::outside) {
        place_ = place::answer;
        return true;
    }
    if (place_ == place::hits) {
        place_ = place::hit;
        answer_.hits.emplace_back();
        return true;
    }
    return false;
}

auto part_answer_parser::key(string_t& value) -> bool
{
    using named_field = std::pair<std::string_view, field>;
    static constexpr auto answer_fields =
        std::array<named_field, 8>{{{"snapshot", field::snapshot},
                                    {"shards", field::shards},
                                    {"shard", field::shard},
                                    {"attempt", field::attempt},
                                    {"incarnation", field::incarnation},
                                    {"leaving", field::leaving},
                                    {"hits", field::hits},
                                    {"end", field::end}}};
    static constexpr auto hit_fields = std::array<named_field, 3>{
        {{"document", field::document}, {"score", field::score}, {"text", field::text}}};
    if (skipped_depth_ > 0) {
        return true;
    }
    field_ = field::other;
    const auto find_in = [&](const auto& fields) {
        for (const auto& [name, which] : fields) {
            field_ = name == value ? which : field_;
        }
    };
    place_ == place::hit ? find_in(hit_fields) : find_in(answer_fields);
    return true;
}

auto part_answer_parser::end_object() -> bool
{
    if (skipped_depth_ > 0) {
        --skipped_depth_;
        return true;
    }
    if (place_ == place::hit) {
        place_ = place::hits;
        return !answer_.hits.back().document.empty();
    }
    place_ = place::outside;
    return true;
}

auto part_answer_parser::start_array(std::size_t /*elements*/) -> bool
{
    if (skipped_depth_ > 0 || field_ == field::other) {
        ++skipped_depth_;
        return true;
    }
    if (place_ == place::answer && field_ == field::hits) {
        place_ = place::hits;
        return true;
    }
    return false;
}

auto part_answer_parser::end_array() -> bool
{
    if (skipped_depth_ > 0) {
        --skipped_depth_;
        return true;
    }
    place_ = place::answer;
    return true;
}

auto part_answer_parser::ignored() const noexcept -> bool
{
    return skipped_depth_ > 0 || field_ == field::other;
}

auto part_answer_parser::seen(field which) const noexcept -> bool
{
    return (seen_ >> static_cast<unsigned>(which) & 1U) != 0U;
}

auto part_answer_parser::mark() noexcept -> void
{
    if (place_ == place::answer && skipped_depth_ == 0) {
        seen_ |= 1U << static_cast<unsigned>(field_);
    }
}

} // namespace knapweedchute::impl
