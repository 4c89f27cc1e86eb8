// Uses a decision of the library alone: who may hold how many connections to a target.
#include <knapweedchute/membership/ownership.hpp>

#include <iostream>

auto main() -> int
{
    const auto instances = std::vector<std::string>{"entry-a", "entry-b", "entry-c", "entry-d"};
    const auto sharing = knapweedchute::ownership{instances};
    auto reason = knapweedchute::error{};
    const auto target = knapweedchute::parse_address("10.0.0.5:8080", reason);
    if (!target) {
        std::cerr << to_string(reason) << '\n';
        return 1;
    }
    constexpr auto connections = 25;
    const auto owners = sharing.owners(*target, connections);
    for (const auto& instance : owners) {
        const auto share = knapweedchute::share_among(owners, instance, connections);
        std::cout << instance << " may hold " << share.connections << " connections\n";
    }
    return 0;
}
