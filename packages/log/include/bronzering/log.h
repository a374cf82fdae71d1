#pragma once

#include <bronzering/log/event_log.h>
#include <bronzering/log/log_query.h>
