#include "zinnia/runtime/file.hpp"

#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace zinnia::runtime {

namespace {

    constexpr mode_t fileMode = 0640;
    constexpr std::size_t readChunkBytes = 1U << 16U;

    FileError lastError()
    {
        switch (errno) {
        case ENOENT:
            return FileError::NotFound;
        case ENOSPC:
        case EDQUOT:
            return FileError::NoSpace;
        default:
            return FileError::InputOutput;
        }
    }

    FileResult<void> resultOf(int status)
    {
        if (status != 0)
            return lastError();
        return success();
    }

    class PosixFile final : public File {
    public:
        explicit PosixFile(int fd)
            : fd { fd }
        {
        }
        ~PosixFile() override { close(this->fd); }
        PosixFile(const PosixFile&) = delete;
        PosixFile& operator=(const PosixFile&) = delete;

        FileResult<std::size_t> append(BytesView bytes) override
        {
            const ssize_t written = write(this->fd, bytes.data(), bytes.size());
            if (written < 0)
                return lastError();
            return static_cast<std::size_t>(written);
        }

        FileResult<void> sync() override { return resultOf(fsync(this->fd)); }

        FileResult<void> truncate(std::uint64_t size) override
        {
            return resultOf(ftruncate(this->fd, static_cast<off_t>(size)));
        }

        FileResult<Bytes> readAll() override
        {
            Bytes content;
            while (true) {
                const std::size_t offset = content.size();
                content.resize(offset + readChunkBytes);
                const ssize_t count
                    = pread(this->fd, content.data() + offset, readChunkBytes, static_cast<off_t>(offset));
                if (count < 0)
                    return lastError();
                content.resize(offset + static_cast<std::size_t>(count));
                if (count == 0)
                    return content;
            }
        }

    private:
        int fd;
    };

} // namespace

FileResult<std::unique_ptr<PosixFolder>> PosixFolder::create(const std::string& path)
{
    std::error_code error;
    if (std::filesystem::create_directories(path, error)) {
        // The directory entry of the new folder must also survive a crash.
        const std::string parent = std::filesystem::absolute(path).lexically_normal().parent_path().string();
        const int fd = ::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        const bool isSynced = fd >= 0 && fsync(fd) == 0;
        if (fd >= 0)
            close(fd);
        if (!isSynced)
            return lastError();
    }
    const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return lastError();
    if (flock(folder, LOCK_EX | LOCK_NB) != 0) {
        close(folder);
        return FileError::Busy;
    }
    return std::unique_ptr<PosixFolder> { new PosixFolder { folder } };
}

PosixFolder::~PosixFolder() { close(this->folder); }

FileResult<std::unique_ptr<File>> PosixFolder::open(const std::string& name, OpenMode mode)
{
    const int flags = mode == OpenMode::Existing ? 0 : O_CREAT | (mode == OpenMode::Replace ? O_TRUNC : 0);
    const int fd = openat(this->folder, name.c_str(), O_RDWR | O_APPEND | O_CLOEXEC | flags, fileMode);
    if (fd < 0)
        return lastError();
    return std::unique_ptr<File> { std::make_unique<PosixFile>(fd) };
}

FileResult<std::vector<std::string>> PosixFolder::list()
{
    const int copy = openat(this->folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR* entries = copy < 0 ? nullptr : fdopendir(copy);
    if (entries == nullptr)
        return lastError();
    std::vector<std::string> names;
    while (const dirent* entry = readdir(entries)) {
        const std::string name { &entry->d_name[0] };
        if (name != "." && name != "..")
            names.push_back(name);
    }
    closedir(entries);
    return names;
}

FileResult<void> PosixFolder::rename(const std::string& from, const std::string& to)
{
    return resultOf(renameat(this->folder, from.c_str(), this->folder, to.c_str()));
}

FileResult<void> PosixFolder::remove(const std::string& name)
{
    return resultOf(unlinkat(this->folder, name.c_str(), 0));
}

FileResult<void> PosixFolder::syncFolder() { return resultOf(fsync(this->folder)); }

} // namespace zinnia::runtime
