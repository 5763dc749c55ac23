#pragma once

#include "zinnia/runtime/file.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace zinnia::runtime::test {

/** @brief An in-memory folder with injected failures; `crash` discards data that was not synced. */
class FakeFolder final : public FileSystem {
public:
    struct Content {
        Bytes bytes;
        std::size_t synced {};
    };

    std::map<std::string, std::shared_ptr<Content>> names;
    /** The directory entries that survive a crash. */
    std::map<std::string, std::shared_ptr<Content>> syncedNames;
    std::size_t freeBytes = std::numeric_limits<std::size_t>::max();
    std::size_t maxWriteBytes = std::numeric_limits<std::size_t>::max();
    bool syncFails {};

    /** @param kept Number of unsynced bytes that survive in each file. */
    void crash(std::size_t kept)
    {
        this->names = this->syncedNames;
        for (auto& [name, content] : this->names) {
            content->bytes.resize(std::min(content->bytes.size(), content->synced + kept));
            content->synced = content->bytes.size();
        }
    }

    FileResult<std::unique_ptr<File>> open(const std::string& name, OpenMode mode) override
    {
        if (mode == OpenMode::Existing && !this->names.contains(name))
            return FileError::NotFound;
        if (mode == OpenMode::Replace || !this->names.contains(name))
            this->names[name] = std::make_shared<Content>();
        return std::unique_ptr<File> { std::make_unique<FakeFile>(*this, this->names[name]) };
    }

    FileResult<std::vector<std::string>> list() override
    {
        std::vector<std::string> result;
        for (const auto& [name, content] : this->names)
            result.push_back(name);
        return result;
    }

    FileResult<void> rename(const std::string& from, const std::string& to) override
    {
        this->names[to] = this->names[from];
        this->names.erase(from);
        return success();
    }

    FileResult<void> remove(const std::string& name) override
    {
        this->names.erase(name);
        return success();
    }

    FileResult<void> syncFolder() override
    {
        if (this->syncFails)
            return FileError::InputOutput;
        this->syncedNames = this->names;
        return success();
    }

private:
    class FakeFile final : public File {
    public:
        FakeFile(FakeFolder& folder, std::shared_ptr<Content> content)
            : folder { folder }
            , content { std::move(content) }
        {
        }

        FileResult<std::size_t> append(BytesView bytes) override
        {
            const std::size_t size = std::min({ bytes.size(), this->folder.maxWriteBytes, this->folder.freeBytes });
            if (size == 0)
                return FileError::NoSpace;
            this->folder.freeBytes -= size;
            this->content->bytes.insert(this->content->bytes.end(), bytes.begin(), bytes.begin() + size);
            return size;
        }

        FileResult<void> sync() override
        {
            if (this->folder.syncFails)
                return FileError::InputOutput;
            this->content->synced = this->content->bytes.size();
            return success();
        }

        FileResult<void> truncate(std::uint64_t size) override
        {
            this->content->bytes.resize(size);
            return success();
        }

        FileResult<Bytes> readAll() override { return this->content->bytes; }

    private:
        FakeFolder& folder;
        std::shared_ptr<Content> content;
    };
};

} // namespace zinnia::runtime::test
