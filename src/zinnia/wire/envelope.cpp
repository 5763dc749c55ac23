#include "zinnia/wire/envelope.hpp"

#include "zinnia/core/big_endian.hpp"

#include <sodium.h>

namespace zinnia::wire {

namespace {

    constexpr std::size_t tagBytes = 16;

    template <class T> void appendNumber(Bytes& target, T value)
    {
        target.resize(target.size() + sizeof(T));
        writeBigEndian(target.data() + target.size() - sizeof(T), value);
    }

    template <class T> T readNumber(BytesView& bytes)
    {
        const T value = readBigEndian<T>(bytes.data());
        bytes = bytes.subspan(sizeof(T));
        return value;
    }

    void computeTag(std::uint8_t* tag, BytesView content, const ClusterKey& key)
    {
        crypto_generichash(tag, tagBytes, content.data(), content.size(), key.data(), key.size());
    }

} // namespace

Sealer::Sealer(const ClusterKey& key, ClusterId cluster, InstanceId self, Epoch epoch)
    : key { key }
    , cluster { cluster }
    , self { self }
    , epoch { epoch }
{
}

Bytes Sealer::seal(MessageKind kind, BytesView body)
{
    Bytes message;
    message.reserve(envelopeBytes + body.size());
    message.resize(tagBytes);
    appendNumber(message, this->cluster.value);
    appendNumber(message, this->self.value);
    appendNumber(message, this->epoch.value);
    appendNumber(message, this->nextSequence++);
    message.push_back(static_cast<std::uint8_t>(kind));
    message.insert(message.end(), body.begin(), body.end());
    computeTag(message.data(), BytesView { message }.subspan(tagBytes), this->key);
    return message;
}

Opener::Opener(const ClusterKey& key, ClusterId cluster, bool checkReplay)
    : key { key }
    , cluster { cluster }
    , checkReplay { checkReplay }
{
}

Result<OpenedMessage, RefusalReason> Opener::open(BytesView bytes)
{
    if (bytes.size() < envelopeBytes)
        return RefusalReason::Malformed;
    std::array<std::uint8_t, tagBytes> tag {};
    computeTag(tag.data(), bytes.subspan(tagBytes), this->key);
    if (sodium_memcmp(tag.data(), bytes.data(), tagBytes) != 0)
        return RefusalReason::BadTag;
    bytes = bytes.subspan(tagBytes);
    if (readNumber<std::uint64_t>(bytes) != this->cluster.value)
        return RefusalReason::WrongCluster;
    OpenedMessage message;
    message.sender = InstanceId { readNumber<std::uint32_t>(bytes) };
    message.epoch = Epoch { readNumber<std::uint64_t>(bytes) };
    message.sequence = readNumber<std::uint64_t>(bytes);
    message.kind = static_cast<MessageKind>(readNumber<std::uint8_t>(bytes));
    message.body = bytes;
    if (this->checkReplay && !this->admit(message.sender, message.epoch, message.sequence))
        return RefusalReason::Replayed;
    return message;
}

bool Opener::admit(InstanceId sender, Epoch epoch, std::uint64_t sequence)
{
    Window& window = this->windows[sender];
    if (epoch < window.epoch)
        return false;
    if (epoch > window.epoch)
        window = Window { epoch, 0, {} };
    if (sequence > window.newest) {
        const std::uint64_t step = sequence - window.newest;
        if (step >= windowSize)
            window.seen.reset();
        else {
            for (std::uint64_t number = window.newest + 1; number < sequence; ++number)
                window.seen.reset(number % windowSize);
        }
        window.newest = sequence;
    } else if (window.newest - sequence >= windowSize || window.seen.test(sequence % windowSize))
        return false;
    window.seen.set(sequence % windowSize);
    return true;
}

} // namespace zinnia::wire
