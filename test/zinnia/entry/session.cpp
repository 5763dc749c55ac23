#include "zinnia/entry/session.hpp"

#include "zinnia/entry/session_text.hpp"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <utility>

namespace zinnia::entry::test {

namespace {

    constexpr Milliseconds tickInterval { 20 };

    template <class Types, class... Alternatives>
    std::string describe(const Types& types, std::variant<Alternatives...> item)
    {
        FieldWriter writer { std::string { types[item.index()] } };
        std::visit([&writer](auto& alternative) { visitFields(writer, alternative); }, item);
        return writer.text + "\n";
    }

    /** @return The event; its payload refers to `line`. */
    template <std::size_t Index = 0> Event readEvent(const FieldReader& line)
    {
        if constexpr (Index < std::variant_size_v<Event>) {
            if (line.type != eventTypes[Index])
                return readEvent<Index + 1>(line);
            std::variant_alternative_t<Index, Event> event {};
            visitFields(line, event);
            return event;
        } else {
            ADD_FAILURE() << "unknown event " << line.type;
            return Tick {};
        }
    }

    std::string replay(const std::string& recorded)
    {
        Session session;
        std::istringstream stream { recorded };
        for (std::string text; std::getline(stream, text);) {
            const FieldReader line { text };
            if (line.direction == "end")
                session.advance(Milliseconds { line.time });
            else if (line.direction == "event" && line.type != "tick")
                session.at(Milliseconds { line.time }, readEvent(line));
        }
        return session.text();
    }

} // namespace

Session::Session()
{
    NodeSettings settings;
    settings.self = InstanceId { 11 };
    settings.zone = ZoneId { 1 };
    settings.epoch = Epoch { 5 };
    settings.cluster = ClusterId { 77 };
    settings.seed = 42;
    settings.flow.seed = 77;
    this->node = std::move(EntryNode::create(settings, this->codec, TimePoint { Seconds { 1000 } }).value());
}

void Session::at(Milliseconds time, const Event& event)
{
    this->advance(time);
    this->latest.clear();
    this->handle(event, time);
}

void Session::advance(Milliseconds time)
{
    this->latest.clear();
    while (this->elapsed + tickInterval <= time) {
        this->elapsed += tickInterval;
        this->handle(Tick {}, this->elapsed);
    }
}

void Session::handle(const Event& event, Milliseconds time)
{
    Actions actions;
    this->node->handle(event, TimePoint { Seconds { 1000 } } + time, actions);
    if (!std::holds_alternative<Tick>(event) || !actions.empty())
        this->lines += std::to_string(time.count()) + " event " + describe(eventTypes, event);
    for (const Action& action : actions)
        this->lines += std::to_string(time.count()) + " action " + describe(actionTypes, action);
    this->latest.insert(this->latest.end(), actions.begin(), actions.end());
}

void checkGolden(const std::string& name, const std::function<void(Session&)>& script)
{
    const std::string path = std::string { ZINNIA_SOURCE_DIR } + "/test/golden/" + name + ".txt";
    Session session;
    script(session);
    const char* record = std::getenv("ZINNIA_RECORD_GOLDEN");
    if (record && std::string_view { record } == "1")
        std::ofstream { path, std::ios::binary } << session.text();
    std::ifstream stream { path, std::ios::binary };
    const std::string golden { std::istreambuf_iterator<char> { stream }, {} };
    ASSERT_FALSE(golden.empty()) << path;
    EXPECT_EQ(replay(golden), golden);
    EXPECT_EQ(session.text(), golden) << "the session script no longer produces the recorded events and actions";
}

} // namespace zinnia::entry::test
