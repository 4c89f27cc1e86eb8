#pragma once

namespace knapweedchute::ctl {

/// \brief Exit codes of knapweedctl.
enum class exit_code : int
{
    success = 0,        ///< Done.
    usage = 1,          ///< Wrong command line.
    bad_input = 2,      ///< A file or value has faults.
    conflict = 3,       ///< Another file was accepted since the base; nothing was changed.
    unknown = 4,        ///< It could not be settled whether the change was accepted.
    unavailable = 5,    ///< Not accepted: the platform or an instance did not answer.
    not_everywhere = 6, ///< Accepted, but not seen in force at every instance in time.
    refused = 7         ///< An instance answered with a refusal.
};

} // namespace knapweedchute::ctl
