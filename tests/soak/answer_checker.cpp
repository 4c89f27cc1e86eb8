#include "answer_checker.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace knapweedchute::soak {
namespace {

constexpr auto status_ok = 200U;
constexpr auto status_not_run = 503U;
constexpr auto status_client_error = 400U;
constexpr auto status_server_error = 500U;
constexpr auto record_size = std::size_t{16};
constexpr auto top = std::size_t{5};
constexpr auto least_coverage = 0.5;

auto value_of(const relayed_answer& answer, const std::string& name) -> std::string
{
    const auto* field = find_field(answer.fields, name);
    return field == nullptr ? "" : field->value;
}

/// The greatest records of some services, greatest first: written anew, not the product's merge.
auto expected_body(const std::vector<std::string>& services, const std::string& id) -> std::string
{
    auto records = std::vector<std::string>{};
    for (const auto& service : services) {
        const auto part = records_of(service, id);
        for (auto begin = std::size_t{0}; begin + record_size <= part.size();
             begin += record_size) {
            records.push_back(part.substr(begin, record_size));
        }
    }
    // Bytes compare as unsigned in std::string.
    std::sort(records.rbegin(), records.rend());
    auto body = std::string{};
    for (auto index = std::size_t{0}; index < std::min(top, records.size()); ++index) {
        body += records[index];
    }
    return body;
}

} // namespace

answer_checker::answer_checker(std::vector<std::string> shards,
                               std::map<std::string, std::string> targets)
    : shards_{std::move(shards)}, targets_{std::move(targets)}
{
}

auto answer_checker::configured_service(std::uint64_t version) -> std::string
{
    return "c" + std::to_string(version % configured_services);
}

auto answer_checker::seen(std::size_t instance, std::uint64_t lifetime) const -> std::uint64_t
{
    const auto found = seen_.find({instance, lifetime});
    return found == seen_.end() ? 0 : found->second;
}

auto answer_checker::fault(const asked& request, const std::string& what) -> void
{
    faults_.push_back("request " + request.id + " at instance " + std::to_string(request.instance) +
                      ": " + what);
}

auto answer_checker::check(const asked& request, const exchange_result& result) -> bool
{
    if (request.kind == request_kind::run_once) {
        once_.insert(request.id);
    }
    if (result.status != exchange_status::answered) {
        return false;
    }
    const auto& answer = result.answer;
    if (answer.status == status_not_run) {
        refused_.insert(request.id);
        if (value_of(answer, "Retry-After").empty()) {
            fault(request, "refused without a time to return");
        }
        return false;
    }
    if (answer.status >= status_client_error && answer.status < status_server_error) {
        fault(request, "denied with " + std::to_string(answer.status));
        return false;
    }
    if (answer.status != status_ok) {
        return false;
    }
    if (request.kind == request_kind::query) {
        check_query(request, answer);
    } else if (request.kind == request_kind::configured) {
        check_configured(request, answer);
    } else {
        const auto service = request.kind == request_kind::moving ? "m" : "o";
        if (answer.body != records_of(service, request.id)) {
            fault(request, "not the target's body");
        }
    }
    return true;
}

auto answer_checker::check_query(const asked& request, const relayed_answer& answer) -> void
{
    auto services = std::vector<std::string>{};
    auto proofs = std::istringstream{value_of(answer, "Part-Stamps")};
    for (auto proof = std::string{}; std::getline(proofs >> std::ws, proof, ',');) {
        const auto dot = proof.find('.');
        const auto target = targets_.find(proof.substr(0, dot));
        if (target == targets_.end() || proof.substr(dot + 1) != request.id) {
            fault(request, "a proof of something else: " + proof);
            return;
        }
        services.push_back(target->second);
    }
    const auto distinct = std::set<std::string>{services.begin(), services.end()};
    const auto missing = std::stoul("0" + value_of(answer, "Missing-Parts"));
    if (distinct.size() != services.size()) {
        fault(request, "two parts of one shard");
    }
    if (services.size() + missing != shards_.size()) {
        fault(request, "parts and missing ones are not the set");
    }
    if (static_cast<double>(services.size()) <
        least_coverage * static_cast<double>(shards_.size())) {
        fault(request, "less than the least coverage");
    }
    if (answer.body != expected_body(services, request.id)) {
        fault(request, "not the greatest records of its parts");
    }
}

auto answer_checker::check_configured(const asked& request, const relayed_answer& answer) -> void
{
    // The newest version that names the service that answered.
    auto version = newest_;
    const auto oldest = newest_ > configured_services ? newest_ - configured_services : 0;
    while (version > oldest && answer.body != records_of(configured_service(version), request.id)) {
        --version;
    }
    if (version == oldest) {
        fault(request, "not the body of any service that a version names");
        return;
    }
    if (version < request.seen_before) {
        fault(request, "version " + std::to_string(version) + " after " +
                           std::to_string(request.seen_before));
    }
    auto& known = seen_[{request.instance, request.lifetime}];
    known = std::max(known, version);
}

auto answer_checker::check_runs(const run_counts& runs) -> void
{
    for (const auto& [id, count] : runs) {
        if (once_.contains(id) && count > 1) {
            faults_.push_back("request " + id + " ran " + std::to_string(count) + " times");
        }
        if (once_.contains(id) && refused_.contains(id)) {
            faults_.push_back("request " + id + " was refused as not run, and ran");
        }
    }
}

} // namespace knapweedchute::soak
