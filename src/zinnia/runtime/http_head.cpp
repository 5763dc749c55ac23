#include "zinnia/runtime/http_head.hpp"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <algorithm>

namespace zinnia::runtime {

namespace {

    namespace net = Poco::Net;

    int statusOfParsed(const net::HTTPRequest& parsed, const HttpHeadLimits& limits)
    {
        if (!valueIn(httpMethodNames, parsed.getMethod()))
            return http_status::methodNotAllowed;
        if (parsed.getURI().size() > limits.pathBytes)
            return http_status::pathTooLong;
        if (parsed.getChunkedTransferEncoding())
            return http_status::lengthRequired;
        // POCO gives an unknown or negative length as -1.
        if (parsed.hasContentLength() && parsed.getContentLength64() < 0)
            return http_status::badRequest;
        return http_status::ok;
    }

} // namespace

HttpHead parseHttpHead(std::string_view text, const HttpHeadLimits& limits)
{
    HttpHead head;
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    // The last line is empty.
    if (text.size() > limits.bytes + httpHeadEnd.size() || lines > limits.lines + 1) {
        head.status = http_status::headerTooLarge;
        return head;
    }
    try {
        Poco::MemoryInputStream stream { text.data(), static_cast<std::streamsize>(text.size()) };
        net::HTTPRequest parsed;
        parsed.read(stream);
        head.status = statusOfParsed(parsed, limits);
        if (head.status == http_status::pathTooLong)
            return head;
        head.request = HttpRequest { valueIn(httpMethodNames, parsed.getMethod()).value_or(HttpMethod {}),
            parsed.getURI(), parsed.get("Authorization", ""), "" };
        head.bodyBytes = head.status == http_status::ok && parsed.hasContentLength()
            ? static_cast<std::size_t>(parsed.getContentLength64())
            : 0;
        head.keepAlive = parsed.getKeepAlive();
    } catch (const Poco::Exception&) {
        head.status = http_status::badRequest;
    }
    return head;
}

} // namespace zinnia::runtime
