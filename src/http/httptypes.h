//! HTTP requests and responses, independent of the HTTP library.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gypsumcroft::http {

using Headers = std::map<std::string, std::string>;

struct HttpRequest
{
    std::string method_ = "GET";
    //! Path without the query.
    std::string path_;
    std::map<std::string, std::string> query_;
    //! Names in lower case.
    Headers headers_;
    std::string body_;
};

struct HttpResponse
{
    std::uint16_t status_ = 200;
    std::string contentType_ = "application/json";
    std::string body_;
    std::vector<std::pair<std::string, std::string>> headers_;
};

//! Value of a header field, empty if the request has none of that name.
inline std::string headerValue(const HttpRequest &request, const std::string &lowerName)
{
    const auto found = request.headers_.find(lowerName);
    return found == request.headers_.end() ? std::string() : found->second;
}

} // namespace gypsumcroft::http
