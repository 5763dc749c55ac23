#include "zinnia/runtime/drill_file.hpp"

#include <sstream>

namespace zinnia::runtime {

namespace {

    /** @brief Reads the lines of a drill file and checks their order. */
    class DrillReader {
    public:
        explicit DrillReader(const std::string& file)
            : file { file }
        {
        }

        void readLine(const std::string& line)
        {
            ++this->lineNumber;
            auto json = nlohmann::json::parse(line, nullptr, false);
            if (!json.is_object()) {
                this->fail(SettingsFault::Syntax, "", "a JSON object");
                return;
            }
            const auto found = json.find("type");
            const std::string type = found != json.end() && found->is_string() ? found->get<std::string>() : "";
            json.erase("type");
            if (type == DrillStart::type)
                this->readOnce(json, this->drill.start, this->starts);
            else if (type == DrillSample::type)
                this->read(json, this->drill.samples.emplace_back());
            else if (type == DrillEvent::type)
                this->read(json, this->drill.events.emplace_back());
            else if (type == DrillTotals::type)
                this->readOnce(json, this->drill.totals, this->totals);
            else
                this->fail(SettingsFault::NotAllowed, type, "start, sample, event, totals");
        }

        Result<DrillFile, SettingsErrors> finish()
        {
            this->lineNumber = 0;
            if (this->starts == 0)
                this->fail(SettingsFault::Missing, "", "a line of type start");
            if (this->totals == 0)
                this->fail(SettingsFault::Missing, "", "a line of type totals; the load may have been cut off");
            if (!this->errors.empty())
                return this->errors;
            return this->drill;
        }

    private:
        template <class T> void read(const nlohmann::json& json, T& record)
        {
            JsonReader reader { this->file };
            reader.read(json, "", record);
            for (SettingsError error : reader.errors()) {
                error.line = this->lineNumber;
                this->errors.push_back(std::move(error));
            }
        }

        template <class T> void readOnce(const nlohmann::json& json, T& record, unsigned& count)
        {
            if (++count > 1)
                this->fail(SettingsFault::NotAllowed, std::string { T::type }, "one line of this type");
            this->read(json, record);
        }

        void fail(SettingsFault fault, const std::string& value, const char* allowed)
        {
            this->errors.push_back({ fault, this->file, this->lineNumber, "type", value, allowed });
        }

        std::string file;
        std::uint32_t lineNumber = 0;
        DrillFile drill;
        unsigned starts = 0;
        unsigned totals = 0;
        SettingsErrors errors;
    };

} // namespace

Result<DrillFile, SettingsErrors> parseDrill(const std::string& text, const std::string& file)
{
    DrillReader reader { file };
    std::istringstream stream { text };
    for (std::string line; std::getline(stream, line);)
        reader.readLine(line);
    return reader.finish();
}

} // namespace zinnia::runtime
