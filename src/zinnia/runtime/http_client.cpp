#include "zinnia/runtime/http_client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace zinnia::runtime {

namespace {

    namespace net = Poco::Net;

    Poco::Timespan timespan(Milliseconds duration)
    {
        return Poco::Timespan { std::chrono::microseconds { duration }.count() };
    }

} // namespace

Result<HttpResponse, HttpClientError> sendHttp(
    const Endpoint& server, const HttpRequest& request, const HttpClientSettings& settings)
{
    net::StreamSocket socket;
    try {
        socket.connect(net::SocketAddress { server.toString() }, timespan(settings.connectTimeout));
    } catch (const Poco::Exception&) {
        return HttpClientError::Unreachable;
    }
    try {
        // Set on the socket: a session does not apply its own timeout to a socket that was passed to it.
        const Milliseconds limit = request.method == HttpMethod::Get ? settings.readTimeout : settings.answerTimeout;
        socket.setReceiveTimeout(timespan(limit));
        socket.setSendTimeout(timespan(limit));
        net::HTTPClientSession session { socket };
        net::HTTPRequest message { std::string { nameIn(httpMethodNames, request.method) }, request.path,
            net::HTTPMessage::HTTP_1_1 };
        message.setHost(server.toString());
        message.setKeepAlive(false);
        if (!request.authorization.empty())
            message.set("Authorization", request.authorization);
        if (request.method == HttpMethod::Post) {
            message.setContentType("application/json");
            message.setContentLength(static_cast<std::streamsize>(request.body.size()));
        }
        session.sendRequest(message).write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
        net::HTTPResponse received;
        HttpResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(received), response.body);
        response.status = received.getStatus();
        response.contentType = received.getContentType();
        response.location = received.get("Location", "");
        const bool whole = !received.hasContentLength()
            || response.body.size() == static_cast<std::size_t>(received.getContentLength64());
        if (!whole)
            return HttpClientError::AnswerLost;
        return response;
    } catch (const Poco::Exception&) {
        return HttpClientError::AnswerLost;
    } catch (const std::exception&) {
        // Reports a stream that fails while the answer is read.
        return HttpClientError::AnswerLost;
    }
}

} // namespace zinnia::runtime
