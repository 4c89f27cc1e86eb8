#include <knapweedchute/query/run_ledger.hpp>

#include <utility>

namespace knapweedchute {
namespace {

auto make_refusal(error_code code, std::string what, outcome execution)
    -> run_ledger::recorded_result
{
    return refusal{{code, "/request_id", std::move(what)}, execution};
}

} // namespace

run_ledger::run_ledger(std::string instance, std::uint64_t incarnation, message_key key,
                       duration lifetime, time_point start)
    : instance_{std::move(instance)},
      incarnation_{incarnation}, key_{std::move(key)}, lifetime_{lifetime}, start_{start}
{
}

auto run_ledger::issue_id(time_point now) -> std::string
{
    const auto expires = milliseconds_at(now + lifetime_);
    return to_string(request_id{instance_, incarnation_, next_sequence_++, expires}, key_);
}

auto run_ledger::admit(const std::string& id, time_point now) -> std::optional<recorded_result>
{
    const auto now_ms = milliseconds_at(now);
    remove_expired(now_ms);
    auto reason = error{};
    const auto parsed = parse_request_id(id, key_, reason);
    if (!parsed) {
        return refusal{reason, outcome::not_run};
    }
    if (parsed->instance != instance_ || parsed->incarnation != incarnation_) {
        return make_refusal(error_code::issued_elsewhere,
                            "only " + parsed->instance + " may run it", outcome::unknown);
    }
    if (parsed->expires_ms <= now_ms) {
        return make_refusal(error_code::duplicate_request, "the id has expired", outcome::unknown);
    }
    const auto [entry, inserted] = admitted_.try_emplace(id);
    if (inserted) {
        expiries_.emplace_back(parsed->expires_ms, id);
        return std::nullopt;
    }
    if (entry->second) {
        return entry->second;
    }
    return make_refusal(error_code::duplicate_request, "the request is in progress",
                        outcome::unknown);
}

auto run_ledger::record_result(const std::string& id, recorded_result result) -> void
{
    const auto entry = admitted_.find(id);
    if (entry != admitted_.end()) {
        entry->second = std::move(result);
    }
}

auto run_ledger::remove_expired(std::uint64_t now_ms) -> void
{
    while (!expiries_.empty() && expiries_.front().first <= now_ms) {
        admitted_.erase(expiries_.front().second);
        expiries_.pop_front();
    }
}

auto run_ledger::milliseconds_at(time_point now) const noexcept -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now - start_).count());
}

} // namespace knapweedchute
