#pragma once

#include <string>
#include <vector>

namespace knapweedchute::ctl {

/// \brief Options that several commands share.
struct command_options
{
    std::string platform;            ///< Address of the platform's service.
    std::vector<std::string> admins; ///< Admin addresses of instances.
    std::string caller;              ///< Caller address of one instance.
    std::string operator_key;        ///< Secret for changes at instances.
    bool json = false;               ///< Whether to print JSON.
    int wait_ms = 5'000;             ///< Time to wait until a change is in force.
};

} // namespace knapweedchute::ctl
