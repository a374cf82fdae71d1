#pragma once

#include <bronzering/gateway/entry_gateway.h>
#include <bronzering/gateway/gateway_settings.h>
#include <bronzering/gateway/header_names.h>
#include <bronzering/gateway/http_get.h>
#include <bronzering/gateway/source_failure.h>
