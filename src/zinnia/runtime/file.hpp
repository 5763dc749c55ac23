#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace zinnia::runtime {

/** @brief Why a file operation failed. */
enum class FileError : unsigned char { NotFound, NoSpace, Busy, InputOutput };

inline constexpr NameTable<FileError, 4> fileErrorNames { {
    { FileError::NotFound, "not_found" },
    { FileError::NoSpace, "no_space" },
    { FileError::Busy, "busy" },
    { FileError::InputOutput, "input_output" },
} };
static_assert(isDense(fileErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(FileError error) noexcept { return nameIn(fileErrorNames, error); }

template <class T> using FileResult = Result<T, FileError>;

/** @brief An open file; closed by its destructor. Tests inject failures here. */
class File {
public:
    virtual ~File() = default;
    /** @brief Appends bytes. @return The number of bytes written, which may be fewer than given. */
    [[nodiscard]] virtual FileResult<std::size_t> append(BytesView bytes) = 0;
    [[nodiscard]] virtual FileResult<void> sync() = 0;
    [[nodiscard]] virtual FileResult<void> truncate(std::uint64_t size) = 0;
    [[nodiscard]] virtual FileResult<Bytes> readAll() = 0;

protected:
    File() = default;
    File(const File&) = default;
    File& operator=(const File&) = default;
};

enum class OpenMode : unsigned char { Existing, Append, Replace };

/** @brief The files of one folder. */
class FileSystem {
public:
    virtual ~FileSystem() = default;
    [[nodiscard]] virtual FileResult<std::unique_ptr<File>> open(const std::string& name, OpenMode mode) = 0;
    [[nodiscard]] virtual FileResult<std::vector<std::string>> list() = 0;
    [[nodiscard]] virtual FileResult<void> rename(const std::string& from, const std::string& to) = 0;
    [[nodiscard]] virtual FileResult<void> remove(const std::string& name) = 0;
    /** @brief Makes the creation, renaming and removal of files durable. */
    [[nodiscard]] virtual FileResult<void> syncFolder() = 0;

protected:
    FileSystem() = default;
    FileSystem(const FileSystem&) = default;
    FileSystem& operator=(const FileSystem&) = default;
};

/** @brief A folder of the file system, locked against other processes for the lifetime of this object. */
class PosixFolder final : public FileSystem {
public:
    /** @brief Opens the folder and creates it if needed. @return `Busy` if another process has locked it. */
    [[nodiscard]] static FileResult<std::unique_ptr<PosixFolder>> create(const std::string& path);

    ~PosixFolder() override;
    PosixFolder(const PosixFolder&) = delete;
    PosixFolder& operator=(const PosixFolder&) = delete;

    [[nodiscard]] FileResult<std::unique_ptr<File>> open(const std::string& name, OpenMode mode) override;
    [[nodiscard]] FileResult<std::vector<std::string>> list() override;
    [[nodiscard]] FileResult<void> rename(const std::string& from, const std::string& to) override;
    [[nodiscard]] FileResult<void> remove(const std::string& name) override;
    [[nodiscard]] FileResult<void> syncFolder() override;

private:
    explicit PosixFolder(int folder)
        : folder { folder }
    {
    }

    int folder;
};

} // namespace zinnia::runtime
