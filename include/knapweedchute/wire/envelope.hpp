#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/core/message_key.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Encodes, signs, verifies and decodes the messages that instances exchange.
///
/// \detail An encoded message consists of a magic number, a format version, an authentication code
///         over deployment and body, and the body in cereal's portable binary format. A message
///         with another format, deployment or key is refused before its body is decoded.
class envelope
{
public:
    /// \brief Format version that this release writes and reads.
    static constexpr auto format_version = std::uint8_t{1};

    /// \brief Length in bytes of the header before the body.
    static constexpr auto header_bytes = std::size_t{5} + message_key::code_bytes;

    /// \param deployment Name of the deployment; messages of other deployments are refused.
    /// \param key        Secret shared by the instances of the deployment.
    envelope(std::string deployment, message_key key);

    /// \brief Encodes and signs a message.
    template <typename Message>
    [[nodiscard]] auto encode(const Message& message) const -> std::string
    {
        auto stream = std::ostringstream{};
        {
            auto archive = cereal::PortableBinaryOutputArchive{stream};
            archive(message);
        }
        return sign_body(stream.str());
    }

    /// \brief Verifies and decodes a message.
    /// \param bytes  Encoded message with its header.
    /// \param reason Filled when nothing is returned.
    /// \returns The message, or nothing if it is malformed or not authentic.
    template <typename Message>
    [[nodiscard]] auto decode(std::string_view bytes, error& reason) const -> std::optional<Message>
    {
        const auto body = verify_body(bytes, reason);
        if (!body) {
            return std::nullopt;
        }
        try {
            auto stream = std::istringstream{std::string{*body}};
            auto archive = cereal::PortableBinaryInputArchive{stream};
            auto message = Message{};
            archive(message);
            return message;
        } catch (const cereal::Exception& thrown) {
            reason = {error_code::malformed, "body", thrown.what()};
            return std::nullopt;
        }
    }

private:
    [[nodiscard]] auto sign_body(const std::string& body) const -> std::string;
    [[nodiscard]] auto verify_body(std::string_view bytes, error& reason) const
        -> std::optional<std::string_view>;

    std::string deployment_;
    message_key key_;
};

} // namespace knapweedchute
