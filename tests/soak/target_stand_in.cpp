#include "target_stand_in.hpp"

#include <xxhash.h>

#include <utility>

namespace knapweedchute::soak {
namespace {

constexpr auto slow_time = milliseconds{160};
constexpr auto records_per_part = 4;

} // namespace

auto records_of(const std::string& service, const std::string& request) -> std::string
{
    auto records = std::string{};
    const auto text = service + "/" + request;
    for (auto index = std::uint64_t{0}; index < records_per_part; ++index) {
        const auto hash = XXH3_128bits_withSeed(text.data(), text.size(), index);
        records.append(reinterpret_cast<const char*>(&hash), sizeof(hash));
    }
    return records;
}

auto target_stand_in::handle(relayed_request request, responder respond) -> std::uint64_t
{
    const auto* expected = find_field(request.fields, "Expect-Instance");
    if (expected != nullptr && expected->value != id_) {
        respond({421, {{"Not-Executed", "1"}}, ""});
        return 0;
    }
    last_arrival_ = timers_->now();
    arrivals_ += 1;
    if (mode_ == target_mode::full) {
        respond({503, {{"Not-Executed", "1"}}, ""});
        return 0;
    }
    const auto number = next_++;
    (*runs_)[request.id] += 1;
    open_[number] = {request.id, std::move(respond)};
    if (mode_ != target_mode::dark) {
        const auto time = mode_ == target_mode::slow ? slow_time : usual_time_;
        timers_->at(timers_->now() + time, [this, number] { finish(number); });
    }
    return number;
}

auto target_stand_in::finish(std::uint64_t number) -> void
{
    auto node = open_.extract(number);
    if (node.empty()) {
        return;
    }
    const auto& [id, respond] = node.mapped();
    const auto failed = mode_ == target_mode::failing;
    respond({failed ? 500U : 200U,
             {{"Server-Stamp", id_ + "." + id}, {"Request-Id", id}},
             failed ? "" : records_of(service_, id)});
}

} // namespace knapweedchute::soak
