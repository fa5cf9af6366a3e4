#include "plainservice/service.h"

namespace gypsumcroft::standins {

std::string runCall(PlainService &service, const std::string &body)
{
    ++service.calls_;
    ++service.effects_[body];
    return R"({"confirmed":true,"number":)" + std::to_string(service.calls_) + "}";
}

} // namespace gypsumcroft::standins
