#pragma once

/// \file
/// \brief The HTTP library's headers as this project uses them.

// The string view of the library uses std::ostream without including it, so <ostream> comes first.
// clang-format off
#include <ostream>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>
// clang-format on
