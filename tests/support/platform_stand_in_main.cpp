#include "platform_stand_in.hpp"

#include <csignal>
#include <iostream>

auto main(int argc, char** argv) -> int
{
    auto reason = knapweedchute::error{};
    const auto where = argc == 2 ? knapweedchute::parse_address(argv[1], reason) : std::nullopt;
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (!where) {
        std::cerr << "usage: platform_stand_in IP:PORT\n";
        return 2;
    }
    const auto service = knapweedchute::test::platform_stand_in{*where};
    if (!service.listening()) {
        return 3;
    }
    auto received = 0;
    sigwait(&signals, &received);
    return 0;
}
