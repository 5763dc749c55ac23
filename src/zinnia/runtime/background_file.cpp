#include "zinnia/runtime/background_file.hpp"

#include "zinnia/core/big_endian.hpp"
#include "zinnia/core/hash.hpp"

namespace zinnia::runtime {

namespace {

    /** Size of the content hash at the start of the file, which reveals an incomplete write. Unit: bytes. */
    constexpr std::size_t hashBytes = sizeof(std::uint64_t);

    std::uint64_t hashOfContent(BytesView content)
    {
        return hashOfText(0, { reinterpret_cast<const char*>(content.data()), content.size() });
    }

} // namespace

BackgroundFile::BackgroundFile(FileSystem& files, std::string name)
    : files { &files }
    , name { std::move(name) }
{
}

BackgroundFile::~BackgroundFile()
{
    {
        const std::lock_guard lock { this->mutex };
        this->stopping = true;
    }
    this->changed.notify_one();
    if (this->thread.joinable())
        this->thread.join();
}

std::optional<Bytes> BackgroundFile::read()
{
    auto file = this->files->open(this->name, OpenMode::Existing);
    if (!file)
        return std::nullopt;
    const auto content = file.value()->readAll();
    if (!content || content.value().size() < hashBytes)
        return std::nullopt;
    const auto expected = readBigEndian<std::uint64_t>(content.value().data());
    const BytesView body = BytesView { content.value() }.subspan(hashBytes);
    if (hashOfContent(body) != expected)
        return std::nullopt;
    return Bytes { body.begin(), body.end() };
}

void BackgroundFile::write(Bytes content)
{
    {
        const std::lock_guard lock { this->mutex };
        this->pendingContent = std::move(content);
        if (!this->thread.joinable())
            this->thread = std::thread { [this] { this->run(); } };
    }
    this->changed.notify_one();
}

void BackgroundFile::run()
{
    std::unique_lock lock { this->mutex };
    while (true) {
        this->changed.wait(lock, [this] { return this->pendingContent.has_value() || this->stopping; });
        if (!this->pendingContent)
            return;
        const Bytes content = std::move(*this->pendingContent);
        this->pendingContent.reset();
        lock.unlock();
        if (!this->store(content))
            this->failureCount.fetch_add(1);
        lock.lock();
    }
}

bool BackgroundFile::store(const Bytes& content)
{
    Bytes bytes(hashBytes);
    writeBigEndian(bytes.data(), hashOfContent(content));
    bytes.insert(bytes.end(), content.begin(), content.end());
    const std::string temporary = this->name + ".tmp";
    auto file = this->files->open(temporary, OpenMode::Replace);
    if (!file)
        return false;
    BytesView remaining { bytes };
    while (!remaining.empty()) {
        const auto written = file.value()->append(remaining);
        if (!written || written.value() == 0)
            return false;
        remaining = remaining.subspan(written.value());
    }
    return file.value()->sync().has_value() && this->files->rename(temporary, this->name).has_value()
        && this->files->syncFolder().has_value();
}

} // namespace zinnia::runtime
