#include "peer/handshake.hpp"

#include "base/digest.hpp"
#include "base/error.hpp"
#include "peer/frame_decoder.hpp"
#include "peer/json_text.hpp"
#include "peer/message_fields.hpp"

namespace pimentograde::peer
{

namespace
{

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t nonce_digits = 32;

struct hello
{
    peer_identity identity;
    std::string nonce;
};

// Lengths keep different sequences of fields from giving the same text.
void append(std::string& text, const std::string& field)
{
    text.append(std::to_string(field.size())).append(":").append(field);
}

std::string proof(const credentials& own, const char* role,
                  const hello& acceptor, const hello& connector)
{
    std::string text;
    append(text, "pimentograde-peer-1");
    append(text, role);
    for (const hello* side : {&acceptor, &connector})
    {
        append(text, side->nonce);
        append(text, side->identity.member.str());
        append(text, std::to_string(side->identity.incarnation));
    }
    return base::hmac_sha256_hex(own.secret, text);
}

Json::Value to_json(const hello& side)
{
    Json::Value value(Json::objectValue);
    value["protocol"] = protocol_version;
    value["member"] = side.identity.member.str();
    value["incarnation"] = static_cast<Json::UInt64>(side.identity.incarnation);
    value["nonce"] = side.nonce;
    return value;
}

hello read_hello(const message_fields& fields)
{
    if (fields.number("protocol") != protocol_version)
        throw base::error(base::error_code::invalid, "handshake", "",
                          "other protocol version");
    hello side;
    side.identity.member = fields.id<base::member_id>("member");
    side.identity.incarnation = fields.number("incarnation");
    side.nonce = fields.text("nonce");
    if (side.nonce.size() != nonce_digits || side.identity.member.empty())
        throw base::error(base::error_code::invalid, "handshake", "",
                          "nonce or member id malformed");
    return side;
}

void require_proof(const message_fields& fields, const std::string& expected,
                   const std::string& peer)
{
    if (!base::equal_constant_time(fields.text("proof"), expected))
        throw base::error(base::error_code::unauthorized, "handshake", peer,
                          "wrong proof");
}

void refuse_self(const hello& other, const credentials& own,
                 const std::string& peer)
{
    if (other.identity.member == own.self.member)
        throw base::error(base::error_code::refused, "handshake", peer,
                          "same member id");
}

} // namespace

peer_identity accept_handshake(frame_stream& stream, const credentials& own,
                               base::time_point deadline)
{
    stream.set_limit(max_handshake_bytes);
    const hello acceptor{own.self, base::random_nonce_hex()};
    stream.write(write_text(to_json(acceptor)), deadline);
    const Json::Value answer = parse_object(stream.read_until(deadline));
    const message_fields fields(answer);
    const hello connector = read_hello(fields);
    require_proof(fields, proof(own, "connector", acceptor, connector),
                  stream.remote());
    refuse_self(connector, own, stream.remote());
    Json::Value last(Json::objectValue);
    last["proof"] = proof(own, "acceptor", acceptor, connector);
    stream.write(write_text(last), deadline);
    stream.set_limit(max_frame_bytes);
    return connector.identity;
}

peer_identity connect_handshake(frame_stream& stream, const credentials& own,
                                base::time_point deadline)
{
    stream.set_limit(max_handshake_bytes);
    const Json::Value first = parse_object(stream.read_until(deadline));
    const hello acceptor = read_hello(message_fields(first));
    refuse_self(acceptor, own, stream.remote());
    const hello connector{own.self, base::random_nonce_hex()};
    Json::Value answer = to_json(connector);
    answer["proof"] = proof(own, "connector", acceptor, connector);
    stream.write(write_text(answer), deadline);
    const Json::Value last = parse_object(stream.read_until(deadline));
    require_proof(message_fields(last),
                  proof(own, "acceptor", acceptor, connector), stream.remote());
    stream.set_limit(max_frame_bytes);
    return acceptor.identity;
}

} // namespace pimentograde::peer
