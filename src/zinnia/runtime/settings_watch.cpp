#include "zinnia/runtime/settings_watch.hpp"

#include <sys/stat.h>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds checkInterval { 1000 };

} // namespace

SettingsWatch::SettingsWatch(Poller& poller, std::string file, std::function<void()> onChanged)
    : poller { &poller }
    , file { std::move(file) }
    , onChanged { std::move(onChanged) }
    , lastAttributes { this->readAttributes() }
{
    this->timer = poller.schedule(checkInterval, [this] { this->check(); });
}

SettingsWatch::~SettingsWatch() { this->poller->cancel(this->timer); }

SettingsWatch::FileAttributes SettingsWatch::readAttributes() const
{
    struct stat status { };
    if (stat(this->file.c_str(), &status) != 0)
        return {};
    return { status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size, status.st_ino };
}

void SettingsWatch::check()
{
    this->timer = this->poller->schedule(checkInterval, [this] { this->check(); });
    const FileAttributes now = this->readAttributes();
    // A file that is missing for a moment is about to be replaced.
    if (now == this->lastAttributes || now == FileAttributes {})
        return;
    this->lastAttributes = now;
    this->onChanged();
}

} // namespace zinnia::runtime
