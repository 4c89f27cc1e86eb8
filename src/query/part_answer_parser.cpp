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
    auto all_present = ended_ && answer_.source.shard < answer_.source.shards;
    for (const auto which : required) {
        all_present = all_present && was_seen(which);
    }
    return all_present;
}

auto part_answer_parser::boolean(bool value) -> bool
{
    if (scope_ == scope::answer && field_ == field::leaving) {
        answer_.leaving = value;
        return true;
    }
    if (scope_ == scope::answer && field_ == field::end) {
        ended_ = value;
        return true;
    }
    return value_ignored();
}

auto part_answer_parser::number_integer(number_integer_t value) -> bool
{
    if (scope_ == scope::hit && field_ == field::score) {
        return number_float(static_cast<double>(value), {});
    }
    return value_ignored(); // Only negative numbers reach this point, and no counter is negative.
}

auto part_answer_parser::number_unsigned(number_unsigned_t value) -> bool
{
    mark_seen();
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
        return value > 0 && value <= max_shards;
    case field::shard:
        answer_.source.shard = static_cast<std::uint32_t>(value);
        return value < max_shards;
    case field::score:
        return number_float(static_cast<double>(value), {});
    default:
        return value_ignored();
    }
}

auto part_answer_parser::number_float(number_float_t value, const string_t& /*text*/) -> bool
{
    if (scope_ == scope::hit && field_ == field::score) {
        answer_.hits.back().score = value;
        return true;
    }
    return value_ignored();
}

auto part_answer_parser::string(string_t& value) -> bool
{
    if (scope_ == scope::hit && field_ == field::document) {
        answer_.hits.back().document = std::move(value);
        return !answer_.hits.back().document.empty();
    }
    if (scope_ == scope::hit && field_ == field::text) {
        answer_.hits.back().text = std::move(value);
        return true;
    }
    return value_ignored();
}

auto part_answer_parser::start_object(std::size_t /*elements*/) -> bool
{
    if (skipped_depth_ > 0 || (scope_ == scope::answer && field_ == field::other) ||
        (scope_ == scope::hit && field_ == field::other)) {
        ++skipped_depth_;
        return true;
    }
    if (scope_ == scope::outside) {
        scope_ = scope::answer;
        return true;
    }
    if (scope_ == scope::hits) {
        scope_ = scope::hit;
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
    scope_ == scope::hit ? find_in(hit_fields) : find_in(answer_fields);
    return true;
}

auto part_answer_parser::end_object() -> bool
{
    if (skipped_depth_ > 0) {
        --skipped_depth_;
        return true;
    }
    if (scope_ == scope::hit) {
        scope_ = scope::hits;
        return !answer_.hits.back().document.empty();
    }
    scope_ = scope::outside;
    return true;
}

auto part_answer_parser::start_array(std::size_t /*elements*/) -> bool
{
    if (skipped_depth_ > 0 || field_ == field::other) {
        ++skipped_depth_;
        return true;
    }
    if (scope_ == scope::answer && field_ == field::hits) {
        scope_ = scope::hits;
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
    scope_ = scope::answer;
    return true;
}

auto part_answer_parser::value_ignored() const noexcept -> bool
{
    return skipped_depth_ > 0 || field_ == field::other;
}

auto part_answer_parser::was_seen(field which) const noexcept -> bool
{
    return (seen_fields_ >> static_cast<unsigned>(which) & 1U) != 0U;
}

auto part_answer_parser::mark_seen() noexcept -> void
{
    if (scope_ == scope::answer && skipped_depth_ == 0) {
        seen_fields_ |= 1U << static_cast<unsigned>(field_);
    }
}

} // namespace knapweedchute::impl
